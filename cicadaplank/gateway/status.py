"""Small HTTP pages of a process: readiness and metrics."""

import httptools
from twisted.internet import protocol

# A request for a page has no body and few headers.
MAX_REQUEST_BYTES = 16 * 1024
# A connection without a request is closed after this time.
IDLE_S = 10.0
_REASONS = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}


class PageConnection(protocol.Protocol):
    """One connection that asks for pages.

    :param pages: :class:`Pages` that owns it.
    """

    def __init__(self, pages):
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._bytes = 0
        self._timer = None

    def connectionMade(self):
        """Start the idle timer."""
        self.transport.setTcpNoDelay(True)
        self._restart()

    def _restart(self):
        self._stop()
        self._timer = self._pages.reactor.callLater(
            IDLE_S, self.transport.loseConnection
        )

    def _stop(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop the idle timer."""
        self._stop()

    def dataReceived(self, data):
        """Read a part of a request."""
        self._bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.abortConnection()
            return
        if self._bytes > MAX_REQUEST_BYTES:
            self.transport.abortConnection()

    def on_url(self, url):
        """Take a part of the request target."""
        self._target += url

    def on_message_complete(self):
        """Answer a request."""
        path = self._target.partition(b"?")[0].decode("latin-1")
        self._target = b""
        self._bytes = 0
        status, content_type, body = self._pages.page(path)
        keeps = self._parser.should_keep_alive()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: %b\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                status,
                _REASONS.get(status, b"Unknown"),
                content_type.encode(),
                len(body),
                b"" if keeps else b"Connection: close\r\n",
                body,
            )
        )
        if keeps:
            self._restart()
        else:
            self.transport.loseConnection()


class Pages(protocol.Factory):
    """Serves pages.

    :param reactor: Twisted reactor.
    :param pages: dict from path to a callable that returns
        ``(status, content type, body)``.
    """

    noisy = False

    def __init__(self, reactor, pages):
        self.reactor = reactor
        self._pages = pages

    def buildProtocol(self, addr):
        """Return the protocol of a connection."""
        return PageConnection(self)

    def page(self, path):
        """Return status, content type and body of a page."""
        found = self._pages.get(path)
        if found is None:
            return 404, "text/plain", b"no such page\n"
        return found()
