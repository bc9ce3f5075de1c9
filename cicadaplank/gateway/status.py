"""Minimal HTTP server for a process's readiness and metrics pages."""

import collections

import httptools
from twisted.internet import protocol

from cicadaplank.gateway import memory_account
from cicadaplank.links import connection_order

# Limit in bytes on a request. One for a page has no body and few headers.
MAX_REQUEST_BYTES = 16 * 1024
# A connection on which no request completes, or no answer is read, is closed after
# this time.
IDLE_TIMEOUT_S = 10.0
# Requests that may wait for the answers before them to be read.
MAX_QUEUED_REQUESTS = 16
# Limits on the open connections of a port, and on the bytes of unfinished requests and
# unread answers that they hold together.
MAX_CONNECTIONS = 32
MAX_HELD_BYTES = 4 * 1024 * 1024
_REASONS = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}


class PageConnection(protocol.Protocol):
    """One HTTP connection on which pages are requested.

    A page is rendered when the answer before it was taken by the socket: Twisted calls
    :meth:`resumeProducing` of a pull producer whenever nothing is left to be written.

    :param pages: :class:`Pages` that owns it.
    """

    def __init__(self, pages):
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._request_bytes = 0
        self._answer_bytes = 0
        self._timer = None
        # Path and whether the connection stays open, for each request.
        self._queue = collections.deque()
        self._is_answering = False
        self._has_excess = False

    def connectionMade(self):
        """Start the idle timer."""
        self._pages.connected(self)
        self.transport.setTcpNoDelay(True)
        self._restart_timer()

    def _restart_timer(self):
        self._stop_timer()
        self._timer = self._pages.reactor.callLater(IDLE_TIMEOUT_S, self._timed_out)

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _timed_out(self):
        if self._answer_bytes:
            # A close would wait for the answer to be read.
            self.cut("unread")
        else:
            self.transport.loseConnection()

    def cut(self, cause):
        """Reset the connection.

        :param cause: text for the metrics.
        """
        self._pages.counters[cause] += 1
        self._queue.clear()
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop the idle timer."""
        self._stop_timer()
        self._pages.disconnected(self)

    def dataReceived(self, data):
        """Parse a part of a request; an invalid or too long one is aborted."""
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abortConnection()
            return
        if self._request_bytes > MAX_REQUEST_BYTES:
            self.transport.abortConnection()
            return
        if self._has_excess:
            self.cut("requests")
            return
        self._count_memory()

    def _count_memory(self):
        self._pages.record_held(self, self._request_bytes + self._answer_bytes)

    def on_url(self, url):
        """Append a part of the request target (parser callback)."""
        self._target += url

    def on_message_complete(self):
        """Queue the request (parser callback)."""
        path = self._target.partition(b"?")[0].decode("latin-1")
        self._target = b""
        self._request_bytes = 0
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._has_excess = True
            return
        self._queue.append((path, self._parser.should_keep_alive()))
        self._pages.requested(self)
        if not self._is_answering:
            self._is_answering = True
            self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Send the next page that was requested: the one before it was sent."""
        self._answer_bytes = 0
        self._restart_timer()
        if not self._queue:
            self._is_answering = False
            self.transport.unregisterProducer()
            self._count_memory()
            return
        path, keeps_open = self._queue.popleft()
        answer = self._answer(path, keeps_open)
        self._answer_bytes = len(answer)
        self.transport.write(answer)
        if not keeps_open:
            self._queue.clear()
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        self._count_memory()

    def _answer(self, path, keeps_open):
        status, content_type, body = self._pages.page(path)
        return (
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                _REASONS.get(status, b"Unknown"),
                content_type.encode(),
                len(body),
                b"" if keeps_open else b"Connection: close\r\n",
                body,
            )
        )

    def stopProducing(self):
        """Drop the requests, because the connection has ended."""
        self._queue.clear()


class Pages(protocol.Factory):
    """Serves pages that are rendered at each request.

    :param reactor: Twisted reactor.
    :param pages: dict from path to a callable that returns
        ``(status, content type, body)``.
    :ivar counters: number of connections that were cut, by cause.
    """

    noisy = False

    def __init__(self, reactor, pages):
        self.reactor = reactor
        self.counters = collections.Counter()
        self._pages = pages
        self._order = connection_order.ConnectionOrder(MAX_CONNECTIONS)
        self._memory = memory_account.MemoryAccount(MAX_HELD_BYTES)

    def buildProtocol(self, addr):
        """Return the protocol of a new connection, None when no other gives way."""
        for connection in self._order.take_excess(self.reactor.seconds()):
            connection.cut("connections")
        if self._order.is_full:
            self.counters["refused"] += 1
            return None
        return PageConnection(self)

    def connected(self, connection):
        """Add a connection that was established."""
        standing = connection_order.Standing.SILENT
        self._order.used(connection, standing, self.reactor.seconds())

    def requested(self, connection):
        """Record that a page was requested on a connection."""
        standing = connection_order.Standing.STRANGER
        self._order.used(connection, standing, self.reactor.seconds())

    def disconnected(self, connection):
        """Remove a connection that was closed."""
        self._order.remove(connection)
        self._memory.release(connection)

    def record_held(self, connection, held_bytes):
        """Record what a connection holds, and cut others when all hold too much.

        :param connection: :class:`PageConnection`.
        :param held_bytes: number of bytes.
        """
        if not held_bytes:
            self._memory.release(connection)
            return
        now_s = self.reactor.seconds()
        kind = memory_account.Holds.ANSWER
        self._memory.set_held(connection, held_bytes, kind, now_s)
        for holder, _ in self._memory.take_excess(now_s):
            holder.cut("memory")

    def update_metrics(self, metrics, port):
        """Set the gauges of what the connections hold, and of those that were cut.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        :param port: name of the port in the metrics.
        """
        metrics.set_gauge("page_connections", len(self._order), port=port)
        metrics.set_gauge("page_connections_limit", self._order.limit, port=port)
        metrics.set_gauge("page_memory_bytes", self._memory.total_bytes, port=port)
        limit_bytes = self._memory.limit_bytes
        metrics.set_gauge("page_memory_limit_bytes", limit_bytes, port=port)
        for cause, count in self.counters.items():
            metrics.set_gauge("page_connections_cut", count, port=port, cause=cause)

    def page(self, path):
        """Return HTTP status, content type and body of a page.

        :param path: path without query.
        """
        render = self._pages.get(path)
        if render is None:
            return 404, "text/plain", b"no such page\n"
        return render()
