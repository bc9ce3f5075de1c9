"""HTTP/1.1 server side of the gateway: reads requests and writes responses in order."""

import collections

import httptools
from twisted.internet import protocol

from cicadaplank.gateway import calls, dialects
from cicadaplank.links import sockets
from cicadaplank.world import buffers

# Pipelined requests behind the one in progress from which on a client is not read.
MAX_PIPELINED = 8
# Bytes of chunk sizes and trailers that a request may have for each byte of its body,
# beyond the limit of its headers. Chunks of single bytes have 5 each.
MAX_FRAMING_SHARE = 8
# Limit on the incomplete request bodies of all clients together.
MAX_BODIES_BYTES = 48 * 1024 * 1024
# Retry time of a client whose request was dropped for memory or met an error.
RETRY_AFTER_S = 1.0
NOT_RUN_ERROR = "not run: internal error; send it again later"
# Time for which a closed connection is still read, until the client closes it, and the
# number of such connections. Further ones are closed at once.
LINGER_S = 1.0
MAX_LINGERING = 256
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Separates the headers of a message from its body.
HEAD_END = b"\r\n\r\n"


class ClientConnection(protocol.Protocol):
    """One connection of a client; answers its requests one at a time.

    :param listener: :class:`Listener` that owns it.
    """

    def __init__(self, listener):
        self._listener = listener
        self._gateway = listener.gateway
        self._parser = None
        self._queue = collections.deque()
        self._call = None
        self._is_busy = False
        # Whether a part of the answer to the request in progress was written.
        self._has_begun = False
        self._is_closing = False
        self._is_broken_off = False
        self._is_disconnected = False
        self._attempt_id = b""
        self._is_http_1_0 = False
        self._is_head_request = False
        self._is_reading = False
        # Whether further requests are read: not behind the last one of a connection.
        self._takes_requests = True
        self._is_read_paused = False
        self._is_close_announced = False
        # Bytes of the request being read that are not of its body.
        self._framing_bytes = 0
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head = None
        self._error = None
        self._keeps_open = True
        self._timer = None

    # Connection.

    def connectionMade(self):
        """Set up the parser and the idle timer."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._parser = httptools.HttpRequestParser(self)
        self._listener.connected(self)
        self._start_timer(self._gateway.limits.idle_timeout_s)

    def connectionLost(self, reason=protocol.connectionDone):
        """Drop queued requests and abandon the call in progress."""
        self._is_disconnected = True
        self._stop_timer()
        self._listener.bodies.release(self)
        self._listener.disconnected(self)
        call, self._call = self._call, None
        if call is not None:
            call.client_left()
        if self._queue:
            unanswered = [request.head.attempt for request, _, _ in self._queue]
            self._queue.clear()
            self._gateway.record_unanswered(unanswered, self._close_cause())

    def _close_cause(self):
        """Return who ended the connection, and how, for the log."""
        if self._is_broken_off:
            return "broken_off"
        return "closed" if self._is_closing else "client_left"

    @property
    def has_left(self):
        """Whether the client has closed or reset the connection, reported or not."""
        return self._is_disconnected or sockets.has_peer_left(
            self.transport.getHandle()
        )

    @property
    def is_idle(self):
        """Whether no request is being read or answered."""
        is_waiting = self._is_busy or bool(self._queue) or self._error is not None
        return not is_waiting and not self._is_reading

    @property
    def has_queued_requests(self):
        """Whether requests wait for the answer to the one in progress."""
        return bool(self._queue)

    def close_idle(self):
        """Close the connection if no request is being read or answered."""
        if not self.is_idle or self._is_disconnected or self._is_closing:
            return
        if not sockets.has_unread(self.transport.getHandle()):
            self._close()

    def _start_timer(self, delay_s):
        self._stop_timer()
        self._timer = self._listener.reactor.callLater(delay_s, self._timed_out)

    def _stop_timer(self):
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _timed_out(self):
        self._timer = None
        if self._is_disconnected or self._is_busy or self._queue:
            return
        if self._is_reading:
            self._gateway.count("client_faults", kind="slow_request")
            self._reject(408, "the request took too long")
        elif sockets.has_unread(self.transport.getHandle()):
            self._start_timer(self._gateway.limits.header_timeout_s)
        else:
            self._close()

    # Requests.

    def dataReceived(self, data):
        """Parse received bytes, then start the next request or reject a bad one."""
        if self._is_closing or self._error is not None or not self._takes_requests:
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            self._gateway.record_error()
            self._error = self._error or (503, NOT_RUN_ERROR)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser also rejects what follows the last request.
            if self._takes_requests:
                self._gateway.count("client_faults", kind="not_http")
                self._error = self._error or (400, f"the request is not HTTP: {error}")
        except dialects.BadRequestError as error:
            self._error = self._error or (error.status, str(error))
        if self._error is None:
            self._error = self._framing_error()
        self._start_next()

    def _framing_error(self):
        """Return status and message for headers or framing without end, or None."""
        limit = self._gateway.limits.max_header_bytes
        if not self._is_reading or self._framing_bytes <= limit:
            return None
        if self._head is None:
            return 431, "the headers are too long"
        if self._framing_bytes > limit + MAX_FRAMING_SHARE * self._body_bytes:
            return 400, f"{self._framing_bytes} bytes of framing are too many"
        return None

    def on_message_begin(self):
        """Reset the state for a new request (parser callback)."""
        self._is_reading = True
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head = None
        if not self._is_busy:
            self._start_timer(self._gateway.limits.header_timeout_s)

    def on_url(self, url):
        """Append a part of the request target (parser callback)."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header; drop trailers (parser callback)."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Check and interpret the headers (parser callback).

        Sends ``100 Continue`` where the client expects it.
        """
        self._framing_bytes = 0
        if self._error is not None:
            return
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._headers)
        if size > self._gateway.limits.max_header_bytes:
            self._error = (431, "the headers are too long")
            return
        try:
            self._head = self._gateway.dialect.read_request(
                self._parser.get_method(), self._target, self._headers
            )
        except dialects.BadRequestError as error:
            self._error = (error.status, str(error))
            return
        expects = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        if expects and not self._is_busy:
            self.transport.write(CONTINUE)

    def on_body(self, data):
        """Append a part of the body, up to the configured limit (parser callback)."""
        self._body_bytes += len(data)
        self._framing_bytes -= len(data)
        if self._body_bytes > self._gateway.limits.max_body_bytes:
            self._error = self._error or (413, "the body is too long")
            self._body = []
            return
        self._body.append(data)
        self._listener.bodies.set_held(self, self._body_bytes)

    def drop_buffer(self, reason):
        """Reject the request being read, as the bodies take too much memory."""
        self._error = (503, f"not run: {reason}; send it again later")
        self._body = []
        if not self._is_busy and not self._queue:
            self._reject(*self._error)

    def on_message_complete(self):
        """Queue a complete request (parser callback)."""
        self._is_reading = False
        self._framing_bytes = 0
        self._listener.bodies.release(self)
        if self._error is not None or self._head is None:
            return
        version = self._parser.get_http_version()
        keeps_open = version == "1.1" and self._parser.should_keep_alive()
        self._takes_requests = keeps_open
        arrived_s = self._gateway.arrival_s()
        request = calls.Request(self._head, b"".join(self._body), arrived_s)
        self._body = []
        self._queue.append((request, keeps_open, version))

    def _start_next(self):
        """Start the next request; reject an invalid one when it is its turn."""
        while self._queue and not self._is_busy and not self._is_closing:
            request, self._keeps_open, version = self._queue.popleft()
            self._is_http_1_0 = version != "1.1"
            self._is_head_request = request.head.method == b"HEAD"
            self._is_busy = True
            self._has_begun = False
            self._stop_timer()
            self._attempt_id = request.head.attempt
            call = None
            try:
                call = self._gateway.accept(self, request)
            except Exception:
                self._gateway.record_error(request.head.attempt.decode("latin-1"))
                self.handling_failed(False)
            # The call may have ended within ``accept``, and the next one have begun.
            if call is not None and self._is_busy:
                self._call = call
        if self._is_disconnected or self._is_closing:
            return
        if self._queue and self._call is not None and self._listener.is_stopping:
            self._gateway.refuse_if_late(self._call, self._gateway.now_s())
        if self._error is not None and not self._is_busy and not self._queue:
            self._reject(*self._error)
        else:
            self._pace_reading()

    def _pace_reading(self):
        """Stop reading while enough requests are queued."""
        is_full = len(self._queue) >= MAX_PIPELINED
        if is_full and not self._is_read_paused:
            self._gateway.count("client_reads_paused")
            self.transport.pauseProducing()
        elif self._is_read_paused and not is_full:
            self.transport.resumeProducing()
        self._is_read_paused = is_full

    def _reject(self, status, message):
        """Refuse a request that cannot be read, and close the connection."""
        if self._is_closing:
            return
        self._listener.bodies.release(self)
        self._listener.rejected(status, message)
        self.transport.write(
            self._gateway.dialect.write_refusal(
                status,
                b"",
                message,
                RETRY_AFTER_S if status == 503 else None,
                True,
            )
        )
        self._close()

    def _close(self):
        """Close the connection behind what was written, in stages (RFC 9112, 9.6).

        A close with unread bytes of the client resets the connection, which may destroy
        the answer on its way. So only the sending side is closed at first, and what
        still arrives is dropped until the client closes or :data:`LINGER_S` has passed.
        """
        self._is_closing = True
        self._stop_timer()
        # The transport does not close while it expects more of a paused producer.
        self.transport.unregisterProducer()
        if not self._listener.may_linger(self):
            self._gateway.count("clients_closed_at_once")
            self.transport.loseConnection()
            return
        if self._is_read_paused:
            self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self._timer = self._listener.reactor.callLater(
            LINGER_S, self.transport.loseConnection
        )

    # Responses.

    def reply(self, head, body):
        """Send a complete response of an endpoint.

        :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`.
        :param body: bytes.
        """
        closes = self._closes_connection()
        length = len(body)
        if self._is_head_request:
            length, body = head.length or 0, b""
        head_bytes = self._gateway.dialect.write_response(head, length, closes)
        self._has_begun = True
        self.transport.write(head_bytes + body)
        self._response_sent(closes)

    def refuse(self, status, message, retry_after_s):
        """Send a refusal that the gateway itself issues.

        :param status: HTTP status.
        :param message: text of the body.
        :param retry_after_s: delay before the client may retry in seconds, or None.
        """
        closes = self._closes_connection()
        data = self._gateway.dialect.write_refusal(
            status, self._attempt_id, message, retry_after_s, closes
        )
        if self._is_head_request:
            data = data[: data.index(HEAD_END) + len(HEAD_END)]
        self._has_begun = True
        self.transport.write(data)
        self._response_sent(closes)

    def begin_stream(self, head):
        """Start a response of unknown length.

        A client that uses HTTP/1.0 knows no chunks: its response ends with the
        connection.

        :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`.
        """
        closes = self._is_close_announced = self._closes_connection()
        head_bytes = self._gateway.dialect.write_response(
            head, None, closes, uses_chunks=not self._is_http_1_0
        )
        # RFC 9112, 9.6: no request is processed behind an announced close.
        self._takes_requests &= not closes
        self._has_begun = True
        self.transport.write(head_bytes)

    def stream(self, data):
        """Send a part of a stream, as a chunk unless the client uses HTTP/1.0."""
        if not data:
            return
        if self._is_http_1_0:
            self.transport.write(data)
            return
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self):
        """Mark the stream as complete."""
        closes = self._is_close_announced or self._closes_connection()
        if not self._is_http_1_0:
            self.transport.write(b"0\r\n\r\n")
        self._response_sent(closes)

    def handling_failed(self, may_have_run):
        """End the request in progress after an unexpected error in its handling.

        :param may_have_run: whether it was sent to an endpoint.
        """
        if self._is_disconnected or not self._is_busy:
            return
        if self._has_begun:
            self.abort()
            return
        try:
            if may_have_run:
                self.refuse(502, "may have run: internal error", None)
            else:
                self.refuse(503, NOT_RUN_ERROR, RETRY_AFTER_S)
        except Exception:
            self._gateway.record_error(self._attempt_id.decode("latin-1"))
            self.abort()

    def abort(self):
        """Reset the connection, so that a partial response cannot pass for complete."""
        self._is_closing = self._is_broken_off = True
        self._call = None
        self._is_busy = False
        self.transport.abortConnection()

    def _closes_connection(self):
        """Tell whether the connection ends with the answer to the current request."""
        is_last = not self._queue and not self._is_reading and self._error is None
        return not self._keeps_open or (self._listener.is_stopping and is_last)

    def _response_sent(self, closes):
        self._call = None
        self._is_busy = False
        if closes:
            self._close()
            return
        if self._error is not None and not self._queue:
            self._reject(*self._error)
            return
        limits = self._gateway.limits
        self._start_timer(
            limits.header_timeout_s if self._is_reading else limits.idle_timeout_s
        )
        if self._queue:
            self._listener.reactor.callLater(0, self._start_next)

    # Flow control: Twisted's producer interface.

    def pauseProducing(self):
        """Stop reading from the endpoint: the client's send buffer is full."""
        if self._call is not None:
            self._call.pause()

    def resumeProducing(self):
        """Resume reading from the endpoint."""
        if self._call is not None:
            self._call.resume()

    def stopProducing(self):
        """Do nothing: ``connectionLost`` follows and cleans up."""


class Listener(protocol.Factory):
    """Accepts connections of clients and keeps track of them.

    :param reactor: Twisted reactor.
    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param rejected: called with the status and message of each rejected request.
    """

    noisy = False

    def __init__(self, reactor, gateway, rejected):
        self.reactor = reactor
        self.gateway = gateway
        self.rejected = rejected
        self.bodies = buffers.BufferBudget(MAX_BODIES_BYTES)
        self._connections = set()
        self._lingering = set()

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    @property
    def is_stopping(self):
        """Whether connections close after their current response."""
        return self.gateway.draining.is_stopping

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._connections)

    def connected(self, connection):
        """Add a connection that was established."""
        self._connections.add(connection)

    def disconnected(self, connection):
        """Remove a connection that was closed."""
        self._connections.discard(connection)
        self._lingering.discard(connection)

    def may_linger(self, connection):
        """Tell whether a closed connection may still be read for a while.

        :param connection: :class:`ClientConnection`, counted from now on if it may.
        """
        if len(self._lingering) >= MAX_LINGERING:
            return False
        self._lingering.add(connection)
        return True

    def close_idle(self):
        """Close every connection that is neither reading nor answering a request."""
        for connection in list(self._connections):
            connection.close_idle()
