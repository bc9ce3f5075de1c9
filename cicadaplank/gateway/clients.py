"""Connections of clients: HTTP/1.1 requests in, answers out, one at a time."""

import collections

import httptools
from twisted.internet import protocol

from cicadaplank.gateway import calls, dialects

# Requests that a client may send ahead of the answer to its first one.
MAX_PIPELINED = 8
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientConnection(protocol.Protocol):
    """One connection of a client.

    :param listener: :class:`Listener` that owns it.
    """

    def __init__(self, listener):
        self._listener = listener
        self._gateway = listener.gateway
        self._parser = None
        self._queue = collections.deque()
        self._call = None
        self._busy = False
        self._closing = False
        self._lost = False
        self._attempt = b""
        self._is_http_1_0 = False
        self._in_head = False
        self._head_bytes = 0
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head = None
        self._fault = None
        self._keeps_open = True
        self._timer = None

    # Connection.

    def connectionMade(self):
        """Start reading requests."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._parser = httptools.HttpRequestParser(self)
        self._listener.connected(self)
        self._wait(self._gateway.limits.idle_timeout_s)

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop the work for this client."""
        self._lost = True
        self._stop_timer()
        self._listener.disconnected(self)
        call, self._call = self._call, None
        self._queue.clear()
        if call is not None:
            call.client_left()

    @property
    def is_idle(self):
        """Whether no request is being read or answered."""
        return not self._busy and not self._queue and not self._in_head

    def close_idle(self):
        """Close the connection now if no request is on its way."""
        if self.is_idle and not self._lost:
            self._closing = True
            self.transport.loseConnection()

    def _wait(self, delay_s):
        self._stop_timer()
        self._timer = self._listener.reactor.callLater(delay_s, self._timed_out)

    def _stop_timer(self):
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _timed_out(self):
        self._timer = None
        if self._lost or self._busy:
            return
        if self._in_head:
            self._gateway.count("client_faults", kind="slow_request")
            self._reject(408, "the request took too long")
        else:
            self.transport.loseConnection()

    # Requests.

    def dataReceived(self, data):
        """Read a part of a request."""
        if self._closing:
            return
        if self._in_head or not (self._busy or self._queue):
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            self._gateway.count("client_faults", kind="not_http")
            self._fault = self._fault or (400, f"the request is not HTTP: {fault}")
        except dialects.BadRequestError as fault:
            self._fault = self._fault or (fault.status, str(fault))
        if self._fault is None and self._in_head and self._is_head_too_long():
            self._fault = (431, "the headers are too long")
        if self._fault is not None and not self._busy:
            self._reject(*self._fault)
            return
        self._next()

    def _is_head_too_long(self):
        limit = self._gateway.limits.max_header_bytes
        return self._head is None and self._head_bytes > limit

    def on_message_begin(self):
        """Start a request."""
        self._in_head = True
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head = None
        if not self._busy:
            self._wait(self._gateway.limits.header_timeout_s)

    def on_url(self, url):
        """Take a part of the request target."""
        self._target += url

    def on_header(self, name, value):
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Read the headers."""
        self._head_bytes = 0
        if self._fault is not None:
            return
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._gateway.limits.max_header_bytes:
            self._fault = (431, "the headers are too long")
            return
        try:
            self._head = self._gateway.dialect.read_call(
                self._parser.get_method(), self._target, self._headers
            )
        except dialects.BadRequestError as fault:
            self._fault = (fault.status, str(fault))
            return
        expects = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        if expects and not self._busy:
            self.transport.write(CONTINUE)

    def on_body(self, data):
        """Take a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._gateway.limits.max_body_bytes:
            self._fault = self._fault or (413, "the body is too long")
            self._body = []
            return
        self._body.append(data)

    def on_message_complete(self):
        """Take a complete request."""
        self._in_head = False
        if self._fault is not None or self._head is None:
            return
        keeps_open = self._parser.should_keep_alive()
        request = calls.Request(self._head, b"".join(self._body), self._gateway.now_s())
        self._body = []
        self._queue.append((request, keeps_open, self._parser.get_http_version()))
        if len(self._queue) > MAX_PIPELINED:
            self._fault = (400, "too many requests ahead of their answers")

    def _next(self):
        while self._queue and not self._busy and not self._closing:
            request, self._keeps_open, version = self._queue.popleft()
            self._is_http_1_0 = version != "1.1"
            self._busy = True
            self._stop_timer()
            self._attempt = request.head.attempt
            call = self._gateway.accept(self, request)
            # The call may have been answered already, and the next one begun.
            if call is not None and self._busy:
                self._call = call

    def _reject(self, status, message):
        """Answer a request that cannot be read, and close the connection."""
        self._listener.rejected(status, message)
        self._closing = True
        self._stop_timer()
        self.transport.write(
            self._gateway.dialect.write_refusal(status, b"", message, None, True)
        )
        self.transport.loseConnection()

    # Answers.

    def reply(self, head, body):
        """Send a complete answer of an endpoint."""
        closes = self._closes_after()
        out = self._gateway.dialect.write_reply(head, len(body), closes)
        self.transport.write(out + body)
        self._answered(closes)

    def refuse(self, status, message, retry_after_s):
        """Send an answer of the gateway's own."""
        closes = self._closes_after()
        self.transport.write(
            self._gateway.dialect.write_refusal(
                status, self._attempt, message, retry_after_s, closes
            )
        )
        self._answered(closes)

    def begin_stream(self, head):
        """Start an answer whose length is not known."""
        closes = self._closes_after()
        out = self._gateway.dialect.write_reply(head, None, closes)
        self.transport.write(out)

    def stream(self, data):
        """Send a part of a stream."""
        if not data:
            return
        if self._is_http_1_0:
            self.transport.write(data)
            return
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self):
        """End a complete stream."""
        closes = self._closes_after()
        if not self._is_http_1_0:
            self.transport.write(b"0\r\n\r\n")
        self._answered(closes)

    def abort(self):
        """End an incomplete answer so that it cannot pass for complete."""
        self._closing = True
        self._call = None
        self._busy = False
        self.transport.abortConnection()

    def _closes_after(self):
        return not self._keeps_open or self._is_http_1_0 or self._listener.is_stopping

    def _answered(self, closes):
        self._call = None
        self._busy = False
        if closes:
            self._closing = True
            self.transport.loseConnection()
            return
        if self._fault is not None:
            self._reject(*self._fault)
            return
        self._wait(self._gateway.limits.idle_timeout_s)
        if self._queue:
            self._listener.reactor.callLater(0, self._next)

    # Flow control of the transport.

    def pauseProducing(self):
        """Read no more from the endpoint while the client reads slowly."""
        if self._call is not None:
            self._call.pause()

    def resumeProducing(self):
        """Read from the endpoint again."""
        if self._call is not None:
            self._call.resume()

    def stopProducing(self):
        """The transport is closed; ``connectionLost`` follows."""


class Listener(protocol.Factory):
    """Accepts connections of clients.

    :param reactor: Twisted reactor.
    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param rejected: called with the status and message of each rejected request.
    """

    noisy = False

    def __init__(self, reactor, gateway, rejected):
        self.reactor = reactor
        self.gateway = gateway
        self.rejected = rejected
        self.is_stopping = False
        self._connections = set()

    def buildProtocol(self, addr):
        """Return the connection of a client."""
        return ClientConnection(self)

    @property
    def open_count(self):
        """Return the number of open connections."""
        return len(self._connections)

    def connected(self, connection):
        """Record a connection."""
        self._connections.add(connection)

    def disconnected(self, connection):
        """Forget a connection."""
        self._connections.discard(connection)

    def close_idle(self):
        """Close every connection without a request."""
        for connection in list(self._connections):
            connection.close_idle()
