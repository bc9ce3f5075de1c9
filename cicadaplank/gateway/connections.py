"""Connections to endpoints: one call at a time, kept for the next one."""

import collections
import socket
import typing

import httptools
from twisted.internet import error, protocol

# The path to any endpoint takes below 10 ms, and some 100 ms behind other traffic. An
# endpoint that does not take a connection in this time is away or overrun.
CONNECT_TIMEOUT_S = 0.2
# Idle time after which a kept connection is closed when the endpoint tells none.
IDLE_S = 2.0
# Part of the told idle time that is used. The rest covers the way to the endpoint.
IDLE_SHARE = 0.7
MAX_IDLE_S = 15.0
# Headers of an answer.
MAX_HEAD_BYTES = 64 * 1024


class Receiver(typing.Protocol):
    """Receives the answer to one call."""

    def reply_started(self, head):
        """Take a :class:`cicadaplank.gateway.dialects.ReplyHead`.

        :returns: False when the answer belongs to another call and is skipped.
        """

    def reply_data(self, data):
        """Take a part of the body."""

    def reply_ended(self):
        """Take the end of a complete answer."""

    def reply_broken(self, reason):
        """Take the loss of the connection or of the framing before the end."""


class EndpointConnection(protocol.Protocol):
    """One connection to an endpoint.

    :param pool: :class:`Pool` that owns it.
    """

    def __init__(self, pool):
        self._pool = pool
        self._receiver = None
        self._parser = None
        self._head = None
        self._headers = []
        self._skipping = False
        self._ended = False
        self._keeps_open = False
        self.is_broken = False
        self.used = 0
        self.idle_since_s = 0.0
        self.idle_timeout_s = IDLE_S

    def connectionMade(self):
        """Send small writes at once."""
        self.transport.setTcpNoDelay(True)

    def send(self, data, receiver):
        """Send a call.

        :param data: bytes of the request.
        :param receiver: :class:`Receiver` of the answer.
        """
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = None
        self._skipping = False
        self._ended = False
        self._keeps_open = False
        self.used += 1
        self.transport.write(data)

    def limit_unacknowledged(self, limit_s):
        """Break the connection when sent bytes are not acknowledged for a time.

        :param limit_s: seconds, or None for the time of the system.
        """
        milliseconds = 0 if limit_s is None else int(1000 * limit_s)
        sock = self.transport.getHandle()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def cancel(self):
        """Stop the call; the endpoint notices the closed connection."""
        self._receiver = None
        self.is_broken = True
        self.transport.abortConnection()

    def give_back(self):
        """Keep the connection; the call that it was opened for has no use for it."""
        self._pool.put_back(self)

    def pause(self):
        """Stop reading until :meth:`resume`."""
        self.transport.pauseProducing()

    def resume(self):
        """Read on."""
        self.transport.resumeProducing()

    def dataReceived(self, data):
        """Read a part of the answer."""
        if self._receiver is None:
            # Nothing was asked: an extra answer that belongs to no call.
            self._discard("unasked_bytes")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as fault:
            self._break(f"not HTTP: {fault}")
            return
        if self._ended:
            self._finish()

    def on_header(self, name, value):
        """Take a header of the answer."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Take the end of the headers."""
        if self._ended:
            self.is_broken = True
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = []
            return
        self._head = self._pool.dialect.read_reply(status, self._headers)
        self._headers = []
        if self._receiver is not None:
            self._skipping = not self._receiver.reply_started(self._head)

    def on_body(self, data):
        """Take a part of the body."""
        if self._ended or self._skipping or self._receiver is None:
            return
        self._receiver.reply_data(data)

    def on_message_complete(self):
        """Take the end of one answer."""
        if self._head is None:
            return
        if self._skipping:
            # A late answer to an earlier call; the own one follows.
            self._skipping = False
            self._head = None
            return
        if self._ended:
            self.is_broken = True
        self._ended = True
        # The parser forgets this when the callback returns.
        self._keeps_open = self._parser.should_keep_alive()

    def on_message_begin(self):
        """Notice bytes after the end of the answer."""
        if self._ended:
            self.is_broken = True

    def _finish(self):
        receiver, self._receiver = self._receiver, None
        head = self._head
        if receiver is None:
            return
        if head.idle_timeout_s is not None:
            self.idle_timeout_s = head.idle_timeout_s
        if head.keeps_open and self._keeps_open and not self.is_broken:
            self._pool.put_back(self)
        else:
            self.is_broken = True
            self.transport.loseConnection()
        receiver.reply_ended()

    def _break(self, reason):
        self.is_broken = True
        receiver, self._receiver = self._receiver, None
        self.transport.abortConnection()
        if receiver is not None:
            receiver.reply_broken(reason)

    def _discard(self, reason):
        self._pool.counts[reason] += 1
        self.is_broken = True
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        """End a call that was in progress."""
        self.is_broken = True
        self._pool.lost(self)
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        head = self._head
        unframed = head is not None and head.length is None and not head.is_chunked
        if unframed and not self._skipping and reason.check(error.ConnectionDone):
            receiver.reply_ended()
            return
        receiver.reply_broken(f"connection lost: {reason.getErrorMessage()}")


class _Dial(protocol.ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, pool, opened, failed):
        self._pool = pool
        self._opened = opened
        self._failed = failed
        self._connection = None

    def buildProtocol(self, addr):
        connection = self._connection = EndpointConnection(self._pool)
        made = connection.connectionMade

        def connected():
            made()
            self._pool.opened(connection)
            self._opened(connection)

        connection.connectionMade = connected
        return connection

    def clientConnectionFailed(self, connector, reason):
        self._pool.dial_failed()
        self._failed(reason.getErrorMessage())


class Pool:
    """Connections of this entry instance to one endpoint.

    :param reactor: Twisted reactor.
    :param dialect: :class:`cicadaplank.gateway.dialects.Dialect`.
    :param host: IP address.
    :param port: TCP port.
    :param limit: most connections at a time.
    :param connect_timeout_s: time in which a connection has to open.
    """

    def __init__(
        self,
        reactor,
        dialect,
        host,
        port,
        limit,
        connect_timeout_s=CONNECT_TIMEOUT_S,
    ):
        self.dialect = dialect
        self.counts = collections.Counter()
        self.limit = limit
        self._reactor = reactor
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle = []
        self._all = set()
        self._dialling = 0
        self._closed = False

    @property
    def open_count(self):
        """Return how many connections are open or being opened."""
        return len(self._all) + self._dialling

    def take(self, opened, failed, reuse=True):
        """Get a connection.

        :param opened: called with an :class:`EndpointConnection`.
        :param failed: called with a text when none can be opened.
        :param reuse: whether a kept connection may be used. It may be closing, which is
            only seen after the call was sent.
        :returns: the dial in progress, or None.
        """
        connection = self._take_idle() if reuse else None
        if connection is not None:
            self.counts["reused"] += 1
            opened(connection)
            return None
        if self._idle and self.open_count >= self.limit:
            # Room for a new connection in place of one that may be closing.
            self._idle.pop(0).transport.abortConnection()
        self.counts["dialled"] += 1
        self._dialling += 1
        return self._reactor.connectTCP(
            self._host,
            self._port,
            _Dial(self, opened, failed),
            self._connect_timeout_s,
        )

    def _take_idle(self):
        now_s = self._reactor.seconds()
        while self._idle:
            connection = self._idle[-1]
            idle_s = now_s - connection.idle_since_s
            limit_s = min(MAX_IDLE_S, IDLE_SHARE * connection.idle_timeout_s)
            if connection.is_broken or idle_s > limit_s:
                self._idle.pop()
                connection.transport.loseConnection()
                continue
            return self._idle.pop()
        return None

    def put_back(self, connection):
        """Keep a connection for the next call."""
        if self._closed:
            connection.transport.loseConnection()
            return
        connection.resume()
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)

    def opened(self, connection):
        """Count a new connection."""
        self._dialling -= 1
        self._all.add(connection)

    def dial_failed(self):
        """Count a connection that could not be opened."""
        self._dialling -= 1
        self.counts["dial_failed"] += 1

    def lost(self, connection):
        """Forget a connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self):
        """Close the kept connections; they may have gone silent."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.is_broken = True
            connection.transport.abortConnection()

    def close(self):
        """Close kept connections, and others when their calls end."""
        self._closed = True
        self.drop_idle()
