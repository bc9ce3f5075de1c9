"""Steps for generated plays of requests through entries and agents."""

import collections

import behave
import hypothesis
from hypothesis import strategies

from bench import inmemory
from features import request_plays

SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=400,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
TIMES_S = strategies.integers(0, 80).map(lambda tick: round(tick * 0.05, 2))
PAUSES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, inmemory.TOKENS - 1),
        strategies.sampled_from((0.2, 1.0, 1.5, 2.0)),
    ),
    max_size=2,
).map(tuple)
PLANS = strategies.builds(
    request_plays.Plan,
    strategies.integers(1, 4),
    strategies.lists(
        strategies.builds(
            request_plays.Asked,
            TIMES_S,
            strategies.sampled_from(("stream", "whole", "once")),
            strategies.integers(0, request_plays.ENTRIES - 1),
            PAUSES,
        ),
        min_size=1,
        max_size=10,
    ).map(tuple),
    strategies.lists(
        strategies.builds(
            request_plays.Change,
            TIMES_S,
            strategies.sampled_from(request_plays.CHANGES),
            strategies.integers(0, 5),
        ),
        max_size=8,
    ).map(tuple),
)


@behave.when("generated plays of requests are run")
def step_play(context):
    context.outcomes = collections.Counter()
    context.failing = []

    @SETTINGS
    @hypothesis.given(PLANS)
    def play(plan):
        run = request_plays.Play(plan)
        faults = run.run()
        context.outcomes.update(run.outcomes)
        if faults:
            context.failing.append((plan, faults))

    play()


@behave.then("every request ends by its whole answer, its verdict or its deadline")
def step_ends(context):
    smallest = min(context.failing, key=lambda each: len(repr(each)), default=None)
    assert not context.failing, (len(context.failing), smallest)


@behave.then("the plays of requests had whole answers and every verdict")
def step_had(context):
    for outcome in ("whole", "not_run", "may_have_run", "stream_error", "gone"):
        assert context.outcomes[outcome], context.outcomes
