"""Queue of calls that wait for a free slot at an endpoint, and its admission control.

Load pattern: a burst brings more calls than the endpoints have free slots, or most
endpoints load new weights or crash at the same time. Calls that can still meet their
latency objective are served first, by priority and then by the earliest time by which
they have to start; calls that are too late for it follow by priority and then in
order of arrival. A call that would wait longer than its limit at the current start rate
is refused on arrival with a retry time, and a waiting call is removed at that limit.
A queue that sheds is ordered by :mod:`cicadaplank.gateway.shedding` instead.
"""

import collections
import dataclasses
import itertools

from cicadaplank.gateway import shedding

# Limit of the calls that wait for one service at one entry instance.
MAX_WAITING = 400
# Sliding window over which the rate of started calls is measured.
RATE_WINDOW_S = 1.0
# Share of the time until its deadline that a call may spend waiting. The rest is kept
# for the answer.
MAX_WAIT_SHARE = 0.5
# Minimum retry time for a refused client: an earlier retry would meet the same queue.
MIN_RETRY_AFTER_S = 0.1
# Clients honour a retry time only up to this share of the time until their deadline.
MAX_RETRY_AFTER_SHARE = 0.3
# Random factor of the retry time, so that refused clients do not retry simultaneously.
RETRY_JITTER = (0.7, 1.3)
# The same for a time that endpoints have told, and the longest such time.
TOLD_JITTER = (1.0, 1.2)
MAX_TOLD_S = 60.0


# Weight of the newest sample in the moving average of a service's answer time.
MEAN_WEIGHT = 0.05
# Largest share of an objective that is reserved for the answer itself: under load the
# answers become slow, and calls would count as late before they have waited at all.
MAX_ANSWER_SHARE = 0.5


class AnswerTimeAverage:
    """Moving average of the time that a service takes to answer a call.

    The time is measured from sending the call to the event that its objective is about:
    the first event of a stream, or the whole answer of any other call.

    Load pattern: more calls arrive than can be started. A call that starts just before
    its objective is answered after it, so every call that starts is late although calls
    that could be on time wait behind it. A call therefore has to start earlier than its
    objective by the average answer time.
    """

    def __init__(self):
        self._mean_s = 0.0

    def record_answer(self, duration_s):
        """Add a sample to the average.

        :param duration_s: seconds from sending the call to the first event of a stream,
            or to the whole answer of any other call.
        """
        if not self._mean_s:
            self._mean_s = duration_s
        self._mean_s += MEAN_WEIGHT * (duration_s - self._mean_s)

    def start_by_s(self, arrived_s, objective_s):
        """Return the time by which a call has to start to meet its objective.

        :param arrived_s: time of arrival in seconds.
        :param objective_s: time in seconds after which the answer counts as late.
        :returns: time in seconds.
        """
        max_lead_s = MAX_ANSWER_SHARE * (objective_s - arrived_s)
        return objective_s - min(self._mean_s, max_lead_s)


@dataclasses.dataclass(frozen=True)
class QueuedCall:
    """Queue entry of a waiting call.

    :param call: hashable object that identifies the call.
    :param priority: 0 is most urgent.
    :param arrived_s: time of arrival in seconds.
    :param start_by_s: time in seconds by which it has to start to meet its objective.
    :param wait_until_s: time in seconds at which it is removed from the queue.
    :param work_s: time in seconds for which it takes an endpoint, 0 when unknown.
    :param may_be_refused: whether it has certainly not run.
    """

    call: object
    priority: int
    arrived_s: float
    start_by_s: float
    wait_until_s: float
    work_s: float = 0.0
    may_be_refused: bool = True


class CallQueue:
    """Queue of the calls that wait for one service.

    :ivar refused: number of refused calls by reason.
    :ivar sheds: whether order and refusals are decided by
        :mod:`cicadaplank.gateway.shedding`.
    """

    def __init__(self):
        self.sheds = False
        self._starts = 0
        self.refused = collections.Counter()
        self._sequence = itertools.count()
        self._queued_calls = {}
        self._numbers = {}
        self._start_times_s = collections.deque()
        self._waiting_since_s = None

    def __len__(self):
        return len(self._queued_calls)

    def record_start(self, now_s):
        """Record that a call was sent to an endpoint; this sets the start rate."""
        self._starts += 1
        self._start_times_s.append(now_s)
        self._drop_old(now_s)

    def _drop_old(self, now_s):
        while self._start_times_s and self._start_times_s[0] < now_s - RATE_WINDOW_S:
            self._start_times_s.popleft()

    def _starts_per_s(self, now_s):
        self._drop_old(now_s)
        return len(self._start_times_s) / RATE_WINDOW_S

    def expected_wait_s(self, now_s, priority=None):
        """Estimate how long a call that arrives now would wait.

        :param now_s: current time in seconds.
        :param priority: its priority, which counts in a queue that sheds.
        :returns: seconds; infinite when calls have waited for :data:`RATE_WINDOW_S` or
            longer and none was started in that window.
        """
        self._drop_old(now_s)
        if not self._queued_calls:
            return 0.0
        if not self._start_times_s:
            waited_s = now_s - self._waiting_since_s
            # No rate is known before a whole window has passed. After one without a
            # start, no call is expected to start.
            return 0.0 if waited_s < RATE_WINDOW_S else float("inf")
        ahead = len(self._queued_calls)
        if self.sheds and priority is not None:
            entries = self._queued_calls.values()
            ahead = sum(1 for each in entries if each.priority <= priority)
        return (ahead + 1) * RATE_WINDOW_S / len(self._start_times_s)

    def admit(self, queued_call, now_s, expected_s=None):
        """Add a call to the queue, or refuse it.

        :param queued_call: :class:`QueuedCall`.
        :param now_s: current time in seconds.
        :param expected_s: its expected wait in seconds, None to estimate it from the
            rate at which calls start.
        :returns: empty string when the call was added, else the reason of the refusal:
            ``queue_full``, or ``overload`` when its expected wait exceeds its limit.
        """
        reason = ""
        if expected_s is None:
            expected_s = self.expected_wait_s(now_s, queued_call.priority)
        if len(self._queued_calls) >= MAX_WAITING:
            reason = "queue_full"
        elif now_s + expected_s > queued_call.wait_until_s:
            reason = "overload"
        if reason:
            self.refused[reason] += 1
            return reason
        if not self._queued_calls:
            self._waiting_since_s = now_s
        number = next(self._sequence)
        self._queued_calls[number] = queued_call
        self._numbers[queued_call.call] = number
        return ""

    def displace(self, queued_call, now_s):
        """Remove a less urgent call from a full queue that sheds.

        :param queued_call: :class:`QueuedCall` that arrives.
        :param now_s: current time in seconds.
        :returns: the removed :class:`QueuedCall`, whose call has not run, or None.
        """
        if not self.sheds or len(self._queued_calls) < MAX_WAITING:
            return None
        expected_s = self.expected_wait_s(now_s, queued_call.priority)
        if now_s + expected_s > queued_call.wait_until_s:
            return None
        found = shedding.victim(list(self._queued_calls.values()), queued_call)
        if found is not None:
            self.withdraw(found.call)
            self.refused["displaced"] += 1
        return found

    def withdraw(self, call):
        """Remove a call from the queue.

        :param call: object that identifies the call.
        :returns: True when it was in the queue.
        """
        number = self._numbers.pop(call, None)
        if number is None:
            return False
        del self._queued_calls[number]
        return True

    def by_urgency(self, now_s):
        """Return the queued calls in the order in which they are served.

        Calls that can still start in time come first, by priority and then by
        ``start_by_s``; late ones follow by priority and then in order of arrival.
        """
        if self.sheds:
            entries = list(self._queued_calls.values())
            starts_per_s = self._starts_per_s(now_s)
            return shedding.order(entries, now_s, starts_per_s, self._starts)

        def order(entry):
            number, queued_call = entry
            is_late = queued_call.start_by_s <= now_s
            due_s = 0.0 if is_late else queued_call.start_by_s
            return is_late, queued_call.priority, due_s, number

        return [
            queued_call
            for _, queued_call in sorted(self._queued_calls.items(), key=order)
        ]

    def dequeue(self, queued_call, now_s):
        """Remove an entry from the queue and record the start of its call."""
        if self.withdraw(queued_call.call):
            self.record_start(now_s)

    def pop_expired(self, now_s):
        """Remove the calls whose ``wait_until_s`` has passed.

        A queue that sheds also removes those that are expected to wait until then.

        :param now_s: current time in seconds.
        :returns: list of their :class:`QueuedCall`.
        """
        overdue = [t for t in self._queued_calls.values() if t.wait_until_s <= now_s]
        for queued_call in overdue:
            self.withdraw(queued_call.call)
            self.refused["waited_too_long"] += 1
        if self.sheds:
            ordered = self.by_urgency(now_s)
            starts_per_s = self._starts_per_s(now_s)
            late = shedding.unservable(ordered, now_s, starts_per_s)
            for queued_call in late:
                self.withdraw(queued_call.call)
                self.refused["overload"] += 1
            overdue += late
        return overdue


def wait_until_s(now_s, deadline_s, objective_s):
    """Return the time until which a call may wait for an endpoint.

    :param now_s: time of arrival in seconds.
    :param deadline_s: time in seconds at which the client gives up.
    :param objective_s: time in seconds after which the answer counts as late.
    :returns: time in seconds.
    """
    return max(objective_s, now_s + MAX_WAIT_SHARE * (deadline_s - now_s))


def told_retry_after_s(expected_s, random):
    """Return the time after which a client should retry when endpoints have told it.

    :param expected_s: expected time in seconds until there is room, which may be after
        the client's deadline.
    :param random: ``random.Random``; clients come back at different times.
    :returns: seconds, no less than ``expected_s`` up to :data:`MAX_TOLD_S`.
    """
    expected_s = min(MAX_TOLD_S, max(MIN_RETRY_AFTER_S, expected_s))
    return expected_s * random.uniform(*TOLD_JITTER)


def retry_after_s(expected_s, left_s, random):
    """Return the time after which a refused client should retry.

    :param expected_s: expected time in seconds until a slot is free.
    :param left_s: seconds until the client's deadline.
    :param random: ``random.Random``.
    :returns: seconds, at most :data:`MAX_RETRY_AFTER_SHARE` of ``left_s``.
    """
    retry_s = max(MIN_RETRY_AFTER_S, expected_s) * random.uniform(*RETRY_JITTER)
    return max(0.0, min(retry_s, MAX_RETRY_AFTER_SHARE * left_s))
