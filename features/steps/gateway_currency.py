"""Steps for instances that take the store's records from peers."""

import collections
import random

import behave
from twisted.internet import defer, task, testing

from cicadaplank.gateway import peers, positions, records, registry_reads, sync
from cicadaplank.messages import types
from cicadaplank.world import machines
from features.steps import gateway_decisions

TABLE = gateway_decisions.TABLE
STEP_S = 0.05
REPORT_S = 0.2
# Age of the readers' last answers when the change is written: long polls without a
# change have just been answered.
IDLE_POLL_AGE_S = 0.0


class ReaderHub(gateway_decisions.Hub):
    """Keeps what is sent; every peer is connected by a transport in memory."""

    def __init__(self, names):
        super().__init__()
        self.peers = names
        self.transport = testing.StringTransport()
        self.transport.abortConnection = lambda: None


class Readers:
    """Peers of the data centre, of which the first ones read the store."""

    def __init__(self, count):
        self.names = [f"a-{number}" for number in range(count)]
        self.newest = 5
        self.answered_s = 0.0
        self.hears_store = True
        self.is_running = True
        self.replies = True


@behave.given("an instance that takes records from {count:d} peers of its data centre")
def step_instance(context, count):
    clock = context.clock = task.Clock()
    context.store = gateway_decisions.Store(clock)
    context.readers = Readers(count)
    context.hub = ReaderHub(context.readers.names)
    context.followed = sync.TableSync(
        clock,
        context.store,
        TABLE,
        lambda keys: None,
        lambda *a, **f: None,
        lambda: context.peers.reads_store(),
    )
    context.followed.rng = random.Random(1)
    me = machines.Instance("me", "entry", "h", 1, "r", "a")
    context.peers = peers.Peers(
        clock, me, context.hub, {TABLE: context.followed}, dict, lambda now_s: {}
    )
    # The copy came from peers; nothing was read from the store.
    record = records.Record("a", 5, b"v5")
    context.followed.copy.replace((record,), positions.Position(0, 5))
    report(context)
    context.followed.start()
    run(context, 3.0)
    context.store.calls = 0


def report(context):
    """Let each peer report, and answer the requests for records."""
    readers, now_s = context.readers, context.clock.seconds()
    if not readers.is_running:
        return
    if readers.hears_store:
        readers.answered_s = now_s
    for name in readers.names:
        message = types.GatewayReport(
            {}, {TABLE: [0, readers.newest]}, now_s - readers.answered_s, {}, now_s
        )
        context.peers.message(name, message)
    requests = [m for m in context.hub.sent if isinstance(m, types.RecordRequest)]
    context.hub.sent.clear()
    if not (requests and readers.replies):
        return
    newest = readers.newest
    rows = [["a", newest, b"v%d" % newest]]
    reply = types.RecordReply(TABLE, requests[0].after, [0, newest], rows)
    context.peers.message(readers.names[0], reply)


def run(context, duration_s):
    """Let time pass with reports of the peers."""
    for number in range(round(duration_s / STEP_S)):
        if number % round(REPORT_S / STEP_S) == 0:
            report(context)
        context.peers.tick()
        context.clock.advance(STEP_S)


@behave.given("a configuration has to be in force within {in_force_s:f} s")
def step_in_force(context, in_force_s):
    times = sync.poll_times(in_force_s)
    for follower in getattr(context, "followers", [context]):
        follower.peers.times = follower.followed.times = times


@behave.when("the store writes a change and {trouble}")
def step_change(context, trouble):
    readers = context.readers
    if "long polls are silent" in trouble:
        readers.hears_store = False
        readers.answered_s = context.clock.seconds() - IDLE_POLL_AGE_S
    elif trouble == "the readers stop":
        readers.is_running = False
    elif trouble == "peers report it, but no reply of theirs arrives":
        readers.replies = False
        readers.newest = 6
    elif trouble.startswith("the readers report it late"):
        readers.replies = False
        readers.hears_store = False
    else:
        assert trouble == "all works", trouble
        readers.newest = 6
    context.store.write()
    context.written_s = context.clock.seconds()
    if trouble.startswith("the readers report it late"):
        run(context, 1.0)
        readers.newest = 6


@behave.then("the instance holds the change within {limit_s:f} s")
def step_holds(context, limit_s):
    left_s = context.written_s + limit_s - context.clock.seconds()
    run(context, left_s)
    record = context.followed.copy.get("a")
    assert record.version == 6, f"version {record.version} {limit_s} s after the change"


@behave.when("the store writes {count:d} changes in {duration_s:d} s and all works")
def step_changes(context, count, duration_s):
    for _ in range(count):
        context.store.write()
        context.readers.newest = context.store.version
        run(context, duration_s / count)


@behave.then("the instance has not called the store")
def step_not_called(context):
    assert context.store.calls == 0, context.store.calls


class PolledStore(gateway_decisions.Store):
    """A store without changes, whose long polls end when their wait is over."""

    async def changes(self, table, after, wait_s):
        """Return no changes after the wait."""
        self.calls += 1
        waited = defer.Deferred()
        self.clock.callLater(wait_s, waited.callback, None)
        await waited
        return sync.Changes((), positions.Position(0, self.version))


class Follower:
    """An instance that follows the store, or takes its records from peers.

    :param clock: stepped clock.
    :param store: store that counts its calls.
    :param names: names of the other instances of the data centre.
    :param name: its own.
    """

    def __init__(self, clock, store, names, name):
        self.name = name
        self.followed = sync.TableSync(
            clock,
            store,
            TABLE,
            lambda keys: None,
            lambda *a, **f: None,
            lambda: self.peers.reads_store(),
        )
        self.followed.rng = random.Random(name)
        me = machines.Instance(name, "entry", "h", 1, "r", "a")
        self.hub = ReaderHub(names)
        tables = {TABLE: self.followed}
        self.peers = peers.Peers(clock, me, self.hub, tables, dict, lambda now_s: {})


@behave.given("{count:d} instances of a data centre that follow the store")
def step_followers(context, count):
    clock = context.clock = task.Clock()
    context.store = PolledStore(clock)
    names = [f"a-{number:02d}" for number in range(count)]
    context.followers = [
        Follower(clock, context.store, [n for n in names if n != name], name)
        for name in names
    ]


def exchange(context, duration_s):
    """Let time pass; what instances send arrives at once at all others."""
    for _ in range(round(duration_s / STEP_S)):
        for sender in context.followers:
            sender.peers.tick()
            sent, sender.hub.sent = list(sender.hub.sent), []
            # The same report goes to each of the others.
            reports = {id(m): m for m in sent if isinstance(m, types.GatewayReport)}
            for receiver in context.followers:
                if receiver is not sender:
                    for message in reports.values():
                        receiver.peers.message(sender.name, message)
        context.clock.advance(STEP_S)


@behave.when("nothing changes for {duration_s:d} s")
def step_quiet(context, duration_s):
    for follower in context.followers:
        follower.followed.start()
    exchange(context, 3.0)
    context.store.calls = 0
    exchange(context, duration_s)


@behave.then("they make at most {most:d} calls to the store")
def step_calls(context, most):
    assert context.store.calls <= most, context.store.calls


@behave.given("{count:d} processes that read the list of instances at their start")
def step_registry(context, count):
    context.reads = [0] * count
    context.processes = [registry_reads.RegistryReads() for _ in range(count)]


@behave.when("{duration_s:d} s pass while {trouble}")
def step_registry_pass(context, duration_s, trouble):
    count = len(context.processes)
    is_complete = trouble != "the list lacks an instance"
    for now_s in range(0, duration_s, int(registry_reads.INTERVAL_S)):
        for number, process in enumerate(context.processes):
            if process.is_due(float(now_s), count, is_complete):
                context.reads[number] += 1
                process.started(float(now_s))
                if trouble != "every read fails":
                    process.finished()


@behave.then("they have read it at most {most:d} times")
def step_registry_reads(context, most):
    assert sum(context.reads) <= most, sum(context.reads)


@behave.then("each has read it at least {least:d} times")
def step_registry_least(context, least):
    assert min(context.reads) >= least, context.reads


class SpreadHub(gateway_decisions.Hub):
    """Counts the reports that are sent to each peer; its name tells the data centre."""

    def __init__(self, names):
        super().__init__()
        self.peers = names
        self.reports = collections.Counter()
        self.transport = testing.StringTransport()

    def connection(self, name):
        """Return a connection of an entry instance."""
        self.hello = types.Hello("entry", "r", name.partition("-")[0], 0)
        return self

    def send(self, name, message):
        """Count a report."""
        self.reports[name] += isinstance(message, types.GatewayReport)


@behave.given(
    "an instance with {local:d} peers of its data centre and {remote:d} of others"
)
def step_spread(context, local, remote):
    clock = context.clock = task.Clock()
    context.local = [f"a-{number}" for number in range(local)]
    context.remote = [f"b-{number}" for number in range(remote)]
    context.followed = sync.TableSync(
        clock, None, TABLE, lambda keys: None, lambda *a, **f: None, lambda: False
    )
    me = machines.Instance("me", "entry", "h", 1, "r", "a")
    context.hub = SpreadHub(context.local + context.remote)
    tables = {TABLE: context.followed}
    context.peers = peers.Peers(
        clock, me, context.hub, tables, dict, gateway_decisions.no_ages
    )


@behave.when("it reads {rate:d} changes a second for {duration_s:d} s")
def step_reads_changes(context, rate, duration_s):
    context.changes = rate * duration_s
    for number in range(round(duration_s / STEP_S)):
        now_s = context.clock.seconds()
        for name in context.hub.peers:
            report = types.GatewayReport({}, {}, 0.0, {}, now_s)
            context.peers.message(name, report)
        if number % round(1 / rate / STEP_S) == 0:
            context.followed.changes_read += 1
        context.peers.tick()
        context.clock.advance(STEP_S)
    context.duration_s = duration_s


@behave.then(
    "it has sent at most {most:f} reports to each of the others in {period_s:f} s"
)
def step_remote_reports(context, most, period_s):
    limit = most * context.duration_s / period_s
    found = max(context.hub.reports[name] for name in context.remote)
    assert found <= limit, f"{found} reports, at most {limit}"


@behave.then("it has told each of its data centre of each change")
def step_local_reports(context):
    found = min(context.hub.reports[name] for name in context.local)
    assert found >= context.changes, f"{found} reports of {context.changes} changes"
