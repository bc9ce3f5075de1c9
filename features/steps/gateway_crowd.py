"""Steps for entry instances that place calls on the same endpoints."""

import behave
from twisted.internet import testing

from bench import crowd
from cicadaplank.gateway import endpoints
from cicadaplank.messages import codec, types
from cicadaplank.world import machines
from features import entries


@behave.given("a replay of {entries:d} entry instances that share endpoints")
def step_replay(context, entries):
    context.fleet = crowd.FLEETS[entries]


@behave.when("it is played for {duration_s:d} s with seed {seed:d}")
def step_play(context, duration_s, seed):
    context.play = duration_s, seed
    context.result = crowd.Replay(context.fleet, seed).run(duration_s)


@behave.then("at most 1 in {share:d} arrivals at endpoints is refused")
def step_refused(context, share):
    assert context.result.sent > 0
    assert context.result.refused_share <= 1 / share, context.result


@behave.then(
    "endpoints refuse less than half as much as without knowledge of the crowd"
)
def step_less(context):
    duration_s, seed = context.play
    without = crowd.Replay(context.fleet, seed, knows_crowd=False).run(duration_s)
    assert context.result.refused_share < without.refused_share / 2, without


@behave.given(
    "an endpoint and a report of {calls:d} calls that comes every {period:f} s"
)
def step_report(context, calls, period):
    endpoint = endpoints.Endpoint("x", "s", "10.0.0.1", 80, "a", 8, False, {})
    context.state = endpoints.EndpointState(endpoint)
    context.state.set_peer_load("peer", calls, 10.0, period)
    context.calls = calls


@behave.then("the calls count after {counts_s:f} s and no longer after {gone_s:f} s")
def step_counts(context, counts_s, gone_s):
    assert context.state.peer_calls(10.0 + counts_s) == context.calls
    assert context.state.peer_calls(10.0 + gone_s) == 0


@behave.given("{count:d} entry processes that have just started")
def step_started(context, count):
    context.processes = [
        entries.Entry(testing.MemoryReactorClock(), f"10.0.0.{number}").process
        for number in range(count)
    ]
    context.listed = [
        machines.Instance(f"10.0.0.{number}", "entry", f"10.0.0.{number}", 1, "r", "a")
        for number in range(count)
    ]


@behave.when("each retries at a service until its budget is used, {before}")
def step_retry(context, before):
    context.retries = 0
    for process in context.processes:
        if before.startswith("after"):
            process.peers.add_instances(context.listed)
            process._registry_reads.finished()
        process._tick()
        budget = process.gateway.budget("s")
        while budget.try_retry(process.reactor.seconds()):
            context.retries += 1


@behave.then("all of them have sent at most {most:d} retries")
def step_retries(context, most):
    assert context.retries <= most, context.retries


@behave.given("an entry process that has no connection to a peer")
def step_unconnected(context):
    context.entry = entries.Entry(testing.MemoryReactorClock(), "10.0.0.1")
    endpoint = endpoints.Endpoint("x", "s", "10.0.1.1", 80, "a", 8, False, {})
    context.entry.process.gateway.set_endpoints({"x": endpoint}, False)
    context.connection = context.entry.hub.connection("10.0.0.9")
    context.entry.hub.connection = lambda name: None


@behave.when("a report of that peer arrives")
def step_late_report(context):
    report = types.GatewayReport({"x": 3}, {}, 0.1, {}, 0.0)
    envelope = codec.Envelope("10.0.0.9", 0, report)
    context.entry.process.message_received(context.connection, envelope)


@behave.then("it counts the calls of the report")
def step_counted(context):
    state = context.entry.process.gateway.endpoints.get("x")
    assert state.peer_calls(0.1) == 3, state.peer_calls(0.1)
