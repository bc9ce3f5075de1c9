"""Budget of repeated sends that all entry instances keep together."""

import collections

# Part of the allowed repeats that is used; the rest covers sends whose windows differ
# between entry instances and the endpoints that count them.
USED_SHARE = 0.8
# Entry instances that the fixed part is divided among while fewer are known: both users
# run 6 to 7, and a process that has just started knows no other one yet.
MIN_MEMBERS = 8


class RepeatBudget:
    """Repeats that one entry instance may send to a service.

    Every instance may repeat a share of the requests that it received itself, and has
    an equal part of the fixed allowance. The sum over all instances stays below the
    common limit without any message between them.

    :param share: repeats allowed for each request.
    :param allowance: further repeats in a window, over all instances.
    :param window_s: length of the sliding window.
    """

    def __init__(self, share, allowance, window_s):
        self._share = share
        self._allowance = allowance
        self._window_s = window_s
        self._requests = collections.deque()
        self._repeats = collections.deque()
        self.members = MIN_MEMBERS
        self.rejected = 0

    def _drop_old(self, now_s):
        for times in (self._requests, self._repeats):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

    def request(self, now_s):
        """Count a request that a client sent."""
        self._drop_old(now_s)
        self._requests.append(now_s)

    def left(self, now_s):
        """Return how many repeats may be sent now."""
        self._drop_old(now_s)
        fixed = self._allowance / max(self.members, MIN_MEMBERS)
        limit = USED_SHARE * (self._share * len(self._requests) + fixed)
        return limit - len(self._repeats)

    def take(self, now_s):
        """Take one repeat.

        :param now_s: current time in seconds.
        :returns: True when the budget allows it.
        """
        if self.left(now_s) < 1:
            self.rejected += 1
            return False
        self._repeats.append(now_s)
        return True
