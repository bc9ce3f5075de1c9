"""Minimal HTTP server for a process's readiness and metrics pages."""

import httptools
from twisted.internet import protocol

# Limit in bytes on a request. One for a page has no body and few headers.
MAX_REQUEST_BYTES = 16 * 1024
# A connection on which no request completes is closed after this time.
IDLE_TIMEOUT_S = 10.0
_REASONS = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}


class PageConnection(protocol.Protocol):
    """One HTTP connection on which pages are requested.

    :param pages: :class:`Pages` that owns it.
    """

    def __init__(self, pages):
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._request_bytes = 0
        self._timer = None

    def connectionMade(self):
        """Start the idle timer."""
        self.transport.setTcpNoDelay(True)
        self._restart_timer()

    def _restart_timer(self):
        self._stop_timer()
        self._timer = self._pages.reactor.callLater(
            IDLE_TIMEOUT_S, self.transport.loseConnection
        )

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop the idle timer."""
        self._stop_timer()

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

    def on_url(self, url):
        """Append a part of the request target (parser callback)."""
        self._target += url

    def on_message_complete(self):
        """Send the requested page (parser callback)."""
        path = self._target.partition(b"?")[0].decode("latin-1")
        self._target = b""
        self._request_bytes = 0
        status, content_type, body = self._pages.page(path)
        keeps_open = self._parser.should_keep_alive()
        self.transport.write(
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
        if keeps_open:
            self._restart_timer()
        else:
            self.transport.loseConnection()


class Pages(protocol.Factory):
    """Serves pages that are rendered at each request.

    :param reactor: Twisted reactor.
    :param pages: dict from path to a callable that returns
        ``(status, content type, body)``.
    """

    noisy = False

    def __init__(self, reactor, pages):
        self.reactor = reactor
        self._pages = pages

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        return PageConnection(self)

    def page(self, path):
        """Return HTTP status, content type and body of a page.

        :param path: path without query.
        """
        render = self._pages.get(path)
        if render is None:
            return 404, "text/plain", b"no such page\n"
        return render()
