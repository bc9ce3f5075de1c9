"""Delays between repeated attempts, with exponential growth and jitter."""

MIN_SHARE = 0.5


class Backoff:
    """Delays that double from one failure to the next.

    Each one is a random share of :data:`MIN_SHARE` to 1.0 of the bound, so that
    processes that failed together do not retry together.

    :param first_s: longest delay after the first failure, in seconds.
    :param max_s: longest delay after any failure, in seconds.
    :param rng: :class:`random.Random`.
    """

    def __init__(self, first_s, max_s, rng):
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = first_s

    def next_s(self):
        """Return the delay in seconds after one more failure."""
        delay_s = self._bound_s * self._rng.uniform(MIN_SHARE, 1.0)
        self._bound_s = min(2 * self._bound_s, self._max_s)
        return delay_s

    def reset(self):
        """Start again with the delay after a first failure."""
        self._bound_s = self._first_s
