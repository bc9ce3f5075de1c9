"""Token bucket that limits the rate of traffic or requests."""


class TokenBucket:
    """Token bucket whose tokens stand for bytes or requests. It starts full.

    :param rate_per_s: tokens added each second.
    :param burst: capacity of the bucket in tokens.
    :param now_s: current time in seconds.
    :raises ValueError: when rate or burst is not positive.
    """

    def __init__(self, rate_per_s, burst, now_s=0.0):
        if rate_per_s <= 0 or burst <= 0:
            raise ValueError("rate_per_s and burst must be positive")
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def _refill(self, now_s):
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.rate_per_s)
        self._updated_s = max(now_s, self._updated_s)

    def take(self, tokens, now_s):
        """Take tokens if enough are available now.

        :param tokens: number of tokens.
        :param now_s: current time in seconds.
        :returns: True when the tokens were taken.
        """
        self._refill(now_s)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def reserve(self, tokens, now_s):
        """Take tokens, also future ones, and return the delay until they are available.

        :param tokens: number of tokens; may exceed the burst, which leaves a debt.
        :param now_s: current time in seconds.
        :returns: delay in seconds, 0 when they may be used at once.
        """
        self._refill(now_s)
        self._tokens -= tokens
        return max(0.0, -self._tokens / self.rate_per_s)

    def wait_s(self, tokens, now_s):
        """Return the time until tokens are available, without taking them.

        :param tokens: number of tokens.
        :param now_s: current time in seconds.
        :returns: time in seconds, 0 when they are available now.
        """
        self._refill(now_s)
        return max(0.0, (tokens - self._tokens) / self.rate_per_s)
