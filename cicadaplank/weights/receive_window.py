"""Limit on the chunks in flight to an instance, from the rate at which they arrive."""

import collections

# Weight of a chunk in the smoothed rate when it arrives at a lower rate. A higher rate
# is adopted at once, since it shows what the link is capable of.
SMOOTHING = 0.3
# Time without a chunk after which the rate is measured anew: the link may have changed.
MAX_RATE_AGE_S = 5.0
# Limit on the recent arrivals that a rate is measured from.
MAX_ARRIVALS = 16


class ReceiveWindow:
    """Limit on the chunks in flight to this machine.

    Everything else that the machine receives waits behind these chunks. On a link that
    is slower than expected, the usual number of chunks would delay requests for
    seconds. Until a rate is known, one chunk is in flight.

    The rate is that of all chunks that arrive while one of them is received. Chunks
    that share the link arrive at nearly the same time, so that the time between two
    arrivals says nothing about the rate; nor does the time since the request, in which
    a chunk may have waited at its source.

    :param max_chunks: limit on a link that is as fast as expected.
    :param queue_s: time in seconds for which the chunks in flight may occupy the link,
        or None for no limit by time.
    """

    def __init__(self, max_chunks, queue_s):
        self._max_chunks = max_chunks
        self._queue_s = queue_s
        self._rate_per_s = None
        self._since_s = None
        # Time in seconds and size of the newest chunks.
        self._arrivals = collections.deque(maxlen=MAX_ARRIVALS)

    def requested(self, now_s, in_flight):
        """Record a request for a chunk.

        :param now_s: current time in seconds.
        :param in_flight: number of chunks in flight before the request.
        """
        if in_flight:
            return
        self._since_s = now_s
        if self._arrivals and now_s - self._arrivals[-1][0] > MAX_RATE_AGE_S:
            self._rate_per_s = None

    def received(self, size_bytes, now_s, receive_s=None):
        """Update the rate with a chunk that has arrived.

        :param size_bytes: size of the chunk.
        :param now_s: current time in seconds.
        :param receive_s: seconds from its first byte to its last one. When it is not
            known, the time since the previous chunk is used, or since the request when
            none was in flight before it.
        """
        if receive_s is None:
            receive_s = 0.0 if self._since_s is None else now_s - self._since_s
        self._since_s = now_s
        self._arrivals.append((now_s, size_bytes))
        if receive_s <= 0.0:
            return
        began_s = now_s - receive_s
        bytes_since = sum(size for at_s, size in self._arrivals if at_s > began_s)
        rate_per_s = bytes_since / receive_s
        previous_per_s = self._rate_per_s
        if previous_per_s is None or rate_per_s > previous_per_s:
            self._rate_per_s = rate_per_s
        else:
            self._rate_per_s += SMOOTHING * (rate_per_s - previous_per_s)

    def size(self, chunk_bytes):
        """Return how many chunks may be in flight.

        :param chunk_bytes: size of a chunk.
        """
        if self._queue_s is None:
            return self._max_chunks
        if self._rate_per_s is None:
            return 1
        fitting = round(self._rate_per_s * self._queue_s / chunk_bytes)
        return max(1, min(self._max_chunks, fitting))
