"""What follows the end of an attempt at a call."""

import dataclasses
import enum

from cicadaplank.gateway import routes
from cicadaplank.requests import verdicts

# Dials that may fail before a call is given up; a failed dial is not an attempt.
MAX_DIALS = 4
# Less time than this is not enough for an answer.
MIN_ATTEMPT_S = 0.03


class Ending(enum.Enum):
    """How an attempt ended."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"


_VERDICTS = {
    Ending.UNREACHABLE: verdicts.Verdict.NOT_RUN,
    Ending.REFUSED: verdicts.Verdict.NOT_RUN,
    Ending.MISDIRECTED: verdicts.Verdict.NOT_RUN,
    Ending.BROKEN: verdicts.Verdict.MAY_HAVE_RUN,
    Ending.SILENT: verdicts.Verdict.MAY_HAVE_RUN,
    Ending.FAILED: verdicts.Verdict.RAN,
}


class Step(enum.Enum):
    """What to do next.

    ``RETRY``: send it to another endpoint.
    ``REFUSE``: tell the client that it was not run. ``FAIL``: tell the client that it
    may have run. ``PASS``: pass the endpoint's own failure on.
    """

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"
    PASS = "pass"


@dataclasses.dataclass(frozen=True)
class Next:
    """Decision after an attempt.

    :param step: :class:`Step`.
    :param reason: why, for the log.
    """

    step: Step
    reason: str


@dataclasses.dataclass
class History:
    """What happened to a call so far.

    :ivar sends: endpoints that it was sent to.
    :ivar dials: dials that failed.
    :ivar verdict: :class:`cicadaplank.requests.verdicts.Verdict` over all attempts.
    """

    sends: int = 0
    dials: int = 0
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN

    def ended(self, ending):
        """Take the end of an attempt."""
        if ending is Ending.UNREACHABLE:
            self.dials += 1
        self.verdict = verdicts.combine(self.verdict, _VERDICTS[ending])


def decide(history, ending, route, left_s, budget, now_s):
    """Decide what follows an attempt that gave no answer for the client.

    :param history: :class:`History`, this attempt included.
    :param ending: :class:`Ending` of this attempt.
    :param route: :class:`cicadaplank.gateway.routes.Route`.
    :param left_s: time that is left for the answer.
    :param budget: :class:`cicadaplank.gateway.budget.RepeatBudget`.
    :param now_s: current time in seconds.
    :returns: :class:`Next`.
    """
    give_up = _give_up(history, ending)
    if not _may_repeat(history, ending, route):
        return Next(give_up, "not_repeatable")
    if left_s < MIN_ATTEMPT_S:
        return Next(give_up, "deadline")
    if ending is Ending.UNREACHABLE:
        if history.dials >= MAX_DIALS:
            return Next(give_up, "dials")
        return Next(Step.RETRY, "unreachable")
    if history.sends >= route.max_attempts:
        return Next(give_up, "attempts")
    if not budget.take(now_s):
        return Next(give_up, "budget")
    return Next(Step.RETRY, ending.value)


def _may_repeat(history, ending, route):
    if history.verdict is verdicts.Verdict.NOT_RUN:
        return True
    if ending is Ending.FAILED:
        # The endpoint's own failure: a generation would fail again.
        return route.repeat is routes.Repeat.FREE
    return route.repeat is not routes.Repeat.NEVER


def _give_up(history, ending):
    if ending is Ending.FAILED:
        return Step.PASS
    if history.verdict is verdicts.Verdict.NOT_RUN:
        return Step.REFUSE
    return Step.FAIL
