"""Requests to the HTTP port of a process, with bounds on their heads and bodies."""

from twisted.internet import protocol, reactor
from twisted.protocols import policies
from twisted.web import server

# Bytes of a body that are kept. The handlers reject a body that is longer than theirs.
MAX_KEPT_BYTES = 1024 * 1024 + 1
# A longer body is read, so that its sender gets an answer, up to this size.
MAX_READ_BYTES = 8 * 1024 * 1024
# Time in which the head of a request has to arrive. Twisted bounds its size.
HEAD_TIMEOUT_S = 30.0
# Time in which a body has to arrive.
BODY_TIMEOUT_S = 30.0


class _HeadTimer(policies.ProtocolWrapper):
    """Aborts a connection on which the head of a request does not end in time."""

    _head_timer = None
    _is_reading_head = True

    def dataReceived(self, data):
        """Start the time limit at the first byte of a head."""
        if self._is_reading_head and self._head_timer is None:
            delay_s = self.factory.head_timeout_s
            self._head_timer = reactor.callLater(delay_s, self.abortConnection)
        super().dataReceived(data)

    def head_received(self):
        """Stop the time limit: the head is complete."""
        self._is_reading_head = False
        self._stop()

    def request_received(self):
        """Expect the head of the next request."""
        self._is_reading_head = True

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop the time limit."""
        self._stop()
        super().connectionLost(reason)

    def _stop(self):
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class BoundedSite(policies.WrappingFactory):
    """Factory of HTTP connections with time limits for heads and bodies.

    :param resource: root resource.
    :param head_timeout_s: seconds in which the head of a request has to arrive.
    :param request_factory: :class:`BoundedRequest` or a subclass.
    """

    protocol = _HeadTimer
    noisy = False

    def __init__(self, resource, head_timeout_s=HEAD_TIMEOUT_S, request_factory=None):
        site = server.Site(resource, requestFactory=request_factory or BoundedRequest)
        site.noisy = False
        super().__init__(site)
        self.head_timeout_s = head_timeout_s

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self.protocols)

    def close(self):
        """Close each connection when its client has read all that was written."""
        for connection in list(self.protocols):
            # A paused producer would hold up the close.
            connection.unregisterProducer()
            connection.loseConnection()


class BoundedRequest(server.Request):
    """Request that keeps the start of its body, and is aborted if it does not end.

    :cvar body_timeout_s: seconds in which a body has to arrive.
    """

    body_timeout_s = BODY_TIMEOUT_S
    _body_bytes = 0
    _body_timer = None

    def gotLength(self, length):
        """Start the time limit of the body, as the head is complete.

        :param length: length that the headers declare, or None.
        """
        self.channel.transport.head_received()
        super().gotLength(None if length is None else min(length, MAX_KEPT_BYTES))
        self._body_timer = reactor.callLater(self.body_timeout_s, self._abort)

    def handleContentChunk(self, data):
        """Keep a part of the body within the limit."""
        room = max(0, MAX_KEPT_BYTES - self._body_bytes)
        self._body_bytes += len(data)
        if room:
            super().handleContentChunk(data[:room])
        if self._body_bytes > MAX_READ_BYTES:
            self._abort()

    def requestReceived(self, command, path, version):
        """Stop the time limit and process the request."""
        self._stop_body_timer()
        self.channel.transport.request_received()
        super().requestReceived(command, path, version)

    def connectionLost(self, reason):
        """Stop the time limit."""
        self._stop_body_timer()
        super().connectionLost(reason)

    def _stop_body_timer(self):
        if self._body_timer is not None and self._body_timer.active():
            self._body_timer.cancel()

    def _abort(self):
        self._stop_body_timer()
        if self.channel is not None:
            self.channel.forceAbortClient()
