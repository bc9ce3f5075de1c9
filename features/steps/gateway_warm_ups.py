"""Steps for cold endpoints."""

import behave

from bench import limited

WARM_UP_PER_S, WARM_UP_S = 15.0, 8.0
# Time from the return until all instances know of it and calls wait.
SETTLE_S = 1.0


@behave.given("a replay of {entries:d} entry instances whose endpoints come back cold")
def step_replay(context, entries):
    context.played = limited.Scenario(entries, calls_per_s=120.0)


def start(context, seed, is_bounded=True, left_s=WARM_UP_S):
    replay = context.replay = limited.Replay(context.played, seed)
    replay.run(1.0)
    for endpoint in replay.endpoints.values():
        endpoint.arrivals_s.clear()
    context.returned_s = replay.reactor.seconds()
    replay.return_cold(WARM_UP_PER_S, left_s, is_bounded)
    return replay


@behave.when(
    "it is played for {duration_s:d} s with seed {seed:d} after the return, {fault}"
)
def step_play(context, duration_s, seed, fault):
    replay = start(context, seed)
    replay.run(SETTLE_S)
    if fault == "half of them cut off":
        for name in list(replay.gateways)[: context.played.entries // 2]:
            replay.cut(name)
    elif fault == "an issuer stands still":
        replay.freeze(replay.issuers()[0])
    replay.run(duration_s - SETTLE_S)


@behave.when("it is played for {duration_s:d} s without a bound")
def step_unbounded(context, duration_s):
    start(context, 1, is_bounded=False).run(duration_s)


@behave.when("it is played until 1 s after the warm-up")
def step_warm(context):
    start(context, 1, left_s=2.0).run(3.0)


@behave.then("in any 1 s no more than {most:f} requests reach a cold endpoint")
def step_bound(context, most):
    for endpoint in context.replay.endpoints.values():
        found = limited.most_in_window(endpoint.arrivals_s, 1.0)
        assert found <= most, (endpoint.name, found)


@behave.then("at least {share:f} of what cold endpoints bear is used")
def step_used(context, share):
    now_s = context.replay.reactor.seconds()
    since_s = context.returned_s + SETTLE_S
    ends = context.replay.endpoints.values()
    used = sum(since_s <= at_s < now_s for each in ends for at_s in each.arrivals_s)
    bears = WARM_UP_PER_S * (now_s - since_s) * len(ends)
    assert used >= share * bears, used / bears


@behave.then("no permits are needed")
def step_no_permits(context):
    for gateway in context.replay.gateways.values():
        assert not len(gateway.endpoints.limits)
        assert all(s.endpoint.warm_up_s > 0 for s in gateway.endpoints.all())
