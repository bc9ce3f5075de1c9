"""Steps for instances that take the store's records from peers."""

import behave
from twisted.internet import task, testing

from cicadaplank.gateway import peers, records, sync
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
    me = machines.Instance("me", "entry", "h", 1, "r", "a")
    context.peers = peers.Peers(
        clock, me, context.hub, {TABLE: context.followed}, dict, lambda now_s: {}
    )
    # The copy came from peers; nothing was read from the store.
    record = records.Record("a", 5, b"v5")
    context.followed.copy.replace((record,), 5)
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
            {}, {TABLE: readers.newest}, now_s - readers.answered_s, {}, now_s
        )
        context.peers.message(name, message)
    requests = [m for m in context.hub.sent if isinstance(m, types.RecordRequest)]
    context.hub.sent.clear()
    if not (requests and readers.replies):
        return
    newest = readers.newest
    rows = [["a", newest, b"v%d" % newest]]
    reply = types.RecordReply(TABLE, requests[0].after, newest, rows)
    context.peers.message(readers.names[0], reply)


def run(context, duration_s):
    """Let time pass with reports of the peers."""
    for number in range(round(duration_s / STEP_S)):
        if number % round(REPORT_S / STEP_S) == 0:
            report(context)
        context.peers.tick()
        context.clock.advance(STEP_S)


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
