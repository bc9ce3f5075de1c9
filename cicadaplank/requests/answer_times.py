"""Longest recent time of whole answers, from which the time of the next is judged."""

# Answers are remembered for one to two times this long.
WINDOW_S = 60.0
# Factor of the longest time that a further answer may take.
MARGIN = 1.25


class LongestAnswer:
    """Longest time that whole answers of one service took in the last minutes."""

    def __init__(self):
        self._window_start_s = None
        self._longest_s = None
        self._previous_s = None

    def record(self, duration_s, now_s):
        """Add an answer.

        :param duration_s: seconds from sending the request to the end of its answer.
        :param now_s: current time in seconds.
        """
        self._drop_old(now_s)
        self._longest_s = max(duration_s, self._longest_s or 0.0)

    def needed_s(self, limit_s, now_s):
        """Return the time that an answer may take.

        :param limit_s: seconds until the request's own time limit.
        :param now_s: current time in seconds.
        :returns: seconds; ``limit_s`` when no answer is known.
        """
        self._drop_old(now_s)
        known = [each for each in (self._longest_s, self._previous_s) if each]
        return min(limit_s, MARGIN * max(known)) if known else limit_s

    def _drop_old(self, now_s):
        if self._window_start_s is None:
            self._window_start_s = now_s
        passed_s = now_s - self._window_start_s
        if passed_s < WINDOW_S:
            return
        self._previous_s = self._longest_s if passed_s < 2 * WINDOW_S else None
        self._longest_s = None
        self._window_start_s = now_s
