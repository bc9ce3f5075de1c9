"""Calls that wait for room at an endpoint, and those that are turned away.

Load pattern: a burst brings more calls than the endpoints start at once, or most
endpoints load new weights or crash together. A call that can still meet its objective
goes first, the most urgent kind before others; calls whose objective has passed follow
in the order of arrival. A call that cannot be answered before its deadline at the rate
at which calls start now is refused on arrival with a time to come back, and none waits
longer than its answer is still worth waiting for.
"""

import collections
import dataclasses
import itertools

# Calls that wait for one service at one entry instance.
MAX_WAITING = 400
# Period over which the rate of started calls is measured.
RATE_WINDOW_S = 1.0
# Part of the time that is left which a call may spend waiting. The rest is for the
# answer.
WAITING_SHARE = 0.5
# A refused client comes back after this time at least; an earlier return meets the
# same queue.
MIN_RETRY_S = 0.1
# Part of the time left after which clients still honour a time to come back.
HONOURED_SHARE = 0.3
# Spread of the returns, so that refused clients do not come back together.
RETRY_SPREAD = (0.7, 1.3)


# Weight of the newest answer in the time that answers of a service take.
ANSWER_WEIGHT = 0.05
# Largest part of an objective that is kept for the answer itself: under load answers
# become slow, and calls would count as late before they have waited at all.
MAX_ANSWER_SHARE = 0.5


class AnswerTime:
    """Time from the sending of a service's calls until what their objective is about.

    Load pattern: more calls come than can start. A call that starts just before its
    objective is answered after it, so each start is late although calls that could be
    on time wait behind. The one that is due first has to start this much earlier.
    """

    def __init__(self):
        self._mean_s = 0.0

    def observe(self, duration_s):
        """Take in one answer.

        :param duration_s: seconds from the sending to the first event of a stream, or
            to the whole answer of another call.
        """
        if not self._mean_s:
            self._mean_s = duration_s
        self._mean_s += ANSWER_WEIGHT * (duration_s - self._mean_s)

    def start_by_s(self, arrived_s, objective_s):
        """Return when a call has to start in order to be on time.

        :param arrived_s: when it arrived.
        :param objective_s: time at which an answer loses a part of its worth.
        :returns: time in seconds.
        """
        limit_s = MAX_ANSWER_SHARE * (objective_s - arrived_s)
        return objective_s - min(self._mean_s, limit_s)


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A call that waits.

    :param call: any object that stands for the call.
    :param priority: 0 is most urgent.
    :param arrived_s: when it arrived.
    :param start_by_s: time until which it has to start to be on time.
    :param latest_s: time after which it must not wait any more.
    """

    call: object
    priority: int
    arrived_s: float
    start_by_s: float
    latest_s: float


class WaitingRoom:
    """Waiting calls of one service.

    :ivar refused: calls that were turned away, by reason.
    """

    def __init__(self):
        self.refused = collections.Counter()
        self._numbers = itertools.count()
        self._waiting = {}
        self._positions = {}
        self._starts = collections.deque()
        self._began_s = None

    def __len__(self):
        return len(self._waiting)

    def started(self, now_s):
        """Count a call that was sent to an endpoint."""
        self._starts.append(now_s)
        self._drop_old(now_s)

    def _drop_old(self, now_s):
        while self._starts and self._starts[0] < now_s - RATE_WINDOW_S:
            self._starts.popleft()

    def expected_wait_s(self, now_s):
        """Estimate how long a call that arrives now would wait.

        :param now_s: current time in seconds.
        :returns: seconds; infinite when calls wait and none has started lately.
        """
        self._drop_old(now_s)
        if not self._waiting:
            return 0.0
        if not self._starts:
            waited_s = now_s - self._began_s
            # Too early to tell; after a whole window without a start it is hopeless.
            return 0.0 if waited_s < RATE_WINDOW_S else float("inf")
        return (len(self._waiting) + 1) * RATE_WINDOW_S / len(self._starts)

    def admit(self, ticket, now_s):
        """Let a call wait, or refuse it.

        :param ticket: :class:`Ticket`.
        :param now_s: current time in seconds.
        :returns: empty text when it waits, else the reason of the refusal.
        """
        reason = ""
        if len(self._waiting) >= MAX_WAITING:
            reason = "queue_full"
        elif now_s + self.expected_wait_s(now_s) > ticket.latest_s:
            reason = "overload"
        if reason:
            self.refused[reason] += 1
            return reason
        if not self._waiting:
            self._began_s = now_s
        number = next(self._numbers)
        self._waiting[number] = ticket
        self._positions[ticket.call] = number
        return ""

    def withdraw(self, call):
        """Remove a call whose client has left.

        :returns: True when it was waiting.
        """
        number = self._positions.pop(call, None)
        if number is None:
            return False
        del self._waiting[number]
        return True

    def in_order(self, now_s):
        """Return the waiting tickets, the next one first."""

        def order(entry):
            number, ticket = entry
            is_late = ticket.start_by_s <= now_s
            due_s = 0.0 if is_late else ticket.start_by_s
            return is_late, ticket.priority, due_s, number

        return [ticket for _, ticket in sorted(self._waiting.items(), key=order)]

    def take(self, ticket, now_s):
        """Remove a ticket whose call is sent to an endpoint now."""
        if self.withdraw(ticket.call):
            self.started(now_s)

    def expired(self, now_s):
        """Remove the calls that have waited too long.

        :returns: list of their :class:`Ticket`.
        """
        late = [t for t in self._waiting.values() if t.latest_s <= now_s]
        for ticket in late:
            self.withdraw(ticket.call)
            self.refused["waited_too_long"] += 1
        return late


def latest_start_s(now_s, deadline_s, objective_s):
    """Return how long a call may wait.

    :param now_s: time of arrival in seconds.
    :param deadline_s: time at which the client leaves.
    :param objective_s: time at which an answer loses a part of its worth.
    :returns: time in seconds.
    """
    return max(objective_s, now_s + WAITING_SHARE * (deadline_s - now_s))


def retry_after_s(expected_s, left_s, random):
    """Return when a refused client should come back.

    :param expected_s: expected time until there is room.
    :param left_s: time that the client has left.
    :param random: ``random.Random``.
    :returns: seconds; not more than clients honour.
    """
    wanted_s = max(MIN_RETRY_S, expected_s) * random.uniform(*RETRY_SPREAD)
    return max(0.0, min(wanted_s, HONOURED_SHARE * left_s))
