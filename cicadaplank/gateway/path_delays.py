"""Queueing delays of the network paths from other processes.

The clocks of two machines are not synchronised, but the delay of a message beyond the
smallest one seen from the same sender is known from the differences of both clocks. It
contains the time in the queues of links and the time by which the event loops of sender
and receiver run late.
"""

import dataclasses
import math

# Time over which the smallest delay is sought. A clock that drifts by 100 ppm deviates
# by 6 ms in it.
BASELINE_S = 60.0
# Age after which a measured delay is no longer valid.
MAX_AGE_S = 5.0
MAX_SENDERS = 2_000


@dataclasses.dataclass
class _Path:
    """Measurements of the path from one sender.

    :ivar smallest_s: smallest difference of the clocks in the current period, in
        seconds.
    :ivar previous_s: the same in the period before.
    :ivar period_started_s: time in seconds at which the current period began.
    :ivar delay_s: delay of the newest message beyond the smallest, in seconds.
    :ivar received_s: time in seconds at which the newest message arrived.
    """

    smallest_s: float
    previous_s: float
    period_started_s: float
    delay_s: float
    received_s: float


class PathDelays:
    """Delays of messages by sender, beyond the smallest delay of the same sender."""

    def __init__(self):
        self._paths = {}

    def record(self, sender, sent_s, now_s):
        """Record a message.

        A sender that was restarted has another clock, and its path is measured anew, as
        is that of one whose clock is not a number.

        :param sender: name of the sender.
        :param sent_s: clock of the sender in seconds when it sent the message.
        :param now_s: current time in seconds.
        """
        difference_s = now_s - sent_s
        if not math.isfinite(difference_s):
            self.forget(sender)
            return
        path = self._paths.get(sender)
        if path is None or abs(difference_s - path.smallest_s) > BASELINE_S:
            if path is None and len(self._paths) >= MAX_SENDERS:
                oldest = min(self._paths, key=lambda n: self._paths[n].received_s)
                del self._paths[oldest]
            path = _Path(difference_s, difference_s, now_s, 0.0, now_s)
            self._paths[sender] = path
        if now_s - path.period_started_s > BASELINE_S:
            path.previous_s, path.smallest_s = path.smallest_s, difference_s
            path.period_started_s = now_s
        path.smallest_s = min(path.smallest_s, difference_s)
        path.delay_s = difference_s - min(path.smallest_s, path.previous_s)
        path.received_s = now_s

    def forget(self, sender):
        """Forget the path from a sender, as its next message comes another way.

        :param sender: name of the sender.
        """
        self._paths.pop(sender, None)

    def delay_s(self, sender, now_s):
        """Return the delay of the newest message of a sender.

        :param sender: name of the sender.
        :param now_s: current time in seconds.
        :returns: seconds; 0.0 when no message of the last :data:`MAX_AGE_S` is known.
        """
        path = self._paths.get(sender)
        if path is None or now_s - path.received_s > MAX_AGE_S:
            return 0.0
        return path.delay_s

    def largest_s(self, now_s):
        """Return the largest delay of all senders and the name of its sender.

        :param now_s: current time in seconds.
        :returns: tuple of seconds and name; 0.0 and an empty name when none is known.
        """
        delays = ((self.delay_s(name, now_s), name) for name in self._paths)
        return max(delays, default=(0.0, ""))
