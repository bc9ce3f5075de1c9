"""Pools of reusable HTTP/1.1 connections to endpoints, without pipelining."""

import collections
import socket
import typing

import httptools
from twisted import logger
from twisted.internet import error, protocol
from twisted.python import failure

from cicadaplank.gateway import framing, read_pacing
from cicadaplank.links import http_statuses, sockets

_log = logger.Logger()

# A packet reaches any endpoint within 10 ms, or about 100 ms when it queues behind
# other traffic. An endpoint that does not accept a connection within this time is
# unreachable or overloaded.
CONNECT_TIMEOUT_S = 0.2
# Delay of that time-out from which on the event loop has stood still: the endpoint may
# have accepted the connection meanwhile.
LATE_TIMEOUT_S = 0.05
# Assumed idle timeout of an endpoint that does not announce one.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Share of the endpoint's idle timeout within which a connection is reused. The rest
# covers the transit time of the next request.
IDLE_TIMEOUT_SHARE = 0.7
MAX_REUSE_IDLE_S = 15.0
# Bound on the bytes of a response that are not of its body: headers, interim responses
# and trailers. Chunks of single bytes have 5 bytes of framing each.
MAX_HEAD_BYTES = 64 * 1024
MAX_FRAMING_SHARE = 8
MAX_HEADERS = 256
# A connection on which so many attempts were refused is closed.
MAX_REFUSED_ATTEMPTS = 100
# Bound on the bodies of late responses to earlier calls that precede a response.
MAX_SKIPPED_BYTES = 256 * 1024
# Most bytes that are read from an endpoint in one turn of the event loop, so that an
# endpoint which writes without end does not keep the others waiting.
TURN_BYTES = 16 * 1024
# The parser also takes the status lines of two related protocols.
PROTOCOL_NAME = b"HTTP/"


class Receiver(typing.Protocol):
    """Callbacks for the response to one call."""

    def response_started(self, head):
        """Process status and headers.

        :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`.
        :returns: False when the response belongs to another call and is to be skipped.
        """

    def response_data(self, data):
        """Process a part of the body.

        :param data: bytes.
        :returns: number of events that it completed, or None when it has none.
        """

    def response_ended(self, end):
        """Finish the call after a complete response.

        :param end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        """

    def response_failed(self, end, reason):
        """Fail the call: the connection was lost or the framing broken midway.

        :param end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        :param reason: description of the failure.
        """


class EndpointConnection(protocol.Protocol):
    """One connection to an endpoint; carries one call at a time.

    :param pool: :class:`ConnectionPool` that owns it.
    :ivar is_broken: whether the connection must not be reused.
    :ivar refused: identifiers of the attempts that were refused on it.
    :ivar longest_sent_bytes: length of the longest call that was sent on it.
    :ivar idle_since_s: reactor time at which it became idle, in seconds.
    :ivar idle_timeout_s: idle timeout of the endpoint in seconds.
    """

    def __init__(self, pool):
        self._pool = pool
        self._receiver = None
        self._parser = None
        self._head = None
        self._headers = []
        self._body_bytes = 0
        # Parts of the body that were not passed on yet.
        self._parts = []
        self._received_bytes = 0
        self._skipped_bytes = 0
        self._is_skipping = False
        self._is_complete = False
        # Start of the response, and why it is none.
        self._start = b""
        self._fault = ""
        self._has_body = True
        self._parser_keeps_open = False
        self._responses = 0
        self._pacer = read_pacing.ReadPacer(pool.now_s())
        # Timer of a pause of the pacer, and whether the receiver has paused, too.
        self._pace_timer = None
        self._is_paused = False
        # Until when, and to whom, a loss of the connection before any call is told.
        self._watch = None
        self.is_broken = False
        self.refused = set()
        self.longest_sent_bytes = 0
        self.used = 0
        self.idle_since_s = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    @property
    def is_first_response(self):
        """Whether the response in progress is the first one on the connection.

        No earlier call can have caused it.
        """
        return self._responses == 1

    def connectionMade(self):
        """Set up the socket; Nagle's algorithm would hold small writes back."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self._pool.turn_bytes
        sockets.report_resets(self.transport)

    def send(self, data, receiver, has_body=True):
        """Send a request and expect its response.

        :param data: bytes of the request.
        :param receiver: :class:`Receiver` of the response.
        :param has_body: whether the response may have a body. That to a HEAD request
            has none, whatever length it declares.
        """
        self._receiver = receiver
        self._has_body = has_body
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._head = None
        self._body_bytes = 0
        self._parts = []
        self._received_bytes = 0
        self._skipped_bytes = 0
        self._is_skipping = False
        self._is_complete = False
        self._start = b""
        self._fault = ""
        self._parser_keeps_open = False
        self.used += 1
        self.longest_sent_bytes = max(self.longest_sent_bytes, len(data))
        self.transport.write(data)

    def watch_life(self, for_s, lost, *args):
        """Call a function if the endpoint closes the connection soon and unused.

        :param for_s: seconds from now within which it does.
        :param lost: callable.
        :param args: its arguments.
        """
        self._watch = self._pool.now_s() + for_s, lost, args

    def set_unacknowledged_timeout(self, limit_s):
        """Set how long sent bytes may stay unacknowledged (``TCP_USER_TIMEOUT``).

        The kernel closes the connection when the time is exceeded.

        :param limit_s: seconds, or None for the system default.
        """
        milliseconds = 0 if limit_s is None else int(1000 * limit_s)
        sock = self.transport.getHandle()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def cancel(self):
        """Abort the call by closing the connection, which the endpoint detects.

        :returns: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        """
        self._receiver = None
        self.is_broken = True
        self.transport.abortConnection()
        return self._response_end(framing.Termination.CANCELLED)

    def _response_end(self, termination):
        return framing.ResponseEnd(
            framing.framing_of(self._head), termination, self._body_bytes
        )

    def release(self):
        """Return the connection unused to the pool: its call no longer needs it."""
        self._pool.release(self)

    def pause(self):
        """Stop reading from the socket until :meth:`resume`."""
        self._is_paused = True
        self.transport.pauseProducing()

    def resume(self):
        """Resume reading from the socket, unless it is being read too fast."""
        self._is_paused = False
        if self._pace_timer is None:
            self.transport.resumeProducing()

    def _pace_reading(self, delay_s):
        """Read no more for a while, as too much was read."""
        self._pool.counts["reads_paced"] += 1
        self.transport.pauseProducing()
        self._pace_timer = self._pool.call_later(delay_s, self._end_pace)

    def _end_pace(self):
        self._pace_timer = None
        if not self._is_paused:
            self.transport.resumeProducing()

    def _stop_pace(self):
        timer, self._pace_timer = self._pace_timer, None
        if timer is not None:
            timer.cancel()

    def dataReceived(self, data):
        """Parse a part of the response."""
        if self._receiver is None:
            # No call is in progress, so these bytes are an unsolicited response.
            self._drop_unsolicited("unasked_bytes")
            return
        if len(self._start) < len(PROTOCOL_NAME):
            start = (self._start + data).lstrip(b"\r\n")
            self._start = start[: len(PROTOCOL_NAME)]
            if not PROTOCOL_NAME.startswith(self._start):
                self._fail(f"not HTTP: the answer starts with {self._start!r}")
                return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as callback_error:
            cause = failure.Failure(callback_error.__context__ or callback_error)
            _log.failure("an answer could not be read: internal error", cause)
            self._fail("internal error while the answer was read")
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as parse_error:
            if not self._is_complete:
                self._fail(self._fault or f"not HTTP: {parse_error}")
                return
            # The bytes after a complete response belong to no call.
            self._pool.counts["unasked_bytes"] += 1
            self.is_broken = True
        if self._fault:
            self._fail(self._fault)
            return
        self._received_bytes += len(data)
        delay_s = self._pass_body(len(data))
        if self._is_complete:
            self._finish()
        else:
            self._check_bounds()
            if delay_s and self._receiver is not None and self._pace_timer is None:
                self._pace_reading(delay_s)

    def _pass_body(self, byte_count):
        """Pass what was received of the body to the receiver, in one piece.

        :param byte_count: number of bytes that were received.
        :returns: seconds for which the connection is not to be read.
        """
        parts, self._parts = self._parts, []
        events = None
        if parts and self._receiver is not None:
            events = self._receiver.response_data(b"".join(parts))
        return self._pacer.record(
            events or 0, len(parts), byte_count, self._pool.now_s()
        )

    def _check_bounds(self):
        """Fail a response whose headers or framing do not end."""
        framing_bytes = self._received_bytes - self._body_bytes - self._skipped_bytes
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(f"more than {MAX_SKIPPED_BYTES} bytes of other responses")
        elif len(self._headers) > MAX_HEADERS:
            self._fail(f"more than {MAX_HEADERS} headers")
        elif framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_SHARE * self._body_bytes:
            self._fail(
                f"{framing_bytes} bytes of headers and framing with "
                f"{self._body_bytes} bytes of body"
            )

    def on_header(self, name, value):
        """Collect a header of the response; drop trailers (parser callback)."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Pass status and headers to the receiver (parser callback).

        Headers of interim responses are dropped. The length of one, and of a response
        that ends with its headers, announces bytes that belong to no response.
        """
        if self._is_complete:
            self.is_broken = True
            return
        if self._fault:
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        self._fault = http_statuses.status_fault(version, status)
        if self._fault:
            return
        head = self._pool.dialect.read_response(status, self._headers)
        self._headers = []
        has_length = bool(head.length or head.is_chunked)
        if http_statuses.is_interim(status):
            self._fault = f"status {status} with a body" if has_length else ""
            return
        self._head = head
        if has_length and status in http_statuses.STATUSES_WITHOUT_BODY:
            self.is_broken = True
        self._responses += 1
        if self._receiver is not None:
            self._is_skipping = not self._receiver.response_started(self._head)
            # An endpoint that wrote one response too many may write others.
            self.is_broken |= self._is_skipping
        if not self._has_body and not self._is_skipping:
            self._is_complete = True
            self._parser_keeps_open = self._parser.should_keep_alive()

    def on_body(self, data):
        """Collect a part of the body (parser callback)."""
        if self._is_complete:
            self.is_broken = True
            return
        if self._fault:
            return
        if self._is_skipping:
            self._skipped_bytes += len(data)
            return
        if self._receiver is None:
            return
        self._body_bytes += len(data)
        self._parts.append(data)

    def on_message_complete(self):
        """Note that a response is complete (parser callback)."""
        if self._head is None:
            return
        if self._is_skipping:
            # A late response to an earlier call; that to the current call follows.
            self._is_skipping = False
            self._head = None
            return
        if self._is_complete:
            self.is_broken |= self._has_body
            return
        self._is_complete = True
        # The parser resets this flag when the callback returns.
        self._parser_keeps_open = self._parser.should_keep_alive()

    def on_message_begin(self):
        """Mark the connection broken if a response follows a complete one."""
        if self._is_complete:
            self.is_broken = True

    def _finish(self):
        receiver, self._receiver = self._receiver, None
        head = self._head
        self._stop_pace()
        if receiver is None:
            return
        if head.idle_timeout_s is not None:
            self.idle_timeout_s = head.idle_timeout_s
        if head.is_not_run or head.is_misdirected:
            self.refused.add(head.attempt)
            if len(self.refused) >= MAX_REFUSED_ATTEMPTS:
                self._pool.counts["often_refused"] += 1
                self.is_broken = True
        if head.keeps_open and self._parser_keeps_open and not self.is_broken:
            self._pool.release(self)
        else:
            self.is_broken = True
            self.transport.loseConnection()
        receiver.response_ended(self._response_end(framing.Termination.COMPLETE))

    def _fail(self, reason):
        self.is_broken = True
        self._pass_body(0)
        receiver, self._receiver = self._receiver, None
        self.transport.abortConnection()
        if receiver is not None:
            end = self._response_end(framing.Termination.INVALID)
            receiver.response_failed(end, reason)

    def _drop_unsolicited(self, reason):
        self._pool.counts[reason] += 1
        self.is_broken = True
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        """End the call in progress, if any.

        A response without length and chunks ends with the connection, so that a clean
        close completes it; any other loss breaks the call.
        """
        watch, was_closed_here = self._watch, self.is_broken
        self.is_broken = True
        self._stop_pace()
        self._pool.lost(self)
        if watch is not None and not was_closed_here and not self.used:
            until_s, lost, args = watch
            if self._pool.now_s() <= until_s:
                lost(*args)
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        is_closed = reason.check(error.ConnectionDone)
        end = self._response_end(
            framing.Termination.CLOSED if is_closed else framing.Termination.RESET
        )
        if is_closed and end.framing is framing.Framing.CLOSE and not self._is_skipping:
            receiver.response_ended(end)
            return
        receiver.response_failed(end, f"connection lost: {reason.getErrorMessage()}")


class _ConnectionFactory(protocol.ClientFactory):
    """Opens one :class:`EndpointConnection` for a pool."""

    noisy = False

    def __init__(self, pool, opened, failed):
        self._pool = pool
        self._opened = opened
        self._failed = failed
        self._connection = None
        self._dialled_s = pool.now_s()

    def buildProtocol(self, addr):
        connection = self._connection = EndpointConnection(self._pool)
        connection_made = connection.connectionMade

        def connected():
            connection_made()
            self._pool.opened(connection)
            opened, _ = self._take_callbacks()
            opened(connection)

        connection.connectionMade = connected
        return connection

    def clientConnectionFailed(self, connector, reason):
        was_refused = reason.check(error.ConnectionRefusedError) is not None
        is_timeout = reason.check(error.TimeoutError) is not None
        self._pool.dial_failed(was_refused, is_timeout, self._dialled_s)
        _, failed = self._take_callbacks()
        failed(reason.getErrorMessage())

    def _take_callbacks(self):
        """Return the callbacks, and forget them.

        The factory lives as long as its connection, and with it the call that dialled.
        """
        callbacks = self._opened, self._failed
        self._opened = self._failed = None
        return callbacks


class ConnectionPool:
    """Connection pool for one endpoint.

    :param reactor: Twisted reactor.
    :param dialect: :class:`cicadaplank.gateway.dialects.Dialect`.
    :param host: IP address.
    :param port: TCP port.
    :param limit: number of connections from which a new one replaces an idle one. Calls
        in progress may exceed it.
    :param connect_timeout_s: timeout of a connection attempt in seconds.
    :param keeps_idle: whether connections stay open for later calls. Not for a server
        that has fewer connections than it has clients.
    :param turn_bytes: most bytes that are read from a connection in one turn of the
        event loop.
    """

    def __init__(
        self,
        reactor,
        dialect,
        host,
        port,
        limit,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        keeps_idle=True,
        turn_bytes=TURN_BYTES,
    ):
        self.dialect = dialect
        self.turn_bytes = turn_bytes
        self.counts = collections.Counter()
        self.limit = limit
        self._reactor = reactor
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._keeps_idle = keeps_idle
        self._idle = []
        self._open = set()
        self._connecting_count = 0
        self._closed = False
        # Whether the last connection attempt was refused: no process listens there.
        self.was_refused = False
        # Whether the last one timed out while the event loop stood still.
        self.was_held_up = False

    def now_s(self):
        """Return the monotonic time in seconds."""
        return self._reactor.seconds()

    def call_later(self, delay_s, function):
        """Call a function after some seconds; returns the timer."""
        return self._reactor.callLater(delay_s, function)

    @property
    def open_count(self):
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting_count

    def acquire(self, opened, failed, reuse=True, attempt=b""):
        """Provide a connection, an idle one or a new one.

        :param opened: called with an :class:`EndpointConnection`.
        :param failed: called with the reason as text when none can be opened.
        :param reuse: whether an idle connection may be used. The endpoint may be
            closing it, which shows only after the request was sent.
        :param attempt: identifier of the attempt that will be sent. It is not sent on a
            connection on which it was refused before, since that refusal may be
            written there once more.
        :returns: Twisted connector of the connection attempt, or None when an idle
            connection was used.
        """
        connection = self._take_idle(attempt) if reuse else None
        if connection is not None:
            self.counts["reused"] += 1
            opened(connection)
            return None
        if self._idle and self.open_count >= self.limit:
            # Make room by closing an idle connection; it may be stale anyway.
            self._idle.pop(0).transport.abortConnection()
        self.counts["dialled"] += 1
        self._connecting_count += 1
        return self._reactor.connectTCP(
            self._host,
            self._port,
            _ConnectionFactory(self, opened, failed),
            self._connect_timeout_s,
        )

    def _take_idle(self, attempt):
        now_s = self._reactor.seconds()
        while self._idle:
            connection = self._idle[-1]
            idle_for_s = now_s - connection.idle_since_s
            limit_s = min(
                MAX_REUSE_IDLE_S, IDLE_TIMEOUT_SHARE * connection.idle_timeout_s
            )
            is_refused = attempt in connection.refused
            if connection.is_broken or is_refused or idle_for_s > limit_s:
                self._idle.pop()
                connection.transport.loseConnection()
                continue
            return self._idle.pop()
        return None

    def release(self, connection):
        """Make a connection available for the next call, or close it."""
        if self._closed or not self._keeps_idle:
            connection.is_broken = True
            connection.transport.loseConnection()
            return
        connection.resume()
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)

    def opened(self, connection):
        """Record that a connection attempt succeeded."""
        self.was_refused = self.was_held_up = False
        self._connecting_count -= 1
        self._open.add(connection)

    def dial_failed(self, was_refused, is_timeout, dialled_s):
        """Record that a connection attempt failed.

        :param was_refused: whether the host is up but nothing listens at the port.
        :param is_timeout: whether it reached its time-out.
        :param dialled_s: time at which it began, in seconds.
        """
        self.was_refused = was_refused
        due_s = dialled_s + self._connect_timeout_s
        self.was_held_up = is_timeout and self.now_s() > due_s + LATE_TIMEOUT_S
        self._connecting_count -= 1
        self.counts["dial_failed"] += 1

    def lost(self, connection):
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self):
        """Close the idle connections, as the path to the endpoint may be cut."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.is_broken = True
            connection.transport.abortConnection()

    def close(self):
        """Close idle connections now, and the others when their calls end."""
        self._closed = True
        self.drop_idle()
