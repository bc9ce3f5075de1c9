"""Limit on the chunks in flight to an instance, from the rate at which they arrive."""

# Weight of a chunk in the smoothed rate when it arrives at a lower rate. A higher rate
# is adopted at once, since it shows what the link is capable of, while a slow chunk may
# have waited at its source.
SMOOTHING = 0.3


class ReceiveWindow:
    """Limit on the chunks in flight to this machine.

    Everything else that the machine receives waits behind these chunks. On a link that
    is slower than expected, the usual number of chunks would delay requests for
    seconds.

    :param max_chunks: limit on a link that is as fast as expected.
    :param queue_s: time in seconds for which the chunks in flight may occupy the link,
        or None for no limit by time.
    """

    def __init__(self, max_chunks, queue_s):
        self._max_chunks = max_chunks
        self._queue_s = queue_s
        self._rate_per_s = None
        self._since_s = None

    def requested(self, now_s, in_flight):
        """Record a request for a chunk.

        :param now_s: current time in seconds.
        :param in_flight: number of chunks in flight before the request.
        """
        if not in_flight:
            self._since_s = now_s

    def received(self, size_bytes, now_s):
        """Update the rate with a chunk that has arrived.

        :param size_bytes: size of the chunk.
        :param now_s: current time in seconds.
        """
        if self._since_s is None or now_s <= self._since_s:
            return
        rate_per_s = size_bytes / (now_s - self._since_s)
        self._since_s = now_s
        previous_per_s = self._rate_per_s
        if previous_per_s is None or rate_per_s > previous_per_s:
            self._rate_per_s = rate_per_s
        else:
            self._rate_per_s += SMOOTHING * (rate_per_s - previous_per_s)

    def size(self, chunk_bytes):
        """Return how many chunks may be in flight.

        :param chunk_bytes: size of a chunk.
        """
        if self._queue_s is None or self._rate_per_s is None:
            return self._max_chunks
        fitting = round(self._rate_per_s * self._queue_s / chunk_bytes)
        return max(1, min(self._max_chunks, fitting))
