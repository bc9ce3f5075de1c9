"""Steps for the replay of endpoints that fall silent while they answer."""

import behave

from bench import silences


@behave.given("a replay of {kind} in which {load}")
def step_load(context, kind, load):
    context.played = silences.LOADS[load], kind == "streams"


@behave.when("it is played for {duration_s:d} s with seed {seed:d} by the way {way}")
def step_play(context, duration_s, seed, way):
    load, is_stream = context.played
    context.result = silences.Replay(load, way, is_stream, seed).run(duration_s)
    assert context.result.requests > duration_s, context.result


@behave.then("no call at a sound endpoint ends without its end")
def step_not_lost(context):
    assert context.result.lost_at_sound == 0, context.result


@behave.then("calls at sound endpoints end without their end")
def step_lost(context):
    assert context.result.lost_at_sound > 0, context.result


@behave.then(
    "no client leaves after a gap while route and budget allow another attempt"
)
def step_gaps(context):
    assert context.result.left_early == 0, context.result


@behave.then(
    "clients leave after a gap although route and budget allow another attempt"
)
def step_left(context):
    assert context.result.left_early > 0, context.result


@behave.then("the repeats of no window exceed their bound")
def step_budget(context):
    assert context.result.excess <= 0, context.result
