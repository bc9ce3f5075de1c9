"""Retry budget that all entry instances share without coordination."""

import collections

# Share of the allowed retries that is used. The rest is a margin, since the sliding
# windows of entry instances and of the endpoints that count the sends do not coincide.
USABLE_SHARE = 0.8
# The fixed allowance is divided among at least this many entry instances, as a further
# one may not have registered yet.
MIN_MEMBERS = 8


class RetryBudget:
    """Retries that one entry instance may send to a service.

    Every instance may retry a share of the requests that it received itself, and has
    an equal part of the fixed allowance. The sum over all instances therefore stays
    below the common limit without any message between them.

    :param share: retries allowed for each request.
    :param allowance: further retries allowed in a window, over all entry instances.
    :param window_s: length of the sliding window in seconds.
    :ivar members: number of known entry instances, this one included; None while the
        list of instances has not been read. There is no allowance then: after a loss of
        power all of them start at once, and none knows the others.
    :ivar rejected: number of retries that the budget did not allow.
    """

    def __init__(self, share, allowance, window_s):
        self._share = share
        self._allowance = allowance
        self._window_s = window_s
        self._requests = collections.deque()
        self._retries = collections.deque()
        self.members = MIN_MEMBERS
        self.rejected = 0

    def _drop_old(self, now_s):
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

    def record_request(self, now_s):
        """Count a request that a client sent; it adds to the budget.

        :param now_s: current time in seconds.
        """
        self._drop_old(now_s)
        self._requests.append(now_s)

    def retries_left(self, now_s):
        """Return how many retries may be sent now.

        :param now_s: current time in seconds.
        :returns: number of retries, a float that may be fractional or negative.
        """
        self._drop_old(now_s)
        allowance = 0.0
        if self.members is not None:
            allowance = self._allowance / max(self.members, MIN_MEMBERS)
        limit = USABLE_SHARE * (self._share * len(self._requests) + allowance)
        return limit - len(self._retries)

    def try_retry(self, now_s):
        """Use one retry of the budget, or count a rejected one.

        :param now_s: current time in seconds.
        :returns: True when the budget allows the retry.
        """
        if self.retries_left(now_s) < 1:
            self.rejected += 1
            return False
        self._retries.append(now_s)
        return True

    def give_back(self, taken_s):
        """Return a retry that was not sent.

        :param taken_s: time in seconds at which it was taken.
        """
        if taken_s in self._retries:
            self._retries.remove(taken_s)
