"""Prediction of the time that a call takes at an endpoint, from the load it reports.

Load pattern: bursts of generations on engines that share their machines with others.
The speed of an engine changes several times a second, so the number of calls says
little about when a further one is answered, and an engine is full before the reports of
other entry instances show it.
"""

import dataclasses
import math

# A reported pace loses its weight with its age, by 1/e in this time.
PACE_AGE_S = 0.25
# Weight of the newest report in the average pace of an endpoint.
PACE_WEIGHT = 0.1
# Range of a reported pace that is used.
MIN_PACE, MAX_PACE = 0.1, 20.0
# Age up to which the reported number of calls counts.
MAX_REPORT_AGE_S = 0.1
# Smallest share of the usual work that a client's own figures can claim.
MIN_CLAIM_SHARE = 0.25
# Largest multiple of the usual work that is predicted.
MAX_CLAIM_FACTOR = 20.0


@dataclasses.dataclass(frozen=True)
class Work:
    """Work of one call.

    :param prompt_tokens: tokens to read.
    :param output_tokens: tokens to write.
    """

    prompt_tokens: float
    output_tokens: float


@dataclasses.dataclass(frozen=True)
class EngineFigures:
    """Speed of an engine, on a machine as fast as usual.

    :param step_s: time of a step in seconds.
    :param step_per_call_s: addition to it for each call that writes.
    :param step_per_token_s: addition to it for each token of their context.
    :param read_tokens_per_s: prompt tokens that are read in a second.
    :param chunk_tokens: prompt tokens that are read in one step at most.
    :param steps_per_pass: writing steps between two times at which calls are taken.
    :param usual: mean :class:`Work` of a call.
    :param slots: number of calls that an engine processes at once.
    """

    step_s: float
    step_per_call_s: float
    step_per_token_s: float
    read_tokens_per_s: float
    chunk_tokens: int
    steps_per_pass: int
    usual: Work
    slots: int = 1


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that an endpoint reports on an answer.

    :param running: number of calls that it processes.
    :param waiting: number of calls that wait there.
    :param slots: number of calls that it processes at once.
    :param pace: time that work takes relative to the usual time, None when the endpoint
        does not state it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(frozen=True)
class Situation:
    """What is known of an endpoint that may be sent a call.

    :param calls: number of calls in progress there.
    :param slots: number of calls that it processes at once.
    :param unread_tokens: prompt tokens of these calls that are not read yet.
    :param pace: time that work takes relative to the usual time.
    """

    calls: float
    slots: int
    unread_tokens: float
    pace: float


def bounded_work(figures, claimed):
    """Return the work that a prediction uses for a call.

    :param figures: :class:`EngineFigures`.
    :param claimed: :class:`Work` that the client states, None when it states none.
    :returns: :class:`Work` within a range around the usual one.
    """
    usual = figures.usual
    if claimed is None:
        return usual

    def bound(tokens, mean):
        return min(MAX_CLAIM_FACTOR * mean, max(MIN_CLAIM_SHARE * mean, tokens))

    return Work(
        bound(claimed.prompt_tokens, usual.prompt_tokens),
        bound(claimed.output_tokens, usual.output_tokens),
    )


def step_s(figures, calls):
    """Return the time of a writing step with a number of usual calls, in seconds.

    :param figures: :class:`EngineFigures`.
    :param calls: number of calls that write.
    """
    context = figures.usual.prompt_tokens + figures.usual.output_tokens / 2
    per_call_s = figures.step_per_call_s + figures.step_per_token_s * context
    return figures.step_s + per_call_s * calls


def usual_call_s(figures, slots):
    """Return the time in seconds for which a usual call takes a slot of a full engine.

    While it is written, the prompts of the calls that follow the others are read.

    :param figures: :class:`EngineFigures`.
    :param slots: number of calls that the engine processes at once.
    """
    written_s = figures.usual.output_tokens * step_s(figures, slots)
    return written_s + slots * figures.usual.prompt_tokens / figures.read_tokens_per_s


def work_s(figures, work):
    """Return the part of the time of a full engine that a call takes, in seconds.

    :param figures: :class:`EngineFigures`.
    :param work: :class:`Work` of the call.
    """
    slots = max(1, figures.slots)
    written_s = work.output_tokens * step_s(figures, slots) / slots
    return work.prompt_tokens / figures.read_tokens_per_s + written_s


def first_event_s(figures, work, situation):
    """Return the time from sending a call to its first event, in seconds.

    :param figures: :class:`EngineFigures`.
    :param work: :class:`Work` of the call.
    :param situation: :class:`Situation` of the endpoint.
    """
    tokens = situation.unread_tokens + work.prompt_tokens
    calls = min(situation.calls, situation.slots)
    # Reads of more than one chunk are followed by a pass each, if others write.
    passes = math.ceil(tokens / figures.chunk_tokens) if situation.calls else 1
    pass_s = figures.steps_per_pass * step_s(figures, calls)
    time_s = tokens / figures.read_tokens_per_s + max(1, passes) * pass_s
    excess = situation.calls + 1 - situation.slots
    if excess > 0:
        slots = max(1, situation.slots)
        time_s += excess * usual_call_s(figures, slots) / slots
    return situation.pace * time_s


class ReportedLoad:
    """Last load reports of an endpoint, and the prompts sent there that are not read.

    :ivar unread_tokens: prompt tokens of the calls of this instance that have no first
        event yet.
    """

    def __init__(self):
        self.unread_tokens = 0.0
        self._report = None
        self._in_flight = 0
        self._told_s = 0.0
        self._pace_told_s = 0.0
        self._pace = None
        self._average_pace = None

    @property
    def states_pace(self):
        """Whether the endpoint has stated its pace."""
        return self._average_pace is not None

    def record(self, report, in_flight, now_s):
        """Record a report.

        :param report: :class:`LoadReport`.
        :param in_flight: number of calls that this instance has in progress there.
        :param now_s: current time in seconds.
        """
        self._report, self._in_flight, self._told_s = report, in_flight, now_s
        if report.pace is None:
            return
        self._pace_told_s = now_s
        self._pace = min(MAX_PACE, max(MIN_PACE, report.pace))
        if self._average_pace is None:
            self._average_pace = self._pace
        self._average_pace += PACE_WEIGHT * (self._pace - self._average_pace)

    def pace(self, now_s):
        """Return the expected pace, 1.0 when the endpoint has stated none.

        :param now_s: current time in seconds.
        """
        if not self.states_pace:
            return 1.0
        weight = math.exp(-max(0.0, now_s - self._pace_told_s) / PACE_AGE_S)
        return self._average_pace + weight * (self._pace - self._average_pace)

    def calls(self, in_flight, now_s):
        """Return the reported number of calls with the changes by this instance since.

        :param in_flight: number of calls that this instance has in progress there.
        :param now_s: current time in seconds.
        :returns: number, 0 without a report that is young enough or states the pace.
        """
        if not self.states_pace or now_s - self._told_s > MAX_REPORT_AGE_S:
            return 0
        told = self._report.running + self._report.waiting
        return max(0, told + in_flight - self._in_flight)

    def call_sent(self, prompt_tokens):
        """Count the prompt of a call that is sent.

        :param prompt_tokens: tokens to read.
        """
        self.unread_tokens += prompt_tokens

    def call_read(self, prompt_tokens):
        """Count the prompt of a call whose first event came, or which has ended.

        :param prompt_tokens: what :meth:`call_sent` counted.
        """
        self.unread_tokens = max(0.0, self.unread_tokens - prompt_tokens)
