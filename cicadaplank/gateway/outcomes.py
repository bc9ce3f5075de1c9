"""Retry decisions: what follows an attempt that gave the client no answer."""

import dataclasses
import enum

from cicadaplank.gateway import routes
from cicadaplank.requests import verdicts

# Failed connection attempts after which a call is not retried. They do not count as
# sends, since the endpoint did not receive the call.
MAX_FAILED_DIALS = 4
# No attempt is started with less time than this until the deadline: it is too short for
# an answer.
MIN_ATTEMPT_S = 0.03


class Ending(enum.Enum):
    """How an attempt ended.

    ``UNREACHABLE``: no connection could be used. ``REFUSED``: the endpoint says that it
    did not run the call. ``MISDIRECTED``: another endpoint has the address, or the
    endpoint serves other weights. ``BROKEN``: the connection broke, or the answer was
    invalid. ``SILENT``: the answer did not start or continue in time. ``FAILED``: the
    call ran and the endpoint answered with a server error. ``WITHDRAWN``: the answer
    had not begun when the endpoint's weights were about to be forbidden.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    WITHDRAWN = "withdrawn"


_VERDICTS = {
    Ending.UNREACHABLE: verdicts.Verdict.NOT_RUN,
    Ending.REFUSED: verdicts.Verdict.NOT_RUN,
    Ending.MISDIRECTED: verdicts.Verdict.NOT_RUN,
    Ending.BROKEN: verdicts.Verdict.MAY_HAVE_RUN,
    Ending.SILENT: verdicts.Verdict.MAY_HAVE_RUN,
    Ending.FAILED: verdicts.Verdict.RAN,
    Ending.WITHDRAWN: verdicts.Verdict.MAY_HAVE_RUN,
}


class Action(enum.Enum):
    """Action to take after an attempt.

    ``RETRY``: send the call to another endpoint. ``REFUSE``: tell the client that the
    call was not run. ``FAIL``: tell the client that it may have run. ``PASS``: forward
    the endpoint's error answer to the client.
    """

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"
    PASS = "pass"


@dataclasses.dataclass(frozen=True)
class Decision:
    """Decision after an attempt.

    :param action: :class:`Action`.
    :param reason: short reason for the log.
    """

    action: Action
    reason: str


@dataclasses.dataclass
class History:
    """Attempts of a call so far.

    :ivar sends: number of times that it was sent to an endpoint.
    :ivar dials: number of attempts that ended before it was sent, such as failed
        connection attempts.
    :ivar verdict: :class:`cicadaplank.requests.verdicts.Verdict` over all attempts.
    """

    sends: int = 0
    dials: int = 0
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN

    def ended(self, ending):
        """Record the end of an attempt.

        :param ending: :class:`Ending`.
        """
        if ending is Ending.UNREACHABLE:
            self.dials += 1
        self.verdict = verdicts.combine(self.verdict, _VERDICTS[ending])


def decide(history, ending, route, left_s, budget, now_s):
    """Decide what follows an attempt that gave the client no answer.

    A retry after a failed connection attempt does not use the retry budget.

    :param history: :class:`History`, this attempt included.
    :param ending: :class:`Ending` of this attempt.
    :param route: :class:`cicadaplank.gateway.routes.Route`.
    :param left_s: seconds until the call's deadline.
    :param budget: :class:`cicadaplank.gateway.budget.RetryBudget`.
    :param now_s: current time in seconds.
    :returns: :class:`Decision`.
    """
    final_action = _final_action(history, ending)
    if not _may_retry(history, ending, route):
        return Decision(final_action, "not_repeatable")
    if left_s < MIN_ATTEMPT_S:
        return Decision(final_action, "deadline")
    if ending is Ending.UNREACHABLE:
        if history.dials >= MAX_FAILED_DIALS:
            return Decision(final_action, "dials")
        return Decision(Action.RETRY, "unreachable")
    if history.sends >= route.max_attempts:
        return Decision(final_action, "attempts")
    if not budget.try_retry(now_s):
        return Decision(final_action, "budget")
    return Decision(Action.RETRY, ending.value)


def _may_retry(history, ending, route):
    if history.verdict is verdicts.Verdict.NOT_RUN:
        return True
    if ending is Ending.FAILED:
        # The call ran and failed at the endpoint. A generation would fail again.
        return route.retry_policy is routes.RetryPolicy.IDEMPOTENT
    return route.retry_policy is not routes.RetryPolicy.NEVER


def _final_action(history, ending):
    if ending is Ending.FAILED:
        return Action.PASS
    if history.verdict is verdicts.Verdict.NOT_RUN:
        return Action.REFUSE
    return Action.FAIL
