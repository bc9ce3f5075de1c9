"""Bounds of the time at which another process made a statement.

The clocks of two machines are not synchronised, and a message may have waited in any
queue between them. A process echoes the messages of another one: what it received at
some time of its clock was sent before by the clock of the other. The other one thereby
knows how far both clocks are apart at least, whatever the paths delay, and a time by
its own clock before which a message was not made.
"""

import math

# Bound of the rate at which two clocks deviate.
MAX_DRIFT = 2e-4
# Interval at which the messages of a sender are echoed.
ECHO_INTERVAL_S = 2.0
MAX_SENDERS = 2_000


class ReportAges:
    """Ages of messages by sender, from the echoes of this process's own messages.

    :ivar rejected: number of echoes that were impossible or of too many senders.
    """

    def __init__(self):
        self.rejected = 0
        # By sender: the least difference of the clocks in seconds, and the time of its
        # echo.
        self._offsets = {}
        self._echoed_s = {}

    def is_echo_due(self, sender, now_s):
        """Tell whether to echo a message that is received now, and expect that.

        :param sender: name of the sender.
        :param now_s: current time in seconds.
        """
        echoed_s = self._echoed_s.get(sender)
        if echoed_s is not None and now_s - echoed_s < ECHO_INTERVAL_S:
            return False
        if echoed_s is None and len(self._echoed_s) >= MAX_SENDERS:
            self.rejected += 1
            return False
        self._echoed_s[sender] = now_s
        return True

    def record_echo(self, sender, sent_s, received_s, now_s):
        """Record an echo of a message of this process.

        :param sender: name of the sender of the echo.
        :param sent_s: time in seconds at which the message was sent.
        :param received_s: clock of the sender in seconds when it received the message.
        :param now_s: current time in seconds.
        """
        offset_s = sent_s - received_s
        is_known = sender in self._offsets
        has_room = is_known or len(self._offsets) < MAX_SENDERS
        if not math.isfinite(offset_s) or sent_s > now_s or not has_room:
            self.rejected += 1
            return
        if not is_known or offset_s > self._offset_s(sender, now_s):
            self._offsets[sender] = (offset_s, now_s)

    def _offset_s(self, sender, now_s):
        offset_s, echoed_s = self._offsets[sender]
        return offset_s - MAX_DRIFT * (now_s - echoed_s)

    def max_age_s(self, sender, sent_s, now_s):
        """Return the greatest time for which a message may have been under way.

        :param sender: name of the sender.
        :param sent_s: clock of the sender in seconds when it made the message.
        :param now_s: current time in seconds.
        :returns: seconds; None while the sender has echoed nothing, or when its clock
            jumped.
        """
        if sender not in self._offsets:
            return None
        age_s = now_s - sent_s - self._offset_s(sender, now_s)
        if not 0 <= age_s < math.inf:
            self.rejected += 1
            self.forget(sender)
            return None
        return age_s

    def forget(self, sender):
        """Forget a sender, which may have restarted on a machine with another clock.

        :param sender: name of the sender.
        """
        self._offsets.pop(sender, None)
        self._echoed_s.pop(sender, None)
