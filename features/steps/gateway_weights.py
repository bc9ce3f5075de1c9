"""Steps for the versions of weights that calls may run on."""

import dataclasses
import json
import re
import types as plain_types

import behave
from twisted.internet import testing

from cicadaplank.gateway import gateway, process, reporting
from cicadaplank.messages import codec, types
from cicadaplank.platform import headers
from cicadaplank.reports import metrics
from features.steps import gateway as gateway_steps

MODEL = "m"
ALLOWED_S = 8.0
BOUNDS = gateway.Bounds(0.2, 100, 10, ALLOWED_S)
OBJECTIVE_S = 2.0
TIMEOUT_S = 4.0
STEP_S = 0.05


class Log:
    """Keeps log lines."""

    def __init__(self):
        self.lines = []

    def log(self, event, level="info", **fields):
        """Keep a line."""
        self.lines.append((event, fields))

    def of(self, event):
        """Return the fields of each line of an event."""
        return [fields for name, fields in self.lines if name == event]


class Hub:
    """Keeps what is sent to one peer."""

    peers = ("10.0.0.9",)

    def __init__(self):
        self.sent = []

    def connection(self, name):
        """Return a connection of an entry instance."""
        transport = plain_types.SimpleNamespace(abortConnection=lambda: None)
        hello = types.Hello("entry", "r", "a", 0)
        return plain_types.SimpleNamespace(hello=hello, peer=name, transport=transport)

    def send_all(self, names, message):
        """Keep a message as a frame."""
        self.sent.append(codec.encode(codec.Envelope("10.0.0.9", 0, message)))


class Entry:
    """An entry process without sockets, whose reads and reports a scenario plays."""

    def __init__(self, reactor, name):
        address = process.Address(name, 1)
        settings = process.Settings(
            name=name,
            region="r",
            data_centre="a",
            front=address,
            ready=address,
            ready_path="/ready",
            peer=address,
            metrics=address,
            seeds=(),
            bounds=BOUNDS,
            grace_s=8,
        )
        self.row = {}
        decoder = plain_types.SimpleNamespace(
            operator_table="op",
            endpoint_table="servers",
            configuration=lambda copy: None,
            named_weights=lambda copy: dict(self.row),
            models=lambda copy: [MODEL],
        )
        self.log = Log()
        self.process = process.EntryProcess(
            reactor, settings, None, decoder, None, headers.PlatformDialect(), None
        )
        self.process.events.log = self.log.log
        self.hub = self.process.peers._hub = Hub()
        self.process._tick()

    def read(self, version):
        """Read the operator's record with a version of the weights."""
        self.row = {MODEL: version}
        self.process._operator_changed({"op/version/m"})

    def hear_store(self):
        """Get an answer of the store without changes."""
        now_s = self.process.reactor.seconds()
        for table in (self.process.operator, self.process.listed):
            table.availability.record_answer(now_s)

    def report(self):
        """Return a report to peers as a frame."""
        self.process.peers._report(self.process.reactor.seconds(), True)
        return self.hub.sent[-1]

    def receive(self, frame):
        """Process a report of a peer."""
        connection = self.hub.connection("10.0.0.9")
        self.process.message_received(connection, codec.decode(frame))

    @property
    def min_version(self):
        """Oldest version that calls may run on now."""
        return self.process.gateway.min_version(MODEL)


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
    context.entry = Entry(context.reactor, "10.0.0.1")


@behave.when("it reads versions {versions} of the weights at {times} s")
def step_reads(context, versions, times):
    for version, time_s in zip(numbers(versions), numbers(times), strict=True):
        advance_to(context, time_s)
        context.entry.read(version)


@behave.then(
    "it logs version {version:d} with an age of {age_s:f} s from the source {source}"
)
def step_logged(context, version, age_s, source):
    expected = {"model": MODEL, "version": version, "age_s": age_s, "source": source}
    assert expected in context.entry.log.of("weights_named"), context.entry.log.lines


@behave.given("entry instances that start at {start_s:d} s")
def step_entries(context, start_s):
    context.reactor = testing.MemoryReactorClock()
    context.reactor.advance(start_s)
    context.entries = {
        name: Entry(context.reactor, f"10.0.0.{number}")
        for number, name in enumerate(("near", "far"), 1)
    }


STARTS = re.compile(r"(\w+) starts at ([\d.]+)")
HEARS = re.compile(r"(\w+) hears the store at ([\d.]+)")
READS = re.compile(r"(\w+) reads (\d+) at ([\d.]+)")
TELLS = re.compile(r"(\w+) tells (\w+) at ([\d.]+)(?: for ([\d.]+))?")


@behave.when('"{events}"')
def step_events(context, events):
    for event in events.split("; "):
        starts, hears = STARTS.fullmatch(event), HEARS.fullmatch(event)
        reads, tells = READS.fullmatch(event), TELLS.fullmatch(event)
        if starts:
            name, time_s = starts.groups()
            advance_to(context, float(time_s))
            context.entries[name] = Entry(context.reactor, "10.0.0.3")
            continue
        if hears:
            name, time_s = hears.groups()
            advance_to(context, float(time_s))
            context.entries[name].hear_store()
            continue
        if reads:
            name, version, time_s = reads.groups()
            advance_to(context, float(time_s))
            context.entries[name].read(int(version))
            continue
        assert tells, event
        sender, receiver, time_s, arrives_s = tells.groups()
        advance_to(context, float(time_s))
        frame = context.entries[sender].report()
        advance_to(context, float(arrives_s or time_s))
        context.entries[receiver].receive(frame)


@behave.when("a peer reports the ages {ages} to far")
def step_ages(context, ages):
    report(context.entries["far"], json.loads(ages))


def report(entry, ages_s):
    """Let an entry process a report with ages of named weights."""
    message = types.GatewayReport({}, {}, 0.0, ages_s)
    entry.receive(codec.encode(codec.Envelope("10.0.0.9", 0, message)))


@behave.when("a peer reports 100 versions of each of 100 models to far")
def step_many_ages(context):
    for number in range(100):
        ages = [[version, 1.0] for version in range(1, 101)]
        report(context.entries["far"], {f"m{number}": ages})


@behave.then("far keeps {versions:d} versions of {models:d} models")
def step_kept(context, versions, models):
    requirement = context.entries["far"].process.gateway.weights_requirement
    kept = requirement.ages_s(context.reactor.seconds())
    assert len(kept) == models, len(kept)
    assert {len(ages) for ages in kept.values()} == {versions}
    assert requirement.rejected == 100 - models, requirement.rejected


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
            template, name=name, host=f"10.0.0.{number}", weights={MODEL: version}
        )
        for number, (name, version) in enumerate(sorted(versions.items()), 1)
    }
    world.gateway.set_endpoints(listed, False)


@behave.given(
    "a gateway whose engines {names} serve version {version:d} and a route that {kind}"
)
def step_engines(context, names, version, kind):
    world = context.world = gateway_steps.World(2, kind)
    context.log = Log()
    world.gateway._reporter = reporting.Reporter(
        context.log, metrics.Metrics("edge-1", "entry", "r", "a"), world.reactor.seconds
    )
    route = dataclasses.replace(
        world.configuration.routes[0],
        objective_s=OBJECTIVE_S,
        timeout_s=TIMEOUT_S,
        is_generation=True,
    )
    world.gateway.set_configuration(
        dataclasses.replace(world.configuration, routes=(route,))
    )
    context.versions = dict.fromkeys(names.split(" and "), version)
    weights_of(world, context.versions)


@behave.when("a call is sent {after_s:f} s after version {version:d} was named")
def step_sent(context, after_s, version):
    world = context.world
    now_s = world.reactor.seconds()
    world.gateway.weights_requirement.record_named_version(MODEL, version, now_s, now_s)
    world.run(after_s)
    extra = b"X-Model: %b\r\n" % MODEL.encode()
    world.client.dataReceived(world.request(extra, body=b"call"))
    context.protocol, context.transport = world.accept()
    context.first = world.sent[0][0]


@behave.when("the engine x answers")
def step_answers(context):
    context.protocol.dataReceived(gateway_steps.answer())


@behave.then("the log of the call names version {version:d}")
def step_call_log(context, version):
    (line,) = context.log.of("call_ended")
    assert line["weights"] == version, line
