"""Steps for the versions of weights that calls may run on."""

import dataclasses
import json
import re

import behave
from twisted.internet import testing

from cicadaplank.gateway import named_versions, reporting
from cicadaplank.messages import codec, types
from cicadaplank.reports import metrics
from features import entries
from features.steps import gateway as gateway_steps

OBJECTIVE_S = 2.0
ONE_SEND = ("runs once only", "streams once")
TIMEOUT_S = 4.0
STEP_S = 0.05
STORE_AGE_S = 1000.0


def advance_to(context, time_s):
    """Advance the clock to a time in steps, so that periodic work is done."""
    while context.reactor.seconds() < time_s - STEP_S:
        context.reactor.advance(STEP_S)
    context.reactor.advance(max(0.0, time_s - context.reactor.seconds()))


def numbers(described):
    """Read ``1, 2`` as a list of numbers."""
    return [int(number) for number in described.split(", ")]


@behave.given("an entry process that starts at {start_s:d} s")
def step_entry(context, start_s):
    context.reactor = testing.MemoryReactorClock()
    context.reactor.advance(start_s)
    context.entry = entries.Entry(context.reactor, "10.0.0.1")


@behave.when("it reads versions {versions} of the weights at {times} s")
def step_reads(context, versions, times):
    for version, time_s in zip(numbers(versions), numbers(times), strict=True):
        advance_to(context, time_s)
        context.entry.read(version)


@behave.then(
    "it logs version {version:d} with an age of {age_s:f} to {max_age_s:f} s "
    "from the source {source}"
)
def step_logged(context, version, age_s, max_age_s, source):
    expected = {
        "model": entries.MODEL,
        "version": version,
        "age_s": age_s,
        "max_age_s": max_age_s,
        "source": source,
    }
    assert expected in context.entry.log.of("weights_named"), context.entry.log.lines


@behave.given("entry instances that start at {start_s:d} s")
def step_entries(context, start_s):
    context.reactor = testing.MemoryReactorClock()
    context.reactor.advance(start_s)
    context.entries = {
        name: entries.Entry(context.reactor, f"10.0.0.{number}")
        for number, name in enumerate(("near", "far"), 1)
    }


STARTS = re.compile(r"(\w+) starts at ([\d.]+)")
READS = re.compile(r"(\w+) reads (\d+) at ([\d.]+)(?: after ([\d.]+))?")
FAILS = re.compile(r"(\w+) fails to apply (\d+) at ([\d.]+)")
ALLOWS = re.compile(r"(\w+) is told to allow ([\d.]+) s at ([\d.]+)")
TELLS = re.compile(r"(\w+) tells (\w+) at ([\d.]+)(?: for ([\d.]+))?")


def fail_to_apply(entry, version):
    """Let an entry process read a version, and fail while it applies the copy."""
    decode, entry.decoder.named_weights = entry.decoder.named_weights, None
    entry.read(version)
    entry.decoder.named_weights = decode
    (line,) = entry.log.of("change_failed")
    assert line["part"] == "named_versions", line
    assert entry.min_version < version, "the copy was applied"


@behave.when('"{events}"')
def step_events(context, events):
    for event in events.split("; "):
        starts = STARTS.fullmatch(event)
        reads, tells = READS.fullmatch(event), TELLS.fullmatch(event)
        allows, fails = ALLOWS.fullmatch(event), FAILS.fullmatch(event)
        if fails:
            name, version, time_s = fails.groups()
            advance_to(context, float(time_s))
            fail_to_apply(context.entries[name], int(version))
            continue
        if allows:
            name, weights_s, time_s = allows.groups()
            advance_to(context, float(time_s))
            bounds = dataclasses.replace(entries.BOUNDS, weights_s=float(weights_s))
            context.entries[name].process.gateway.set_bounds(bounds)
            continue
        if starts:
            name, time_s = starts.groups()
            advance_to(context, float(time_s))
            context.entries[name] = entries.Entry(context.reactor, "10.0.0.3")
            continue
        if reads:
            name, version, time_s, after_s = reads.groups()
            advance_to(context, float(time_s))
            confirmed_s = None if after_s is None else float(after_s)
            context.entries[name].read(int(version), confirmed_s)
            continue
        assert tells, event
        sender, receiver, time_s, arrives_s = tells.groups()
        advance_to(context, float(time_s))
        frame = context.entries[sender].report()
        context.entries[receiver].hear_echo()
        advance_to(context, float(arrives_s or time_s))
        context.entries[receiver].receive(frame)


@behave.when("a peer reports the ages {ages} to far")
def step_ages(context, ages):
    report(context.entries["far"], json.loads(ages))


def report(entry, ages_s):
    """Let an entry process a report with ages of named weights."""
    now_s = entry.process.reactor.seconds()
    # The peer has heard of the versions and has not read the store itself.
    message = types.GatewayReport({}, {}, STORE_AGE_S, ages_s, now_s)
    entry.hear_echo()
    entry.receive(codec.encode(codec.Envelope("10.0.0.9", 0, message)))


@behave.when("a peer reports 100 versions of each of 100 models to far")
def step_many_ages(context):
    for number in range(100):
        ages = [[version, 1.0, 1.0] for version in range(1, 101)]
        report(context.entries["far"], {f"m{number}": ages})


@behave.then("far keeps {versions:d} versions of {models:d} models")
def step_kept(context, versions, models):
    requirement = context.entries["far"].process.gateway.weights_requirement
    kept = requirement.ages_s(context.reactor.seconds())
    assert len(kept) == models, len(kept)
    assert {len(ages) for ages in kept.values()} == {versions}
    assert requirement.rejected == 100 - models, requirement.rejected


@behave.then("far has counted no rejected report")
def step_not_rejected(context):
    assert context.entries["far"].process.gateway.weights_requirement.rejected == 0


@behave.then("far has counted a rejected report")
def step_rejected(context):
    assert context.entries["far"].process.gateway.weights_requirement.rejected == 1


@behave.then("at {time_s:f} s instance {name} still sends calls to version {version:d}")
def step_still(context, time_s, name, version):
    advance_to(context, time_s)
    least = context.entries[name].min_version
    assert least <= version, f"calls need version {least}"


@behave.then(
    "at {time_s:f} s instance {name} sends calls to version {version:d} or newer only"
)
def step_only(context, time_s, name, version):
    advance_to(context, time_s)
    least = context.entries[name].min_version
    assert least == version, f"calls may run on version {least}"


# Calls.


def weights_of(world, versions):
    """List the engines with the versions that they serve."""
    template = next(iter(world.listed.values()))
    listed = {
        name: dataclasses.replace(
            template,
            name=name,
            host=f"10.0.0.{number}",
            weights={entries.MODEL: version},
        )
        for number, (name, version) in enumerate(sorted(versions.items()), 1)
    }
    world.gateway.set_endpoints(listed, False)


@behave.given(
    "a gateway whose engines {names} serve version {version:d} and a route that {kind}"
)
def step_engines(context, names, version, kind):
    world = context.world = gateway_steps.World(2, kind)
    context.log = entries.Log()
    world.gateway._reporter = reporting.Reporter(
        context.log, metrics.Metrics("edge-1", "entry", "r", "a"), world.reactor.seconds
    )
    route = dataclasses.replace(
        world.configuration.routes[0],
        objective_s=OBJECTIVE_S,
        timeout_s=TIMEOUT_S,
        is_generation=True,
        max_attempts=1 if kind in ONE_SEND else 3,
    )
    world.gateway.set_configuration(
        dataclasses.replace(world.configuration, routes=(route,))
    )
    context.versions = dict.fromkeys(names.split(" and "), version)
    weights_of(world, context.versions)


@behave.when("a call is placed {after_s:f} s after version {version:d} was named")
def step_placed(context, after_s, version):
    world = context.world
    now_s = world.reactor.seconds()
    world.gateway.weights_requirement.record_named_version(
        entries.MODEL, version, now_s, now_s
    )
    world.run(after_s)
    extra = b"X-Model: %b\r\n" % entries.MODEL.encode()
    world.client.dataReceived(world.request(extra, body=b"call"))
    context.first = world.reactor.tcpClients[0][0]


@behave.when("a call is sent {after_s:f} s after version {version:d} was named")
def step_sent(context, after_s, version):
    step_placed(context, after_s, version)
    step_accepts(context)


@behave.when("its engine accepts the connection")
def step_accepts(context):
    context.protocol, context.transport = context.world.accept()


@behave.when("its engine begins to drain")
def step_drains(context):
    world = context.world
    listed = {s.endpoint.name: s.endpoint for s in world.gateway.endpoints.all()}
    name = host_of(world, context.first)
    listed[name] = dataclasses.replace(listed[name], is_draining=True)
    world.gateway.set_endpoints(listed, False)


@behave.then("the call is not sent to its engine")
def step_not_sent(context):
    assert not context.transport.value(), context.transport.value()


@behave.when("the engine x answers")
def step_answers(context):
    context.protocol.dataReceived(gateway_steps.answer())


@behave.then("the log of the call names version {version:d}")
def step_call_log(context, version):
    (line,) = context.log.of("call_ended")
    assert line["weights"] == version, line


def host_of(world, host):
    """Return the name of the engine at a host."""
    states = world.gateway.endpoints.all()
    return next(s.endpoint.name for s in states if s.endpoint.host == host)


@behave.when("{time_s:f} s after it {which} serves version {version:d}")
def step_serves(context, time_s, which, version):
    world = context.world
    world.run(time_s - world.reactor.seconds())
    first = host_of(world, context.first)
    for name in context.versions:
        if (name == first) == (which == "its engine"):
            context.versions[name] = version
    weights_of(world, context.versions)


@behave.when("{time_s:f} s have passed since")
def step_passed(context, time_s):
    world = context.world
    world.run(time_s - world.reactor.seconds())


@behave.when("its engine sends {part} of the answer")
def step_part(context, part):
    data = gateway_steps.answer()[:-3]
    if part.endswith("event 1"):
        data = gateway_steps.stream_head() + gateway_steps.chunk(gateway_steps.event(1))
    if part == "only the head":
        data = gateway_steps.stream_head()
    context.protocol.dataReceived(data)


@behave.when("its stream breaks after event 2 and is resumed at another engine")
def step_resumed(context):
    world = context.world
    events = gateway_steps.event(1) + gateway_steps.event(2)
    context.protocol.dataReceived(
        gateway_steps.stream_head() + gateway_steps.chunk(events)
    )
    gateway_steps.reset(context.protocol)
    world.run(STEP_S)
    context.first_broken = context.first
    context.protocol, context.transport = world.accept_call()
    context.first = world.sent[-1][0]
    del context.versions[host_of(world, context.first_broken)]


@behave.when("the other engine repeats event 2")
def step_repeats(context):
    data = gateway_steps.chunk(gateway_steps.event(2))
    context.protocol.dataReceived(gateway_steps.stream_head() + data)


@behave.when("the caller reads nothing")
def step_paused(context):
    (call,) = context.world.gateway._calls
    call.pause()


@behave.then("its engine is told to stop {before_s:f} s before the bound")
def step_stopped(context, before_s):
    world = context.world
    due_s = entries.BOUNDS.weights_s - before_s
    world.run(due_s - STEP_S - world.reactor.seconds())
    assert not context.transport.aborted, "stopped too early"
    # One more step, since the sum of the steps is not exact.
    world.run(2 * STEP_S)
    assert context.transport.aborted, "the call still waits"
    (line,) = context.log.of("attempt_withdrawn")
    assert (line["weights"], line["needed"]) == (1, 2), line
    assert abs(line["left_s"] - before_s) <= STEP_S, line


@behave.then("its engine still works on it {after_s:f} s after the bound")
def step_works_on(context, after_s):
    world = context.world
    world.run(entries.BOUNDS.weights_s + after_s - world.reactor.seconds())
    assert not context.transport.aborted
    assert not context.log.of("attempt_withdrawn")


@behave.then("the call is sent to the engine with version 2")
def step_sent_again(context):
    host = context.world.accept_call() and context.world.sent[-1][0]
    name = host_of(context.world, host)
    assert context.versions[name] == 2, name
    context.second = context.world.sent[-1][2].value()


@behave.then("the caller gets {status:d}, and that the call may have run")
def step_truth(context, status):
    got = context.world.client_transport.value()
    assert gateway_steps.status_of(got) == status, got
    assert b"may have run" in got, got
    (line,) = context.log.of("call_ended")
    assert line["verdict"] == "may_have_run", line


@behave.then("its engine counts as healthy and is not probed")
def step_healthy(context):
    world = context.world
    state = world.gateway.endpoints.get(host_of(world, context.first))
    assert not state.is_ejected(world.reactor.seconds())
    assert not state.failures_in_a_row and not state.failure_share
    assert not context.log.of("attempt_failed")
    dials = [client[0] for client in world.reactor.tcpClients[world.dialled :]]
    assert context.first not in dials, dials


@behave.then("the engine is asked to check {check}")
def step_check(context, check):
    found = re.findall(rb"X-Expect-Version: (\d+)\r\n", context.transport.value())
    assert found == ([] if check == "no version" else [b"2"]), found


@behave.when("its engine answers that it has other weights")
def step_other_weights(context):
    context.protocol.dataReceived(
        b"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %b\r\n"
        b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % gateway_steps.ATTEMPT
    )


@behave.then("the call has been sent to two engines")
def step_two_engines(context):
    hosts = {host for host, _, _ in context.world.sent}
    assert len(hosts) == 2, hosts


@behave.given("weights of which version 2 was named at 120 s")
def step_known_naming(context):
    found = context.requirement = named_versions.WeightsRequirement(8.0)
    found.record_named_version(entries.MODEL, 1, 101.0, 100.0)
    found.record_named_version(entries.MODEL, 2, 120.0, 120.0)


@behave.when("a report without a known delay tells of versions 2 and 3 at 127.9 s")
def step_undated(context):
    ages = {entries.MODEL: [[2, 7.9, 7.9], [3, 0.2, 0.2]]}
    context.requirement.record_reported_ages(ages, 127.9)


@behave.when(
    "a report that was made at once tells that 3 was named at 127.7 s at 128.0 s"
)
def step_dated(context):
    ages = {entries.MODEL: [[2, 8.0, 8.0], [3, 0.3, 0.3]]}
    context.requirement.record_reported_ages(ages, 128.0, 0.0)


@behave.then("calls need version 2 at 128.0 s")
def step_need(context):
    found = context.requirement.min_version(entries.MODEL, 128.0)
    assert found == 2, f"calls need version {found}"
