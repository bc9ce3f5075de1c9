"""Steps for instances that decide by an older configuration than their peers."""

import behave
from twisted.internet import defer, testing

from cicadaplank.gateway import positions, records, routes, staleness, sync
from cicadaplank.messages import codec, types
from features import entries

STEP_S = 0.05
REPORT_S = 0.2
KEY = "config"


class Store:
    """Store with one row, whose answers to waiting reads may lack it.

    :param clock: stepped clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.version = 5
        self.value = b"1"
        self.skips = False
        self.snapshots = 0

    def _changes(self, is_complete):
        record = records.Record(KEY, self.version, self.value)
        found = (record,) if is_complete else ()
        return sync.Changes(found, positions.Position(0, self.version))

    async def snapshot(self, table):
        """Return every record."""
        self.snapshots += 1
        return self._changes(True)

    async def changes(self, table, after, wait_s):
        """Return changes, or wait for some time."""
        if self.version == after.version:
            waited = defer.Deferred()
            self.clock.callLater(wait_s, waited.callback, None)
            await waited
        has_news = self.version > after.version
        return self._changes(has_news and not self.skips)


def configuration(copy):
    """Decode the configuration whose number is the value of the row."""
    record = copy.get(KEY)
    if record is None:
        return None
    return routes.Configuration(int(record.value), (), {}, routes.ClientLimits(), None)


def run(context, duration_s):
    """Let time pass."""
    for _ in range(round(duration_s / STEP_S)):
        context.clock.advance(STEP_S)


def report(context, version):
    """Let a peer report that it decides by a version of the configuration."""
    process = context.entry.process
    newest = {"op": process.operator.copy.newest_change.to_wire()}
    message = types.GatewayReport({}, newest, 0.1, {}, context.clock.seconds())
    context.entry.receive(codec.encode(codec.Envelope(entries.PEER, version, message)))


@behave.given("an entry process that decides by version 1 of the configuration")
def step_process(context):
    context.clock = testing.MemoryReactorClock()
    context.store = Store(context.clock)
    context.entry = entries.Entry(context.clock, "10.0.0.1", context.store)
    context.entry.decoder.configuration = configuration
    context.entry.decoder.endpoints = lambda copy, known: ({}, 0)
    context.entry.process.operator.start()
    context.entry.process.listed.start()
    run(context, 2.0)
    report(context, 1)
    run(context, REPORT_S)
    assert context.entry.process.gateway.configuration_version == 1


def fail_for_two(fault):
    """Return a decoder of configurations that fails for version 2."""

    def decode(copy):
        found = configuration(copy)
        if found.version == 2:
            raise fault
        return found

    return decode


FAULTS = {
    "the record cannot be decoded": ValueError("routes: expected a list"),
    "applying it fails every time": OverflowError("cannot convert float infinity"),
}


@behave.when("version 2 is written and {cause}")
def step_written(context, cause):
    if cause in FAULTS:
        context.entry.decoder.configuration = fail_for_two(FAULTS[cause])
    else:
        context.store.skips = True
    if cause.endswith("does not read the store"):
        run(context, 2.0)
        context.entry.process.peers.reads_store = lambda: False
    context.store.version += 1
    context.store.value = b"2"
    run(context, 2.0)
    assert context.entry.process.gateway.configuration_version == 1
    context.store.snapshots = 0


@behave.then(
    "it has logged that version {own:d} is outpaced by {newest:d}, with {change} as its"
    " newest change"
)
def step_logged(context, own, newest, change):
    (line,) = context.entry.log.of("configuration_outpaced")
    assert (line["version"], line["newest"]) == (own, newest), line
    assert (line["peer"], line["newest_change"]) == (entries.PEER, change), line
    assert line["position"] == "0/6", line


def outcome(context):
    """Return what the process does now: the version it serves, or why it does not."""
    gateway = context.entry.process.gateway
    return gateway.stop_reason() or gateway.configuration_version


@behave.when("a peer decides by version {version:d} for {duration_s:f} s")
def step_peer(context, version, duration_s):
    context.outcomes = []
    for _ in range(round(duration_s / REPORT_S)):
        report(context, version)
        for _ in range(round(REPORT_S / STEP_S)):
            run(context, STEP_S)
            context.outcomes.append(outcome(context))


@behave.then("it decides by version 2 within {within_s:f} s")
def step_decides(context, within_s):
    found = context.outcomes[round(within_s / STEP_S) - 1 :]
    assert set(found) == {2}, found


@behave.then("it stops serving within {within_s:f} s")
def step_stops(context, within_s):
    found = context.outcomes[round(within_s / STEP_S) - 1 :]
    assert set(found) == {staleness.OUTPACED}, found


@behave.when("20 s pass until it can be applied")
def step_repeats_over(context):
    run(context, 20.0)
    context.entry.decoder.configuration = configuration


@behave.then("it decides by version 2 and serves")
def step_decides_at_last(context):
    assert context.outcomes[-1] == 2, context.outcomes


@behave.when("no peer has taken it either")
def step_no_peer(context):
    run(context, STEP_S)


@behave.when("the peer that had taken it is gone")
def step_peer_silent(context):
    run(context, 3.5)


@behave.when("the connection to the peer that had it is lost")
def step_peer_lost(context):
    process = context.entry.process
    process.connection_lost(context.entry.hub.connection(entries.PEER))
    run(context, STEP_S)


@behave.then("it goes on serving by version 1")
def step_serves(context):
    assert outcome(context) == 1, outcome(context)


@behave.then("it has read the whole table at most {count:d} times")
def step_snapshots(context, count):
    # Two tables are read in this store, of which one holds the configuration.
    assert 1 <= context.store.snapshots <= count, context.store.snapshots


@behave.when("a peer is ahead by 0.3 s through 20 versions")
def step_storm(context):
    context.outcomes = []
    for version in range(2, 22):
        report(context, version)
        for _ in range(6):
            run(context, STEP_S)
            context.outcomes.append(outcome(context))
        context.store.version += 1
        context.store.value = b"%d" % version


@behave.then("it has served all the time")
def step_served(context):
    assert all(type(found) is int for found in context.outcomes), context.outcomes


def named_version(context):
    """Return the version that a frame of the process names."""
    report = types.GatewayReport({}, {}, 0.0, {}, 0.0)
    frame = context.entry.process.hub.encode(report)
    return codec.decode(frame).table_version


@behave.then("its frames name version 1")
def step_names_old(context):
    assert context.entry.process.operator.copy.get(KEY).value == b"2"
    assert named_version(context) == 1, named_version(context)


@behave.then("its frames name version 2 as soon as it decides by it")
def step_names_new(context):
    context.entry.decoder.configuration = configuration
    context.entry.process._take_configuration()
    assert outcome(context) == 2, outcome(context)
    assert named_version(context) == 2, named_version(context)
