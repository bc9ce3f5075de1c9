"""Requests to the HTTP port of a process, with bounds on their bodies."""

from twisted.internet import reactor
from twisted.web import server

# Bytes of a body that are kept. The handlers reject a body that is longer than theirs.
MAX_KEPT_BYTES = 1024 * 1024 + 1
# A longer body is read, so that its sender gets an answer, up to this size.
MAX_READ_BYTES = 8 * 1024 * 1024
# Time in which a body has to arrive.
BODY_TIMEOUT_S = 30.0


class BoundedRequest(server.Request):
    """Request that keeps the start of its body, and is aborted if it does not end.

    :cvar body_timeout_s: seconds in which a body has to arrive.
    """

    body_timeout_s = BODY_TIMEOUT_S
    _body_bytes = 0
    _body_timer = None

    def gotLength(self, length):
        """Start the time limit of the body.

        :param length: length that the headers declare, or None.
        """
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
