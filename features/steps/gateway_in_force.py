"""Steps for instances that decide by an older configuration than their peers."""

import behave
from twisted.internet import defer, testing

from cicadaplank.gateway import positions, records, routes, sync
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


@behave.when("a peer decides by version {version:d} for {duration_s:f} s")
def step_peer(context, version, duration_s):
    for _ in range(round(duration_s / REPORT_S)):
        report(context, version)
        run(context, REPORT_S)


@behave.then(
    "it has logged that version {own:d} is outpaced by {newest:d}, with {change} as its"
    " newest change"
)
def step_logged(context, own, newest, change):
    (line,) = context.entry.log.of("configuration_outpaced")
    assert (line["version"], line["newest"]) == (own, newest), line
    assert (line["peer"], line["newest_change"]) == (entries.PEER, change), line
    assert line["position"] == "0/6", line
