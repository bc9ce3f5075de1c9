"""Steps for generated plays of a gateway."""

import collections
import dataclasses

import behave
import hypothesis
from hypothesis import strategies

from features import plays

SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
LENGTH_S = 4.0
PAUSES_S = strategies.sampled_from((0.2, 1.0, 1.5, 2.0))
PAUSES = strategies.lists(
    strategies.tuples(strategies.sampled_from(plays.PLACES), PAUSES_S), max_size=3
).map(tuple)
CLIENTS = strategies.integers(0, 3)


def runs(behaviours):
    """Return a strategy for how endpoints handle one request."""
    run = strategies.builds(
        plays.Run,
        strategies.sampled_from(behaviours),
        strategies.sampled_from(("chunks", "length", "close")),
        PAUSES,
        strategies.booleans(),
    )
    return strategies.lists(run, min_size=1, max_size=3).map(tuple)


def times_s(length_s):
    """Return a strategy for times in seconds, on the ticks of a play."""
    ticks = strategies.integers(0, round(length_s / plays.TICK_S))
    return ticks.map(lambda tick: round(tick * plays.TICK_S, 2))


def asked(behaviours, length_s):
    """Return a strategy for one request."""
    return strategies.builds(
        plays.Asked,
        times_s(length_s),
        CLIENTS,
        strategies.sampled_from(sorted(plays.POLICIES)),
        strategies.sampled_from(("GET", "POST", "GET", "POST", "HEAD")),
        strategies.sampled_from(("1.1", "1.1", "1.1", "1.0")),
        strategies.sampled_from((None, None, 5.0, 3.0)),
        strategies.sampled_from((0.0, 0.0, 0.0, 0.2, 1.5)),
        runs(behaviours),
    )


def changes(stops, length_s):
    """Return a strategy for one change."""
    named = strategies.sampled_from
    kinds = [
        strategies.tuples(named(plays.ROUTE_CHANGES), named(sorted(plays.POLICIES))),
        strategies.tuples(named(plays.TABLE_CHANGES), strategies.none()),
        strategies.tuples(named(plays.ENDPOINT_CHANGES), strategies.integers(0, 3)),
        strategies.tuples(named(plays.CLIENT_CHANGES), CLIENTS),
    ]
    if stops:
        kinds.append(strategies.just(("stop", None)))
    return strategies.builds(
        lambda at_s, change: plays.Change(at_s, *change),
        times_s(length_s),
        strategies.one_of(kinds),
    )


def plans(behaviours, stops, length_s=LENGTH_S):
    """Return a strategy for whole plans.

    :param behaviours: names of what endpoints do.
    :param stops: whether the process may be stopped.
    :param length_s: time in seconds within which everything begins.
    """
    return strategies.builds(
        plays.Plan,
        strategies.integers(1, 4),
        strategies.sampled_from((1, 2, 4)),
        strategies.sampled_from((0, 100, 100)),
        strategies.lists(asked(behaviours, length_s), min_size=1, max_size=10).map(
            tuple
        ),
        strategies.lists(changes(stops, length_s), max_size=10).map(tuple),
    )


# Plans that have failed, by what happens in them.
CASES = {
    "a call breaks off after its route came to forbid repeats": plays.Plan(
        endpoints=2,
        slots=1,
        allowance=100,
        asked=(
            plays.Asked(
                0.0,
                0,
                "free",
                runs=(plays.Run("resets", pauses=(("before head", 0.2),)), plays.Run()),
            ),
        ),
        changes=(plays.Change(0.1, "never repeat", "free"),),
    ),
    "a stream breaks off after its route came to forbid repeats": plays.Plan(
        endpoints=2,
        slots=1,
        allowance=100,
        asked=(
            plays.Asked(
                0.0,
                0,
                "resumed",
                runs=(
                    plays.Run("cuts", pauses=(("before event 2", 0.2),)),
                    plays.Run(),
                ),
            ),
        ),
        changes=(plays.Change(0.1, "never repeat", "resumed"),),
    ),
    "a call that is refused finds no other endpoint": plays.Plan(
        endpoints=1,
        slots=1,
        allowance=100,
        asked=(plays.Asked(0.0, 0, "free", runs=(plays.Run("refuses"),)),),
    ),
    "a client leaves while a second endpoint is dialled": plays.Plan(
        endpoints=2,
        slots=1,
        allowance=100,
        asked=(plays.Asked(0.0, 0, "free", runs=(plays.Run("mute"),)),),
        changes=(
            plays.Change(0.2, "no dial", 0),
            plays.Change(0.2, "no dial", 1),
            plays.Change(0.5, "client leaves", 0),
        ),
    ),
}


@behave.when("{case}, as in a play that failed")
def step_case(context, case):
    play = plays.Play(CASES[case], plays.Situations())
    context.failing = play.run()
    context.outcomes = play.outcomes


@behave.then("no retry is left in the budget")
def step_no_retry(context):
    kinds = {kind for kind, _ in context.failing}
    assert "repeats" not in kinds, context.failing


@behave.then("its caller gets no answer that passes for whole")
def step_fails(context):
    assert not context.outcomes["whole"], context.outcomes
    assert context.outcomes.keys() & {"failed 502", "broken off"}, context.outcomes


@behave.given("plays with {servers} endpoints, {stop} a stop of the process")
def step_plans(context, servers, stop):
    behaviours = ("answers",) * 4 + plays.SOUND
    if servers == "sound and other":
        behaviours += plays.UNSOUND
    context.plans = plans(behaviours, stop == "with")


@behave.when("generated plays are run, {left_out} left out")
def step_play(context, left_out):
    fields = dataclasses.fields(plays.Situations)
    names = {field.name.replace("_", " ") for field in fields}
    listed = set() if left_out == "nothing" else set(left_out.split(", "))
    assert listed <= names, listed - names
    chosen = {f.name: f.name.replace("_", " ") not in listed for f in fields}
    situations = plays.Situations(**chosen)
    context.outcomes = collections.Counter()
    context.failing = []

    @SETTINGS
    @hypothesis.given(context.plans)
    def play(plan):
        run = plays.Play(plan, situations)
        faults = run.run()
        context.outcomes.update(run.outcomes)
        if faults:
            context.failing.append((plan, faults[0][0]))

    play()
    if context.failing:
        plan, kind = context.failing[0]
        plan = plays.minimise(plan, kind, situations)
        context.failing[0] = plan, plays.Play(plan, situations).run()


@behave.then("every request that was read ends by its own whole answer or a refusal")
def step_ends(context):
    assert not context.failing, (len(context.failing), context.failing[0])


@behave.then("the plays had whole answers, refusals and repeats")
def step_had(context):
    for outcome in ("whole", "refused 503", "refused 404", "repeats"):
        assert context.outcomes[outcome], context.outcomes
