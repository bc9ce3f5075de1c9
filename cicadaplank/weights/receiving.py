"""How many chunks an instance lets come at a time, by the rate at which they come."""

# Weight of a chunk that comes more slowly than those before. A faster one counts at
# once: it shows what the link can do, while a slow one may have waited at its source.
SMOOTHING = 0.3


class ReceiveWindow:
    """Chunks that may be on their way to this machine.

    What else the machine receives waits behind them. On a link that is slower than it
    should be, as many chunks as usual would hold requests up for seconds.

    :param most: chunks at a time on a link that is as fast as it should be.
    :param queue_s: time for which what is on its way may occupy the link, or None for
        no limit.
    """

    def __init__(self, most, queue_s):
        self._most = most
        self._queue_s = queue_s
        self._rate_per_s = None
        self._since_s = None

    def requested(self, now_s, in_flight):
        """Take a request for a chunk.

        :param now_s: current time in seconds.
        :param in_flight: chunks that were on their way before it.
        """
        if not in_flight:
            self._since_s = now_s

    def received(self, size_bytes, now_s):
        """Take a chunk that has come.

        :param size_bytes: its size.
        :param now_s: current time in seconds.
        """
        if self._since_s is None or now_s <= self._since_s:
            return
        rate_per_s = size_bytes / (now_s - self._since_s)
        self._since_s = now_s
        known = self._rate_per_s
        if known is None or rate_per_s > known:
            self._rate_per_s = rate_per_s
        else:
            self._rate_per_s += SMOOTHING * (rate_per_s - known)

    def size(self, chunk_bytes):
        """Return how many chunks may be on their way.

        :param chunk_bytes: size of a chunk.
        """
        if self._queue_s is None or self._rate_per_s is None:
            return self._most
        fitting = round(self._rate_per_s * self._queue_s / chunk_bytes)
        return max(1, min(self._most, fitting))
