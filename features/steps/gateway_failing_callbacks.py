"""Steps for changes of tables whose callback fails."""

import random

import behave
from twisted.internet import task, testing

from cicadaplank.gateway import (
    endpoints,
    peers,
    polling,
    positions,
    records,
    routes,
    sync,
)
from cicadaplank.messages import types
from cicadaplank.world import machines
from features import entries
from features.steps import gateway_decisions

TABLE = gateway_decisions.TABLE
STEP_S = 0.05


@behave.given("a follower of a table whose callback fails {failures:d} times")
def step_follower(context, failures):
    clock = context.clock = task.Clock()
    context.store = gateway_decisions.Store(clock)
    context.log = entries.Log()
    context.called = 0
    context.applied = []
    context.left = 0

    def apply(changed):
        context.called += 1
        if context.left:
            context.left -= 1
            raise OverflowError("cannot convert float infinity to integer")
        context.applied.append(context.followed.copy.position.version)

    context.followed = sync.TableSync(
        clock, context.store, TABLE, apply, context.log.log
    )
    context.followed.rng = random.Random(1)
    me = machines.Instance("me", "entry", "h", 1, "r", "a")
    context.peers = peers.Peers(
        clock,
        me,
        gateway_decisions.Hub(),
        {TABLE: context.followed},
        dict,
        gateway_decisions.no_ages,
    )
    context.followed.start()
    run(context, 0.5)
    assert context.applied == [5], context.applied
    context.called, context.left, context.failures = 0, failures, failures
    context.store.calls = 0
    context.store.bases.clear()
    context.counted_from_s = clock.seconds()


def run(context, duration_s):
    for _ in range(round(duration_s / STEP_S)):
        context.clock.advance(STEP_S)


@behave.when("version {version:d} comes from {source}")
def step_comes(context, version, source):
    if source.endswith("later"):
        run(context, 0.25)
    if source == "a peer":
        rows = [["a", version, b"v%d" % version]]
        reply = types.RecordReply(TABLE, [0, version - 1], [0, version], rows)
        context.peers.message("peer", reply)
    else:
        context.store.write()
    assert context.followed.copy.position.version == version


@behave.when("20 s pass")
def step_pass(context):
    run(context, 20.0)


@behave.then("version {version:d} is applied within {within_s:f} s")
def step_applied(context, version, within_s):
    run(context, within_s)
    assert context.applied[-1] == version, context.applied


@behave.then("each failure was logged with the end of its traceback")
def step_logged(context):
    lines = context.log.of("change_failed")
    assert len(lines) == context.failures, lines
    assert all("OverflowError" in line["detail"] for line in lines), lines
    assert context.followed.guarded.counts[TABLE] == context.failures


@behave.then("nothing is left to repeat")
def step_nothing_left(context):
    assert not context.followed.guarded.pending
    called = context.called
    run(context, 5.0)
    assert context.called == called


@behave.then("the callback was called {count:d} times")
def step_called(context, count):
    assert context.called == count, context.called


@behave.then("the table is still followed and no read was repeated")
def step_followed(context):
    assert not context.log.of("store_lost"), context.log.lines
    # Each read asks for what comes after the change, and they come no more often than
    # in quiet times; one after the change may wait for a shorter time.
    version = context.followed.copy.position.version
    assert all(base == version for base in context.store.bases), context.store.bases
    passed_s = context.clock.seconds() - context.counted_from_s
    least_s = polling.QUIET_WAIT_SHARES[0] * context.followed.times.poll_s
    assert context.store.calls <= 2 + passed_s // least_s, context.store.calls
    assert len(context.store.waiting) == 1
    version += 1
    context.left = 0
    context.store.version = version - 1
    context.store.write()
    assert context.followed.copy.get("a") == records.Record(
        "a", version, b"v%d" % version
    )
    assert context.applied[-1] == version, context.applied


METHODS = {
    "configuration": "configuration",
    "named version": "named_weights",
    "endpoints": "endpoints",
}


def decode(decoder, version):
    """Let a decoder find one version of everything."""
    service = routes.Service("s", 10, True, "")
    configuration = routes.Configuration(
        version, (), {"s": service}, routes.ClientLimits(), None
    )
    endpoint = endpoints.Endpoint(
        f"x-{version}", "s", "10.0.1.1", 80, "a", 1, False, {}
    )
    decoder.configuration = lambda copy: configuration
    decoder.named_weights = lambda copy: {entries.MODEL: version}
    decoder.endpoints = lambda copy, known: ({endpoint.name: endpoint}, 0)


def in_force(entry):
    """Return the version of each part of a change that is in force."""
    process = entry.process
    (name,) = process.gateway.endpoints.names()
    return {
        "configuration": process.gateway.configuration_version,
        "named version": max(
            named.version
            for named in process.gateway.weights_requirement._all(entries.MODEL)
        ),
        "endpoints": int(name.removeprefix("x-")),
    }


def change(context):
    """Report a change of both tables, as followers do."""
    for table_sync in (context.entry.process.operator, context.entry.process.listed):
        version = table_sync.copy.position.version + 1
        record = records.Record("a", version, b"%d" % version)
        source = sync.Source("store", 0.0)
        table_sync.apply_from_peer(
            sync.Changes((record,), positions.Position(0, version)),
            positions.NOWHERE,
            source,
        )


@behave.given("an entry process with a configuration, a named version and an endpoint")
def step_entry(context):
    context.clock = testing.MemoryReactorClock()
    context.entry = entries.Entry(context.clock, "10.0.0.1")
    context.decoder = context.entry.process._decoder
    decode(context.decoder, 1)
    change(context)
    assert set(in_force(context.entry).values()) == {1}


@behave.when("each of them changes while the decoding of the {part} fails")
def step_part_fails(context, part):
    def fail(*args):
        raise OverflowError("cannot convert float infinity to integer")

    decode(context.decoder, 2)
    context.method = METHODS[part]
    context.mended = getattr(context.decoder, context.method)
    setattr(context.decoder, context.method, fail)
    context.failing = part
    try:
        change(context)
    except OverflowError:
        # Without a guard the error ends the change.
        pass


@behave.then("the others are in force at once")
def step_others(context):
    found = in_force(context.entry)
    others = {part: n for part, n in found.items() if part != context.failing}
    assert set(others.values()) == {2}, found
    assert found[context.failing] == 1, found


@behave.then("the {part} is in force within {within_s:f} s of the end of the failure")
def step_part_in_force(context, part, within_s):
    run(context, 0.3)
    setattr(context.decoder, context.method, context.mended)
    run(context, within_s)
    assert in_force(context.entry)[part] == 2, in_force(context.entry)
    assert context.entry.process._guarded.counts, "no failure was counted"


@behave.when("the next {count:d} answers of the store cannot be used")
def step_unusable(context, count):
    store, changes = context.store, context.store.changes
    context.unusable = 0

    async def unusable(table, after, wait_s):
        context.unusable += 1
        if context.unusable == count:
            store.changes = changes
        return sync.Changes((None,), positions.Position(0, 10))

    store.changes = unusable
    for _ in range(200):
        if context.unusable == count:
            return
        run(context, STEP_S)
    raise AssertionError(f"{context.unusable} reads, expected {count}")


@behave.when("then the store writes version 6")
def step_after(context):
    context.store.write()


@behave.then(
    "each answer that could not be used was logged with the end of its traceback"
)
def step_unusable_logged(context):
    lines = context.log.of("read_failed")
    assert len(lines) == context.unusable, lines
    assert all("AttributeError" in line["detail"] for line in lines), lines
