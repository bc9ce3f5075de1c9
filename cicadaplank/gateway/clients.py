"""HTTP/1.1 server side of the gateway: reads requests and writes responses in order."""

import collections

import httptools
from twisted.internet import protocol

from cicadaplank.gateway import (
    answer_bodies,
    calls,
    dialects,
    memory_account,
    turns,
)
from cicadaplank.links import sockets

# Pipelined requests behind the one in progress from which on a client is not read.
MAX_PIPELINED = 8
# Bytes of chunk sizes and trailers that a request may have for each byte of its body,
# beyond the limit of its headers. Chunks of single bytes have 5 each.
MAX_FRAMING_SHARE = 8
# Most bytes of bodies and of heads that are parsed at once. Requests sent far ahead
# stay unparsed.
PARSE_BYTES = 8 * 1024
HEAD_PARSE_BYTES = 2 * 1024
# Headers of an incomplete head from which on they are kept as bytes, not as objects.
MAX_UNPACKED_HEADERS = 64
# Memory of a connection up to which it is not counted.
MIN_COUNTED_BYTES = 4096
# Memory of a queued request besides its headers and body.
REQUEST_BYTES = 4096
# Length of a body up to which it is sent in one piece with its head. A longer one is
# written in parts of this length, as its client reads it.
MAX_JOINED_BYTES = 64 * 1024
# Time after which a connection is reset whose client reads nothing of its answer, and
# the interval at which this is checked. Engines break off a stream that is not read,
# and clients abandon one after a gap of 2 s.
UNREAD_TIMEOUT_S = 15.0
UNREAD_STREAM_TIMEOUT_S = 3.0
UNREAD_CHECK_S = 0.5
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
        # Headers of an incomplete head, each name and value followed by a line feed.
        self._packed_headers = bytearray()
        self._head_bytes = 0
        self._body = b""
        self._body_bytes = 0
        self._head = None
        # Received bytes behind a full queue of requests, or that wait for a turn.
        self._unparsed = b""
        # Units of the last slice, and whether the body comes in chunks.
        self._slice_units = 0
        self._is_chunked = False
        # Memory of the request in progress, and of what its client has not read.
        self._call_bytes = 0
        self._unread_bytes = 0
        # What is left of a long answer that is written as its client reads it, and
        # whether the connection ends behind it.
        self._answer = answer_bodies.AnswerBody()
        self._closes_behind_answer = False
        self._is_write_paused = False
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
        self._answer = answer_bodies.AnswerBody()
        self._stop_timer()
        self._drop_received()
        self._listener.memory.release(self)
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
        return not is_waiting and not self._is_reading and not self._unparsed

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

    def give_way(self):
        """Close the connection at once if it is idle and its answers were sent.

        :returns: whether it was closed.
        """
        is_used = not self.is_idle or self._is_disconnected or self._is_closing
        if is_used or sockets.unsent_bytes(self.transport):
            return False
        if sockets.has_unread(self.transport.getHandle()):
            return False
        self._is_closing = True
        self._stop_timer()
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        return True

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
        if self._unparsed and not self._is_reading:
            # It came late in the idle time, and waits for its turn.
            self._start_timer(self._gateway.limits.header_timeout_s)
        elif self._unparsed:
            # The delay is of this process, not of the client.
            self._gateway.count("clients_cut", cause="turns")
            self._drop_received()
            self._error = (503, "not run: too many header lines; send it again later")
            self._reject(*self._error)
        elif self._is_reading:
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
        self._unparsed += data
        self._listener.turns.received(self)
        if self._unparsed:
            self._pace_reading()
            self._count_memory()

    @property
    def is_long(self):
        """Whether what is to be parsed next has many header lines or small chunks."""
        if self._is_reading and self._head is not None:
            parts = self._unparsed.count(b"\n", 0, PARSE_BYTES)
            return self._is_chunked and parts > turns.MAX_SHORT_LINES
        end = self._unparsed.find(HEAD_END)
        end = len(self._unparsed) if end < 0 else end
        lines = self._unparsed.count(b"\n", 0, end)
        lines += len(self._headers)
        return bool(self._packed_headers) or lines > turns.MAX_SHORT_LINES

    def parse_received(self, limit_units, ends_when_long):
        """Parse received bytes in slices, until enough requests are queued.

        :param limit_units: units after which no further slice is parsed.
        :param ends_when_long: whether to stop where what follows is long.
        :returns: number of units that were parsed, as :mod:`~.turns` counts them.
        """
        ends_when_long = ends_when_long and not self.is_long
        rest, self._unparsed = self._unparsed, b""
        start = units = 0
        while start < len(rest) and len(self._queue) < MAX_PIPELINED:
            if self._error is not None or not self._takes_requests or self._is_closing:
                start = len(rest)
                break
            if start and units >= limit_units:
                break
            if self._is_reading and self._head is not None:
                end = start + PARSE_BYTES
                parts = rest.count(b"\n", start, end) if self._is_chunked else 0
                if ends_when_long and parts > turns.MAX_SHORT_LINES:
                    break
            else:
                end = start + HEAD_PARSE_BYTES
                head_end = rest.find(HEAD_END, start, end)
                end = end if head_end < 0 else head_end + len(HEAD_END)
            self._slice_units = 0
            self._parse(rest[start:end])
            units += self._slice_units
            start = end
        self._unparsed = rest[start:]
        self._start_next()
        self._count_memory()
        return units

    def _parse(self, data):
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
        if self._error is not None:
            self._drop_received()
        elif self._head is None and len(self._headers) > MAX_UNPACKED_HEADERS:
            self._pack_headers()

    def _pack_headers(self):
        """Keep the headers of an incomplete head as bytes: objects take 30 times more.

        Neither a name nor a value contains a line feed.
        """
        for pair in self._headers:
            self._packed_headers += b"%b\n%b\n" % pair
        self._headers = []

    def _take_headers(self):
        """Return the headers of a head that is complete."""
        headers, self._headers = self._headers, []
        if self._packed_headers:
            texts = bytes(self._packed_headers).split(b"\n")
            headers = list(zip(texts[:-1:2], texts[1:-1:2], strict=True)) + headers
            self._packed_headers = bytearray()
        return headers

    def _drop_received(self):
        """Drop what was received of a request that will not be read to its end."""
        self._headers = []
        self._packed_headers = bytearray()
        self._head = None
        self._head_bytes = 0
        self._body = b""
        self._unparsed = b""

    # Memory.

    def _count_memory(self, has_advanced=True):
        """Tell the memory account what this connection holds."""
        if self._is_disconnected:
            return
        unsent_bytes = sockets.unsent_bytes(self.transport)
        self._unread_bytes = unsent_bytes + len(self._answer)
        held_bytes = len(self._unparsed) + len(self._body) + self._head_bytes
        held_bytes += len(self._packed_headers)
        if self._headers:
            held_bytes += memory_account.headers_bytes(self._headers)
        kind = memory_account.Holds.REQUEST
        if self._unread_bytes:
            kind = memory_account.Holds.ANSWER
        elif self._is_busy:
            kind = memory_account.Holds.CALL
        held_bytes += self._unread_bytes + self._call_bytes
        held_bytes += sum(_request_bytes(request) for request, _, _ in self._queue)
        self._listener.record_held(self, held_bytes, kind, has_advanced)

    def check_unread(self, now_s):
        """Update what the client has not read; reset a connection that stands still.

        :param now_s: current time in seconds.
        """
        unread_bytes = sockets.unsent_bytes(self.transport) + len(self._answer)
        self._count_memory(unread_bytes < self._unread_bytes)
        holding = self._listener.memory.holding(self)
        if holding is None or holding.kind is not memory_account.Holds.ANSWER:
            return
        is_streaming = self._call is not None
        limit_s = UNREAD_STREAM_TIMEOUT_S if is_streaming else UNREAD_TIMEOUT_S
        if now_s - holding.advanced_s >= limit_s:
            self._gateway.count("clients_cut", cause="unread")
            self.cut()

    def cut(self):
        """Reset the connection, and give up the call in progress."""
        call, self._call = self._call, None
        self._drop_received()
        self.abort()
        if call is not None:
            call.client_left()

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
        self._packed_headers = bytearray()
        self._head_bytes = 0
        self._body = b""
        self._body_bytes = 0
        self._head = None
        if not self._is_busy:
            self._start_timer(self._gateway.limits.header_timeout_s)

    def on_url(self, url):
        """Append a part of the request target (parser callback)."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header; drop trailers (parser callback)."""
        self._slice_units += 1
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Check and interpret the headers (parser callback).

        Sends ``100 Continue`` where the client expects it.
        """
        self._framing_bytes = 0
        if self._error is not None:
            return
        headers = self._take_headers()
        # A header has at least a colon and the end of its line besides.
        size = len(self._target) + 3 * len(headers)
        size += memory_account.text_bytes(headers)
        if size > self._gateway.limits.max_header_bytes:
            self._error = (431, "the headers are too long")
            return
        try:
            self._head = self._gateway.dialect.read_request(
                self._parser.get_method(), self._target, headers
            )
            self._head_bytes = memory_account.headers_bytes(self._head.headers)
        except dialects.BadRequestError as error:
            self._error = (error.status, str(error))
            return
        names = [name.lower() for name, _ in headers]
        self._is_chunked = b"transfer-encoding" in names
        expects = b"expect" in names and any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in headers
        )
        if expects and not self._is_busy:
            self.transport.write(CONTINUE)

    def on_body(self, data):
        """Append a part of the body, up to the configured limit (parser callback)."""
        self._slice_units += 1
        self._body_bytes += len(data)
        self._framing_bytes -= len(data)
        if self._body_bytes > self._gateway.limits.max_body_bytes:
            self._error = self._error or (413, "the body is too long")
            self._body = b""
            return
        if not self._body:
            self._body = data
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def free_memory(self, holding):
        """Give up what the connection holds, as all take too much memory.

        A request that is being read is refused. A connection with queued or unread
        bytes is reset: nothing can be said on it.

        :param holding: :class:`cicadaplank.gateway.memory_account.Holding`.
        """
        self._gateway.count("clients_cut", cause=f"memory_{holding.kind.value}")
        is_only_read = not self._is_busy and not self._queue
        if holding.kind is not memory_account.Holds.REQUEST or not is_only_read:
            self.cut()
            return
        self._drop_received()
        self._error = (503, "not run: too little memory; send it again later")
        self._reject(*self._error)

    def on_message_complete(self):
        """Queue a complete request (parser callback)."""
        self._is_reading = False
        self._slice_units += turns.REQUEST_UNITS
        self._framing_bytes = 0
        if self._error is not None or self._head is None:
            return
        version = self._parser.get_http_version()
        keeps_open = version == "1.1" and self._parser.should_keep_alive()
        self._takes_requests = keeps_open
        arrived_s = self._gateway.arrival_s()
        read_s = self._gateway.now_s()
        request = calls.Request(self._head, bytes(self._body), arrived_s, read_s)
        self._body = b""
        # The connection may stay idle for long.
        self._head = None
        self._head_bytes = 0
        self._queue.append((request, keeps_open, version))

    def _start_next(self):
        """Start the next request; reject an invalid one when it is its turn."""
        while self._queue and not self._is_busy and not self._is_closing:
            request, self._keeps_open, version = self._queue.popleft()
            self._is_http_1_0 = version != "1.1"
            self._is_head_request = request.head.method == b"HEAD"
            self._is_busy = True
            self._call_bytes = _request_bytes(request)
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
        """Stop reading while enough requests are queued, or an answer ends a stop.

        In a planned stop nothing is read behind a call in progress: if that call is cut
        at the end, its connection is reset, and a request that was not read may be sent
        elsewhere.
        """
        is_full = len(self._queue) >= MAX_PIPELINED
        if self._unparsed and not is_full:
            self._listener.turns.defer(self)
        is_in_stop = self._listener.is_stopping and self._is_busy
        is_held = is_full or bool(self._unparsed) or is_in_stop
        if is_held and not self._is_read_paused:
            self._gateway.count("client_reads_paused")
            self.transport.pauseProducing()
        elif self._is_read_paused and not is_held:
            self.transport.resumeProducing()
        self._is_read_paused = is_held

    def stop_begun(self):
        """Stop reading behind a call in progress."""
        if self._is_busy and not self._is_disconnected and not self._is_closing:
            self._pace_reading()

    def check_left(self):
        """Let the transport notice that the client of a paused connection has left.

        What it sent before it left is read and dropped.
        """
        if not self._is_read_paused or self._is_closing or self._is_disconnected:
            return
        # Not every system tells the state of a connection.
        if self.has_left or sockets.is_ended_by_peer(self.transport.getHandle()):
            self._takes_requests = False
            self._is_read_paused = False
            self.transport.resumeProducing()

    def _reject(self, status, message):
        """Refuse a request that cannot be read, and close the connection."""
        if self._is_closing:
            return
        self._drop_received()
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
        self._drop_received()
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
        :param body: bytes, or :class:`answer_bodies.AnswerBody`, which is used up.
        """
        closes = self._closes_connection()
        length = len(body)
        if self._is_head_request:
            length, body = head.length or 0, b""
        head_bytes = self._gateway.dialect.write_response(head, length, closes)
        self._has_begun = True
        if len(body) <= MAX_JOINED_BYTES:
            self.transport.write(head_bytes + bytes(body))
            self._response_sent(closes)
            return
        # RFC 9112, 9.6: no request is processed behind an announced close.
        self._takes_requests &= not closes
        self._call = None
        if not isinstance(body, answer_bodies.AnswerBody):
            body = answer_bodies.AnswerBody(body)
        self._answer = body
        self._closes_behind_answer = closes
        self.transport.write(head_bytes)
        self._write_answer()

    def _write_answer(self):
        """Write parts of a long answer until the client's window is full."""
        while len(self._answer) and not self._is_write_paused:
            self.transport.write(self._answer.take(MAX_JOINED_BYTES))
        if len(self._answer):
            self._count_memory()
        else:
            self._response_sent(self._closes_behind_answer)

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
        self._answer = answer_bodies.AnswerBody()
        self.transport.abortConnection()

    def _closes_connection(self):
        """Tell whether the connection ends with the answer to the current request."""
        has_more = self._queue or self._is_reading or self._unparsed
        if not has_more and self._is_read_paused:
            has_more = sockets.has_unread(self.transport.getHandle())
        is_last = not has_more and self._error is None
        return not self._keeps_open or (self._listener.is_stopping and is_last)

    def _response_sent(self, closes):
        self._call = None
        self._is_busy = False
        self._call_bytes = 0
        self._count_memory()
        if self._is_broken_off:
            return
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
        else:
            self._pace_reading()

    # Flow control: Twisted's producer interface.

    def pauseProducing(self):
        """Stop reading from the endpoint: the client's send buffer is full."""
        self._is_write_paused = True
        self._count_memory()
        if self._call is not None:
            self._call.pause()

    def resumeProducing(self):
        """Go on with a long answer, or resume reading from the endpoint."""
        self._is_write_paused = False
        if len(self._answer):
            self._write_answer()
        elif self._call is not None:
            self._call.resume()

    def stopProducing(self):
        """Do nothing: ``connectionLost`` follows and cleans up."""


def _request_bytes(request):
    """Return the memory that a request takes until it is answered."""
    headers = memory_account.headers_bytes(request.head.headers)
    return REQUEST_BYTES + headers + len(request.body)


class Listener(protocol.Factory):
    """Accepts connections of clients and keeps track of them.

    :param reactor: Twisted reactor.
    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param rejected: called with the status and message of each rejected request.
    :param machine: :class:`cicadaplank.gateway.memory_account.MachineLimits`.
    :ivar memory: :class:`cicadaplank.gateway.memory_account.MemoryAccount`.
    """

    noisy = False

    def __init__(self, reactor, gateway, rejected, machine=None):
        self.reactor = reactor
        self.gateway = gateway
        self.rejected = rejected
        # In the order in which they were opened.
        self._connections = {}
        self._lingering = set()
        self._unread = set()
        self._unread_timer = None
        self.turns = turns.Turns(reactor.callLater)
        machine = machine or memory_account.MachineLimits()
        self.memory = memory_account.MemoryAccount(machine.clients_bytes)
        self.set_machine(machine)

    def set_machine(self, machine):
        """Apply the limits of the machine.

        :param machine: :class:`cicadaplank.gateway.memory_account.MachineLimits`.
        """
        self._max_connections = machine.client_connections
        self.memory.limit_bytes = machine.clients_bytes

    def update_metrics(self, metrics):
        """Set the gauges of what clients hold, and of the bounds.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        """
        metrics.set_gauge("client_connections_limit", self._max_connections)
        metrics.set_gauge("client_memory_bytes", self.memory.total_bytes)
        metrics.set_gauge("client_memory_limit_bytes", self.memory.limit_bytes)
        metrics.set_gauge("client_turns_deferred", self.turns.deferred)
        metrics.set_gauge("client_turns_waiting", self.turns.waiting_count)

    def buildProtocol(self, addr):
        """Return the protocol of a new connection, None when there are too many."""
        if len(self._connections) >= self._max_connections and not self._make_room():
            self.gateway.count("clients_cut", cause="connections")
            return None
        return ClientConnection(self)

    def _make_room(self):
        """Close the oldest connection without a request; tell whether there is one."""
        for connection in self._connections:
            if connection.give_way():
                self.gateway.count("clients_cut", cause="idle")
                self.disconnected(connection)
                return True
        return False

    def record_held(self, connection, held_bytes, kind, has_advanced):
        """Record what a connection holds, and cut others when all hold too much.

        :param connection: :class:`ClientConnection`.
        :param held_bytes: number of bytes.
        :param kind: :class:`cicadaplank.gateway.memory_account.Holds`.
        :param has_advanced: whether it has received something or was read.
        """
        is_unread = kind is memory_account.Holds.ANSWER
        if is_unread:
            self._unread.add(connection)
            if self._unread_timer is None:
                self._unread_timer = self.reactor.callLater(
                    UNREAD_CHECK_S, self._check_unread
                )
        else:
            self._unread.discard(connection)
        if held_bytes < MIN_COUNTED_BYTES and not is_unread:
            self.memory.release(connection)
            return
        now_s = self.reactor.seconds()
        self.memory.set_held(connection, held_bytes, kind, now_s, has_advanced)
        for holder, holding in self.memory.take_excess(now_s):
            holder.free_memory(holding)

    def _check_unread(self):
        self._unread_timer = None
        now_s = self.reactor.seconds()
        for connection in list(self._unread):
            connection.check_unread(now_s)
        if self._unread and self._unread_timer is None:
            self._unread_timer = self.reactor.callLater(
                UNREAD_CHECK_S, self._check_unread
            )

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
        self._connections[connection] = None

    def disconnected(self, connection):
        """Remove a connection that was closed."""
        self._connections.pop(connection, None)
        self._lingering.discard(connection)
        self._unread.discard(connection)
        self.turns.remove(connection)
        self.memory.release(connection)

    def may_linger(self, connection):
        """Tell whether a closed connection may still be read for a while.

        :param connection: :class:`ClientConnection`, counted from now on if it may.
        """
        if len(self._lingering) >= MAX_LINGERING:
            return False
        self._lingering.add(connection)
        return True

    def stop_begun(self):
        """Read no requests behind calls in progress from now on."""
        for connection in list(self._connections):
            connection.stop_begun()

    def check_left(self):
        """Notice clients that have left while they are not read."""
        for connection in list(self._connections):
            connection.check_left()

    def close_idle(self):
        """Close every connection that is neither reading nor answering a request."""
        for connection in list(self._connections):
            connection.close_idle()
