"""Steps for a store that comes back from an older copy of its data."""

import dataclasses
import random

import behave
from twisted.internet import task

from cicadaplank.gateway import (
    endpoints,
    polling,
    positions,
    records,
    registry_reads,
    routes,
)
from cicadaplank.messages import types
from features import entries
from features.steps import gateway_hops as hops
from features.steps import replicas

LOST_CHANGES = 6
WRITTEN_CHANGES = 10
AWAY_S = 1.0
FROZEN_S = 3.0
ENDPOINT = endpoints.Endpoint(
    "e", "s", "10.0.0.1", 80, "a", 4, False, {"m": 2}, started_ms=5, sequence=7
)


def followed_world(layout, seed):
    """Return a world whose store has named an era and made some changes."""
    world = hops.World(layout, seed)
    world.store.era = 1
    for _ in range(WRITTEN_CHANGES):
        world.store.write()
    world.run(hops.SETTLED_S + world.rng.random())
    return world


def restore(world):
    """Let the store be away and come back without its last changes."""
    world.store.go("silent")
    world.run(AWAY_S)
    world.store.restore(world.store.version - LOST_CHANGES)
    world.store.go("")


def trouble_nothing(world):
    """Restore the store."""
    restore(world)


def trouble_at_once(world):
    """Write a change as soon as the store is back."""
    restore(world)
    world.store.write(b"after the restore")


def trouble_later(world):
    """Write a change some time after the store is back."""
    restore(world)
    world.run(3.0)
    world.store.write(b"after the restore")


def trouble_passed(world, changes=LOST_CHANGES + 2):
    """Give lost versions out again while nobody is answered."""
    world.store.go("silent")
    world.run(AWAY_S)
    world.store.restore(world.store.version - LOST_CHANGES)
    world.store.write(b"written under a version that was given out before")
    world.store.version += changes - 1
    world.store.go("")


def trouble_reached(world):
    """Give exactly the lost versions out again while nobody is answered."""
    trouble_passed(world, LOST_CHANGES)


def trouble_twice(world):
    """Restore the store two times in a row."""
    restore(world)
    world.run(0.2)
    trouble_at_once(world)


def trouble_frozen(world):
    """Freeze an instance over the restore and a change."""
    frozen = world.entries[1]
    frozen.is_frozen = True
    world.run(0.5)
    trouble_at_once(world)
    world.run(FROZEN_S)
    frozen.thaw(world.clock.seconds())


def trouble_old_records(world):
    """Cut a data centre off from all over the restore, and join it again."""
    world.cut = "b"
    (cut,) = [each for each in world.entries if each.data_centre == "b"]
    cut.client.failed_dials = 1000
    trouble_at_once(world)
    world.run(FROZEN_S)
    world.cut = ""


def trouble_late_answer(world):
    """Deliver an answer that the store gave before it was restored."""
    first = world.entries[0]
    late = first.followed.polls.send(
        first.clock.seconds(), positions.NOWHERE, 1.0, first.followed.rng
    )
    version = world.store.version
    record = records.Record(hops.KEY, version, world.store.value)
    changes = hops.sync.Changes((record,), positions.Position(1, version))
    trouble_at_once(world)
    world.run(1.0)
    try:
        first.followed._answer(late, changes)
    except hops.errors.AnswerLost:
        pass


TROUBLES = {
    "nothing else happens": trouble_nothing,
    "a change is written at once": trouble_at_once,
    "a change is written after 3 s": trouble_later,
    "the old number is passed before anybody reads": trouble_passed,
    "the old number is reached before anybody reads": trouble_reached,
    "it comes back from another one at once": trouble_twice,
    "an instance was frozen over it": trouble_frozen,
    "an instance that was cut off brings old records": trouble_old_records,
    "an answer from before it arrives late": trouble_late_answer,
}


def lacking(world):
    """Return the names of the instances that do not hold what the store holds."""
    held = {each.name: each.followed.copy.get(hops.KEY) for each in world.entries}
    return [name for name, row in held.items() if row.value != world.store.value]


def wait_until_held(world, within_s):
    """Let time pass until every instance holds what the store holds."""
    until_s = world.clock.seconds() + within_s
    while lacking(world) and world.clock.seconds() < until_s:
        world.run(hops.STEP_S)
    return lacking(world)


@behave.when("the store comes back from an older copy and {trouble}")
def step_restore(context, trouble):
    context.trouble = TROUBLES[trouble]


@behave.then("every instance holds what the store holds within {within_s:f} s")
def step_held(context, within_s):
    late = {}
    for seed in hops.SEEDS:
        world = followed_world(context.layout, seed)
        context.trouble(world)
        if names := wait_until_held(world, within_s):
            late[seed] = names
        # What was spread must not come back later.
        world.run(FROZEN_S)
        if names := lacking(world):
            late[seed] = names
    assert not late, late


@behave.when("a store that names no era goes back to an older version for 10 s")
def step_unnamed(context):
    world = context.world = hops.World(context.layout, 1)
    for _ in range(WRITTEN_CHANGES):
        world.store.write()
    world.run(hops.SETTLED_S)
    world.store.restore(world.store.version - LOST_CHANGES, names_era=False)
    world.store.calls = 0
    world.run(10.0)


@behave.then("it gets no more calls than a store that refuses all of them")
def step_calls(context):
    least_s = polling.MAX_RETRY_S * (1.0 - polling.RETRY_JITTER)
    most = len(context.world.entries) * 10.0 / least_s
    assert context.world.store.calls <= most, context.world.store.calls


@behave.then("no instance takes its answers for a confirmation")
def step_not_confirmed(context):
    for entry in context.world.entries:
        age_s = entry.peers.store_age_s(entry.clock.seconds())
        assert age_s > 9.0, f"{entry.name}: {age_s:.2f} s"


@behave.when("the store names an era that is {odd} for 3 s")
def step_odd_era(context, odd):
    world = context.world = followed_world(context.layout, 1)
    world.store.era = 2
    world.run(hops.SETTLED_S)
    context.held = world.entries[0].followed.copy.position
    named = {
        "missing": [],
        "not a number": [(b"Store-Era", b"two")],
        "negative": [(b"Store-Era", b"-2")],
        "lower": [(b"Store-Era", b"1")],
    }[odd]
    world.store.headers = named
    world.run(3.0)


@behave.then("the copies stay as they are, and a change after it is held within 2.0 s")
def step_stay(context):
    world = context.world
    assert world.entries[0].followed.copy.position == context.held
    world.store.headers = None
    world.store.write()
    assert not wait_until_held(world, 2.0)


# Endpoints, agents and the list of instances.


@behave.given("an endpoint that was listed with start 5 and record 7")
def step_endpoint(context):
    context.known = endpoints.Endpoints(random.Random(1))
    context.known.update({"e": ENDPOINT}, 0.0)


@behave.when("just after a restore of the store it is not listed")
def step_unlisted(context):
    context.known.update({}, 1.0, was_restored=True)


@behave.when("just after a restore of the store it is not listed for 3 s")
def step_unlisted_long(context):
    context.known.update({}, 1.0, was_restored=True)
    context.known.update({}, 4.0)


@behave.when(
    "just after a restore of the store it is listed with start {started_ms:d} and "
    "record {sequence:d}"
)
def step_listed_again(context, started_ms, sequence):
    context.listed = dataclasses.replace(
        ENDPOINT, weights={"m": 1}, started_ms=started_ms, sequence=sequence
    )
    context.known.update({"e": context.listed}, 1.0, was_restored=True)


@behave.then("the endpoint {outcome}")
def step_endpoint_outcome(context, outcome):
    held = [state.endpoint for state in context.known.all()]
    expected = {
        "is kept": [ENDPOINT],
        "keeps its newer record": [ENDPOINT],
        "is gone": [],
    }
    assert held == expected.get(outcome, [getattr(context, "listed", None)]), held


def notice_at(position, host):
    """Return a notice that names one endpoint."""
    hosts = {replicas.SETTINGS.service: {host: "a"}}
    return types.WeightsNotice(1, position, {}, [], "", {}, hosts, {})


@behave.given("an agent that has a notice of endpoints at position 1/90")
def step_agent_notice(context):
    context.agent = replicas.agent("")
    context.agent._apply_notice(notice_at([1, 90], "10.0.0.5"))


@behave.when("it gets one of other endpoints at position 2/12, and then one at 1/95")
def step_agent_notices(context):
    context.agent._apply_notice(notice_at([2, 12], "10.0.0.6"))
    context.agent._apply_notice(notice_at([1, 95], "10.0.0.7"))


@behave.then("it uses the endpoints of position 2/12")
def step_agent_hosts(context):
    assert "10.0.0.6" in context.agent._agent_names, context.agent._agent_names


@behave.given("an instance that has read the list of instances often enough")
def step_registered(context):
    reads = context.reads = registry_reads.RegistryReads()
    for _ in range(registry_reads.FIRST_READS):
        reads.started(0.0)
        reads.finished()
    assert not reads.is_due(20.0, 330, True)


@behave.when("the store is restored")
def step_restored(context):
    context.reads.may_be_incomplete()


@behave.then("the list is to be read at the next check")
def step_read_due(context):
    assert context.reads.is_due(20.0, 330, True)


def configuration(version, route_count):
    """Return a configuration with some routes."""
    shares = (routes.Share("s", 1.0),)
    found = tuple(
        routes.Route(
            name=f"r-{number}",
            host="h",
            prefix=f"/{number}/",
            retry_policy=routes.RetryPolicy.NEVER,
            is_stream=False,
            timeout_s=1.0,
            objective_s=1.0,
            priority=0,
            shares=shares,
            max_attempts=1,
            is_public=True,
            is_generation=False,
        )
        for number in range(route_count)
    )
    services = {"s": routes.Service("s", 1, False, "", ())}
    return routes.Configuration(version, found, services, routes.ClientLimits(), None)


@behave.given("an entry instance with configuration 4 in force")
def step_in_force(context):
    context.entry = entries.Entry(task.Clock(), "10.0.0.1")
    context.entry.process._apply_configuration(configuration(4, 1))


@behave.when("it finds configuration {version:d} with {count:d} routes")
def step_finds(context, version, count):
    context.entry.process._apply_configuration(configuration(version, count))


@behave.then("configuration {version:d} with {count:d} routes is in force")
def step_configuration(context, version, count):
    held = context.entry.process.gateway.route_index.configuration
    assert (held.version, len(held.routes)) == (version, count), held.version
