"""Decision whether this instance stops, as its configuration may be too old to serve.

An instance stops when it knows of newer records that it does not get, when others have
decided by a newer configuration for some time, and when it has just woken from a freeze
and has heard nothing since. When nobody whom it reaches knows more it goes on: a data
centre that is cut off serves what it can.
"""

# Shares of the time within which a configuration has to be in force. Age of the
# state of the store that the copies are known to hold from which they may be too old.
MAX_CONFIRMED_SHARE = 0.85
# Time for which newer records must have been known of, as they usually arrive soon.
MISSING_SHARE = 0.2
# Time for which others must have decided by a newer configuration, whatever the copies
# hold. What is left of the bound is for the news of it.
OUTPACED_SHARE = 0.6
# Time without an update of this decision after which the process was frozen.
FROZEN_SHARE = 0.5
# Time after its waking for which a process waits for news.
WOKEN_SHARE = 0.5
# Time after which clients are asked to come back.
RETRY_AFTER_S = 0.3
MISSING = "newer configuration exists and has not arrived"
OUTPACED = "other instances decide by a newer configuration"
WOKEN = "this process was frozen and does not know the configuration in force"


class StaleGuard:
    """Decides whether an instance stops serving.

    :param in_force_s: seconds within which a configuration has to be in force.
    :param now_s: current time in seconds.
    :ivar reason: why it has stopped, or an empty string while it serves.
    """

    def __init__(self, in_force_s, now_s):
        self.in_force_s = in_force_s
        self.reason = ""
        self._updated_s = now_s
        self._missing_since_s = None
        self._woke_s = None

    def was_frozen(self, now_s):
        """Tell whether the process has been frozen since the last update.

        :param now_s: current time in seconds.
        """
        return now_s - self._updated_s > FROZEN_SHARE * self.in_force_s

    def update(self, now_s, confirmed_age_s, is_behind, outpaced_s=0.0):
        """Decide anew.

        :param now_s: current time in seconds.
        :param confirmed_age_s: age of the state of the store that the copies are known
            to hold.
        :param is_behind: whether a peer reports records that the copies lack.
        :param outpaced_s: seconds for which peers are known to have decided by a newer
            configuration.
        :returns: whether the instance stops or begins to serve again with this update.
        """
        if self.was_frozen(now_s):
            self._woke_s = now_s
        self._updated_s = now_s
        if not is_behind:
            self._missing_since_s = None
        elif self._missing_since_s is None:
            self._missing_since_s = now_s
        before = self.reason
        self.reason = self._decide(now_s, confirmed_age_s, outpaced_s)
        return bool(before) != bool(self.reason)

    def _decide(self, now_s, confirmed_age_s, outpaced_s):
        if self._woke_s is not None:
            woken_for_s = now_s - self._woke_s
            is_confirmed = confirmed_age_s <= woken_for_s
            if not is_confirmed and woken_for_s < WOKEN_SHARE * self.in_force_s:
                return WOKEN
            self._woke_s = None
        if outpaced_s > OUTPACED_SHARE * self.in_force_s:
            return OUTPACED
        if self._missing_since_s is None:
            return ""
        missing_for_s = now_s - self._missing_since_s
        is_old = confirmed_age_s > MAX_CONFIRMED_SHARE * self.in_force_s
        return (
            MISSING
            if is_old and missing_for_s > MISSING_SHARE * self.in_force_s
            else ""
        )
