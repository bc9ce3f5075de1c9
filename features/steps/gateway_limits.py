"""Steps for the limits that endpoints name."""

import behave

from bench import limited

# Time from the first naming of a limit until it has to hold.
SETTLE_S = 3.0
MAX_EXCESS = 2
MIN_USED_SHARE = 0.9


@behave.given(
    "a replay of {entries:d} entry instances and endpoints that name {limit:f} a second"
)
def step_replay(context, entries, limit):
    context.played = limited.Scenario(
        entries, limit_per_s=limit, calls_per_s=max(60.0, 10 * limit)
    )


@behave.when("it is played for {duration_s:d} s with seed {seed:d}, the calls waiting")
def step_play(context, duration_s, seed):
    scenario = context.played
    context.replay = limited.Replay(scenario, seed)
    context.replay.run(1.0)
    context.replay.name_limit(str(scenario.limit_per_s))
    context.replay.run(SETTLE_S + duration_s)
    context.result = context.replay.result(duration_s, scenario.limit_per_s)


@behave.then("in any 4 s no more requests arrive than the limit allows, plus 2")
def step_excess(context):
    assert context.result.excess <= MAX_EXCESS, context.result


@behave.then("at least 0.9 of it is used")
def step_used(context):
    assert context.result.used_share >= MIN_USED_SHARE, context.result
