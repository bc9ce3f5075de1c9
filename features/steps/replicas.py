"""Steps for the loading of weights, and for the evenness of their distribution."""

import collections
import random
import re
import types as plain_types

import behave
from twisted.internet import defer, task, testing

from bench import swarm
from cicadaplank.external import errors
from cicadaplank.gateway import named_versions, routes
from cicadaplank.links import pacing
from cicadaplank.messages import types
from cicadaplank.replicas import loading, process
from cicadaplank.weights import (
    chunks,
    effects,
    manifests,
    ownership,
    receive_window,
    transfers,
    uploads,
)
from cicadaplank.world import machines
from features import entries

MODEL = "m"
TARGET = loading.Target(MODEL, 2, 0.0)
NAMED = named_versions.NamedVersion(2, 0.0, 0.0, named_versions.Source.STORE)
NAMES = tuple(f"engine-{number}" for number in range(12))
ME = NAMES[0]
NOTICE = re.compile(r"(.*?) age(?: made at ([\d.]+))? at ([\d.]+)")


def engine(version=1, busy=False, started_ms=1):
    versions = {MODEL: version} if version else {}
    return loading.EngineState(versions, busy, 0, not versions, started_ms)


@behave.given("an agent whose engine should serve version 2 within 8 s")
def step_loading(context):
    context.loading = loading.LoadScheduler(ME, 8.0)
    context.loading.wanted(TARGET)
    context.engine, context.has_copy = engine(), True


@behave.when("the engine {state}")
def step_state(context, state):
    machine = context.loading
    if "missing" in state:
        context.has_copy = False
    if "rot" in state:
        machine.staged(TARGET, False, 0.0)
    if "staged" in state or state in ("is busy with an order", "refused the order"):
        # The pieces were checked just before the time that is asked for.
        for started_s in (0.4, 3.9, 6.9):
            machine.staged(TARGET, True, started_s)
            if "serves nothing" in state:
                break
    if state == "refused the order just now":
        machine.staged(TARGET, True, 6.8)
        machine.order_answered(False, 6.9)
    if state.startswith("serves nothing"):
        context.engine = engine(0)
    if state == "is busy with an order":
        context.engine = engine(busy=True)
    if state == "serves version 2":
        context.engine = engine(2)
    if state == "is unknown":
        context.engine = None
    if state.startswith("restarted"):
        machine.restarted(6.95)


@behave.then("after {after:f} s the agent is told to {action}")
def step_action(context, after, action):
    got = context.loading.next(context.engine, context.has_copy, NAMES, after)
    kinds = {"wait": type(None), "stage": loading.Stage, "load": loading.Order}
    assert type(got) is kinds[action], got


@behave.then("after {after:f} s its calls need a part of the link: {part}")
def step_part_of_link(context, after, part):
    has_calls = context.loading.may_have_calls(context.engine, after)
    assert has_calls == (part == "yes"), has_calls


@behave.when(
    "its engine reports version {version:d} it may send {bytes_per_s:d} bytes/s"
)
def step_rate(context, version, bytes_per_s):
    context.agent._state_received(engine(version))
    for rate in (
        context.agent.hub.pacer.bytes_per_s,
        context.agent.transfers.rates.machine_bytes_per_s,
    ):
        assert rate == bytes_per_s, rate


@behave.given("12 engines that should serve version 2 within 8 s")
def step_engines(context):
    context.times = {}
    for name in NAMES:
        machine = loading.LoadScheduler(name, 8.0)
        machine.wanted(TARGET)
        at_s, action = 0.0, None
        while not isinstance(action, loading.Order):
            at_s += 0.01
            action = machine.next(engine(), True, NAMES, at_s)
            if isinstance(action, loading.Stage):
                machine.staged(TARGET, True, at_s)
        context.times[name] = at_s


@behave.then("they load between 5.0 and 7.0 s, and no 3 of them within 0.2 s")
def step_spread(context):
    times = sorted(context.times.values())
    assert 5.0 <= times[0] and times[-1] <= 7.0, times
    assert all(b - a >= 0.2 for a, b in zip(times, times[2:], strict=False)), times


@behave.then("every agent computes the same order")
def step_same_order(context):
    turns = {n: loading.load_position(n, TARGET, NAMES) for n in NAMES}
    shuffled = random.Random(1).sample(NAMES, len(NAMES))
    assert turns == {n: loading.load_position(n, TARGET, shuffled) for n in NAMES}
    order = sorted(NAMES, key=turns.get)
    assert order == sorted(NAMES, key=context.times.get)


@behave.then("a copy that {state} is {order}")
def step_order(context, state, order):
    phase, progress = {
        "has just begun": (loading.Phase.COPYING, 0.1),
        "is well under way": (loading.Phase.COPYING, 0.6),
        "is staged and waits its turn": (loading.Phase.WAITING, 1.0),
        "is served": (loading.Phase.CURRENT, 1.0),
    }[state]
    finished = loading.should_finish_target(phase, progress)
    assert finished == (order == "finished")


# Staging at an engine.


class Engine:
    """An engine that keeps what is staged, with a fault."""

    def __init__(self, trouble):
        self.trouble = trouble
        self.held = {}
        self.writes = 0
        self.orders = []

    async def state(self):
        """Return the state of an engine that serves nothing."""
        return engine(0)

    async def put_piece(self, model, number, data):
        """Stage a piece."""
        self.writes += 1
        if "no answer" in self.trouble and self.writes == 2:
            raise errors.AnswerLost("no answer")
        if "rots" in self.trouble and self.writes == 2:
            data = b"rotten" + data[6:]
        self.held[number] = data

    async def piece(self, model, number):
        """Return a staged piece."""
        if number not in self.held:
            raise errors.NotFound(404, "piece")
        return self.held[number]

    async def load(self, order):
        """Keep an order."""
        self.orders.append(order)
        return True


class Store:
    """A store whose tables name a version."""

    def __init__(self):
        self.reads = 0

    async def snapshot(self, table):
        """Count the read; it never ends."""
        self.reads += 1
        return await defer.Deferred()


class InstanceRegistry:
    """No entry instance is registered."""

    async def instances(self):
        """Return no instance."""
        return []


SETTINGS = process.Settings(
    "side-1", "10.0.0.1", 7700, 7701, "r", "a", {"a": "r"}, "s", 1e6, 8.0
)


def agent(trouble, store=None, origin=None, clock=None, settings=SETTINGS):
    """Return an agent process with parts in memory."""
    store = store or Store()
    clock = clock or task.Clock()
    meaning = plain_types.SimpleNamespace(operator_table="op", endpoint_table="servers")
    return process.AgentProcess(
        clock,
        settings,
        store,
        meaning,
        InstanceRegistry(),
        Engine(trouble),
        lambda address: origin,
        lambda: settings,
    )


@behave.given("an agent with a complete copy of 4 pieces")
def step_agent_copy(context):
    context.data = [bytes([number]) * 1000 for number in range(4)]
    digests = [manifests.chunk_digest(data) for data in context.data]
    context.manifest = manifests.from_digests(MODEL, "2", 1000, digests).unwrap()


@behave.when("it stages them at an engine where {trouble}")
def step_stage(context, trouble):
    made = context.agent = agent(trouble)
    held = made._engine.held
    if trouble == "some pieces lie already":
        held.update({0: context.data[0], 2: context.data[2]})
    if trouble.startswith("a piece of the older version"):
        held[1] = b"older" * 200
    made.store.reserve(context.manifest)
    for data in context.data:
        made.store.put(manifests.chunk_digest(data), data)
    copy = process._Copy(TARGET, NAMED)
    copy.manifest = copy.received = context.manifest
    copy.is_complete = True
    made._next_copy = made._newest_copy = copy
    made.loading.wanted(TARGET)
    made._engine_state, made._reported_s = engine(0), made.now_s
    made._decide()


@behave.then("the engine holds all pieces and is ready")
def step_ready(context):
    fake = context.agent._engine
    assert [fake.held[number] for number in range(4)] == context.data
    assert len(fake.orders) == 1, fake.orders


@behave.then("the engine is not told to load")
def step_not_ready(context):
    assert not context.agent._engine.orders


# News of weights.


@behave.given("an agent that starts")
def step_agent_starts(context):
    context.store = Store()
    context.agent = agent("", context.store)


@behave.when("{way} names version 3")
def step_named(context, way):
    notice = types.WeightsNotice(1, [0, 1], {MODEL: 3}, [MODEL], "", {}, {}, {})
    made = context.agent
    if way == "an entry instance":
        hello = types.Hello("entry", "r", "a", 0)
        connection = plain_types.SimpleNamespace(hello=hello, peer="10.0.0.9")
        made.message_received(connection, plain_types.SimpleNamespace(message=notice))
    else:
        made._apply_notice(notice)
    made.operator.start()


@behave.then("the agent wants version 3")
def step_wants(context):
    assert context.agent.loading.target.version == 3


@behave.then("the agent reads the store: {reads}")
def step_reads(context, reads):
    assert bool(context.store.reads) == (reads == "yes")


@behave.given("an entry instance that reads version {version:d} at {time_s:d} s")
def step_entry_reads(context, version, time_s):
    context.reactor = testing.MemoryReactorClock()
    context.entry = entries.Entry(context.reactor, "10.0.0.9")
    context.entry.read(version - 1)
    context.reactor.advance(time_s)
    context.entry.read(version)


@behave.when("the agent gets notices {notices_at}")
def step_notices(context, notices_at):
    made = context.agent
    for described in notices_at.split(", "):
        age, made_s, time_s = NOTICE.fullmatch(described).groups()
        context.reactor.advance(float(made_s or time_s) - context.reactor.seconds())
        notice = context.entry.notice()
        made.reactor.advance(float(time_s) - made.reactor.seconds())
        context.reactor.advance(float(time_s) - context.reactor.seconds())
        if age == "without":
            started = entries.Entry(context.reactor, "10.0.0.9")
            started.read(notice.named[MODEL])
            notice = started.notice()
        if age == "with a malformed":
            notice.weights_ages_s[MODEL] = [[2, "1.0"]]
        made._apply_notice(notice)
        made.loading.staged(made.loading.target, True, made.now_s)


@behave.when(
    "the agent reads version 2 in the store at {time_s:f} s, last without it at "
    "{confirmed_s:f} s"
)
def step_reads_itself(context, time_s, confirmed_s):
    made = context.agent
    made._decoder = plain_types.SimpleNamespace(
        configuration=lambda copy: routes.Configuration(
            1, (), {}, routes.ClientLimits(), None
        ),
        named_weights=lambda copy: {MODEL: 2},
        models=lambda copy: [MODEL],
        endpoints=lambda copy, configuration: ({}, 0),
    )
    made.operator.confirmed_s = confirmed_s
    made.reactor.advance(time_s)
    made._operator_changed({"op/version/m"})
    made.loading.staged(made.loading.target, True, made.now_s)


@behave.then("the turn of its engine to load version 2 comes at {turn_s:f} s")
def step_turn(context, turn_s):
    machine = context.agent.loading
    due_s = 120.0
    while machine.next(engine(), True, (ME,), due_s) is None:
        due_s += 0.01
    assert abs(due_s - turn_s) < 0.02, due_s


class FailingOrigin:
    """An origin that breaks every connection."""

    def __init__(self):
        self.clock = None
        self.asked_s = []

    async def manifest(self, model, version):
        """Keep the time of the request, and fail."""
        self.asked_s.append(self.clock.seconds())
        raise errors.AnswerLost("connection lost")


@behave.given("an agent that knows of no version, and an origin that fails at once")
def step_no_version(context):
    context.origin = FailingOrigin()
    context.agent = agent("", origin=context.origin)
    context.origin.clock = context.agent.reactor


@behave.when("the agent gets a notice without versions every 0.01 s for 6 s")
def step_notices_without_versions(context):
    notice = types.WeightsNotice(1, [0, 1], {}, [MODEL], "10.0.0.8:80", {}, {}, {})
    for _ in range(600):
        context.agent._apply_notice(notice)
        context.agent.reactor.advance(0.01)


@behave.then("no two requests to the origin are less than {least_s:f} s apart")
def step_apart(context, least_s):
    asked_s = context.origin.asked_s
    context.gaps_s = [b - a for a, b in zip(asked_s, asked_s[1:], strict=False)]
    assert context.gaps_s, asked_s
    assert min(context.gaps_s) >= least_s, (len(asked_s), min(context.gaps_s))


@behave.then("the delay between two requests varies and does not exceed {most_s:f} s")
def step_delays(context, most_s):
    assert max(context.gaps_s) <= most_s, context.gaps_s
    assert len({round(gap_s, 2) for gap_s in context.gaps_s}) > 1, context.gaps_s


# Placement of chunks.


def placement_of(count, machine_count, region_count, rng=None):
    names = [f"m{n}" for n in range(machine_count)]
    holders = [(name, f"r{n % region_count}") for n, name in enumerate(names)]
    if rng:
        rng.shuffle(holders)
    digests = [manifests.chunk_digest(b"%d" % n) for n in range(count)]
    owners = ownership.Ownership(holders)
    return owners, ownership.Placement(owners, digests, None)


@behave.given(
    "the placement of {count:d} chunks on {machine_count:d} machines in"
    " {region_count:d} regions"
)
def step_placement(context, count, machine_count, region_count):
    context.sizes = count, machine_count, region_count
    context.owners, context.placement = placement_of(*context.sizes)


def loads(context, home):
    """Return chunks by owner, and the largest part that is even, by region."""
    count = context.sizes[0]
    found, most = collections.Counter(), {}
    for region in context.placement.regions:
        mine = [
            i
            for i in range(count)
            if (context.placement.home_region(i) == region) == home
        ]
        most[region] = -(-len(mine) // context.owners.size(region))
        for index in mine:
            found[region, context.placement.candidates(region, index)[0]] += 1
    return found, most


@behave.then("no owner takes more than its part of the chunks from the origin")
def step_even_home(context):
    found, most = loads(context, True)
    assert all(n <= most[region] for (region, _), n in found.items()), found
    assert sum(found.values()) == context.sizes[0]


@behave.then("no owner takes more than its part of the chunks from other regions")
def step_even_remote(context):
    found, most = loads(context, False)
    assert all(n <= most[region] for (region, _), n in found.items()), found


@behave.then("every machine computes the same placement")
def step_same_placement(context):
    _, other = placement_of(*context.sizes, rng=random.Random(2))
    for index in range(context.sizes[0]):
        assert other.home_region(index) == context.placement.home_region(index)
        for region in other.regions:
            mine = context.placement.candidates(region, index)
            assert other.candidates(region, index) == mine


@behave.given("a transfer of 4 chunks that has begun")
def step_transfer(context):
    step_agent_copy(context)
    me = machines.Instance("me", "agent", "h", 1, "r", "a")
    context.transfers = transfers.Transfers(
        me,
        chunks.ChunkStore(1_000_000),
        transfers.LinkRates(1e6, 1e6),
        None,
        random.Random(1),
        0.0,
    )
    digest = context.manifest.digest
    wanted = transfers.WantedVersion(digest, MODEL, ("me",))
    context.transfers.rows_changed((wanted,), 0.0)
    context.transfers.manifest_fetched(digest, context.manifest.to_json(), 0.0)


@behave.when("another task stores a chunk and the origin sends it once more")
def step_duplicate(context):
    data = context.data[0]
    digest = manifests.chunk_digest(data)
    context.transfers.store.put(digest, data)
    context.transfers.origin_replied(digest, data, 0.1)


@behave.then("the transfer counts the chunk as held")
def step_held(context):
    assert context.transfers.progress(context.manifest.digest) == 0.25


@behave.given("an upload queue for 100 kB/s with 4 local and 4 remote chunks of 10 kB")
def step_uploads(context):
    context.queue = uploads.UploadQueue(100_000, 100_000, 0.0)
    for number in range(8):
        offered = uploads.Upload(
            f"peer-{number}", number, "digest", 10_000, number % 2 == 1
        )
        assert context.queue.enqueue(offered, 0.0)


@behave.when("0.5 s pass")
def step_half_second(context):
    context.sent = []
    for number in range(51):
        for upload in context.queue.take_due(number * 0.01):
            context.sent.append(upload)
            context.queue.upload_finished(upload.peer, upload.transfer, number * 0.01)


@behave.then("at most 6 chunks were sent")
def step_sent(context):
    # 50 kB in 0.5 s, and the first chunk goes at once.
    assert 4 <= len(context.sent) <= 6, len(context.sent)
    assert {upload.remote for upload in context.sent} == {True, False}


@behave.given("an upload queue for 100 kB/s on a link of {rate:d} kB/s")
def step_queue_on_link(context, rate):
    context.queue = uploads.UploadQueue(100_000, 100_000, 0.0)
    context.chunk_s = 10 / rate
    context.frozen = ""


@behave.given('the peer "{peer}" takes nothing and asked for 4 chunks of 10 kB')
def step_frozen_peer(context, peer):
    context.frozen = peer
    for number in range(4):
        upload = uploads.Upload(peer, number, f"frozen-{number}", 10_000)
        assert context.queue.enqueue(upload, 0.0)


@behave.when('6 peers ask for chunk "a" and then 2 for chunk "b", 10 kB each')
def step_ask(context):
    for number, digest in enumerate("aaaaaabb"):
        upload = uploads.Upload(f"peer-{number}", number, digest, 10_000)
        assert context.queue.enqueue(upload, 0.0)
    context.sent, on_link, free_s = [], [], 0.0
    for now_s in (step * 0.01 for step in range(500)):
        while on_link and on_link[0][0] <= now_s:
            left_s, upload = on_link.pop(0)
            context.queue.upload_finished(upload.peer, upload.transfer, left_s)
        for upload in context.queue.take_due(now_s):
            if upload.peer == context.frozen:
                continue
            free_s = max(free_s, now_s) + context.chunk_s
            on_link.append((free_s, upload))
            context.sent.append((now_s, upload))


@behave.then('chunk "b" is sent before chunk "a" is sent for the 4th time')
def step_least_sent_first(context):
    order = [upload.chunk_digest for _, upload in context.sent]
    assert sorted(order) == list("aaaaaabb"), order
    assert order[: order.index("b")].count("a") < 4, order


@behave.then("the chunks are sent in the order of the requests")
def step_request_order(context):
    assert [upload.transfer for _, upload in context.sent] == list(range(8))


@behave.then("all 8 chunks for the other peers are sent within {limit_s:f} s")
def step_others_sent(context, limit_s):
    # The window is taken until the frozen peer's chunks count as stalled, after 2 s.
    assert len(context.sent) == 8, context.sent
    assert context.sent[-1][0] <= limit_s, context.sent[-1]


@behave.then('the upload queue refuses more requests of the peer "{peer}"')
def step_refuses(context, peer):
    assert not context.queue.enqueue(uploads.Upload(peer, 9, "z", 10_000), 5.0)


@behave.given("a receive window of 3 chunks of 49 kB and 0.3 s")
def step_receive_window(context):
    context.window = receive_window.ReceiveWindow(3, 0.3)


@behave.when("chunks come at {rates} kB/s")
def step_chunks_come(context, rates):
    now_s = 0.0
    context.window.requested(now_s, 0)
    for rate in rates.split(", ") if rates != "no" else ():
        now_s += 49 / float(rate)
        context.window.received(49_000, now_s)


@behave.when(
    "{count:d} chunks share a link of {rate:d} kB/s and waited {waited_s:f} s at their"
    " sources"
)
def step_shared_link(context, count, rate, waited_s):
    # Their bytes alternate on the link, so that all end within a part of its time.
    transfer_s = count * 49 / rate
    for number in range(count):
        context.window.requested(0.0, number)
    for number in range(count):
        now_s = waited_s + transfer_s - 0.01 * (count - 1 - number)
        context.window.received(49_000, now_s, now_s - waited_s)


@behave.when("6 s pass without a chunk and the next is requested")
def step_unused(context):
    context.window.requested(7.0, 0)


@behave.then("{count:d} chunks may be on their way")
def step_window(context, count):
    assert context.window.size(49_000) == count, context.window.size(49_000)


@behave.given(
    "a transfer that may let 3 chunks come in 0.3 s, and peers that hold some"
)
def step_slow_transfer(context):
    digests = [manifests.chunk_digest(b"%d" % number) for number in range(40)]
    context.manifest = manifests.from_digests(MODEL, "2", 1000, digests).unwrap()
    context.agents = [
        machines.Instance(n, "agent", "h", 1, "r", "a") for n in ("m0", "m1")
    ]
    context.transfers = transfers.Transfers(
        context.agents[0],
        chunks.ChunkStore(1_000_000),
        transfers.LinkRates(1e5, 1e5),
        None,
        random.Random(1),
        0.0,
        process.TRANSFER_LIMITS,
    )


@behave.when("chunks have come at {rate:d} kB/s and the instance owns missing ones")
def step_slow_chunks(context, rate):
    made, manifest = context.transfers, context.manifest
    # The chunks of this manifest have 1 kB in place of 49 kB.
    made._receive_window.requested(0.0, 0)
    made._receive_window.received(1000, 49 / rate)
    wanted = transfers.WantedVersion(manifest.digest, MODEL, ("m0", "m1"))
    actions = list(made.instances_changed(context.agents, 1.0))
    actions += made.rows_changed((wanted,), 1.0)
    actions += made.manifest_fetched(manifest.digest, manifest.to_json(), 1.0)
    half = types.ChunkMap(manifest.digest, b"\xff\xff\x0f\x00\x00")
    actions += made.message_received("m1", half, 1.1)
    context.actions = actions


@behave.then("{count:d} chunks are on their way at most, one of them from the origin")
def step_on_their_way(context, count):
    near = [
        a
        for a in context.actions
        if isinstance(a, effects.Send) and isinstance(a.message, types.ChunkRequest)
    ]
    origin = [a for a in context.actions if isinstance(a, effects.FetchChunk)]
    assert len(origin) == 1, origin
    assert len(near) + len(origin) <= count, (near, origin)


@behave.given(
    "7 agents at the pace of the platform and one link that is squeezed to a quarter"
)
def step_squeezed(context):
    instances = swarm.deployment(7, 3, 1)
    manifest, data = swarm.model(48, 64, 1)
    # A chunk takes 84 ms on a link of 4.7 Mbit/s.
    rate = 64 / 0.084
    conditions = swarm.Conditions(rate, 3 * rate, 2 * rate)
    network = swarm.Network(instances, conditions, 1, 400 * 64, process.TRANSFER_LIMITS)
    network.publish(manifest, data)
    network.accept(
        (transfers.WantedVersion(manifest.digest, "m", tuple(network.instances)),)
    )
    network.start()
    network.run(0.001, lambda: False)
    context.squeezed = min(network.instances)
    network.up[context.squeezed].bytes_per_s /= 4
    network.down[context.squeezed].bytes_per_s /= 4
    context.network = network


@behave.when("the agents distribute 48 chunks")
def step_distribute_squeezed(context):
    network, context.waits_s = context.network, []
    while len(network.completed_s) < 7 and network.now_s < 30.0:
        network.run(network.now_s + 0.1, lambda: False)
        free_s = network.down[context.squeezed].free_s
        context.waits_s.append(max(0.0, free_s - network.now_s))
    assert len(network.completed_s) == 7


@behave.then(
    "packets to that machine wait {mean:f} s at most in the mean and {worst:f} s at "
    "the worst"
)
def step_waits(context, mean, worst):
    waits_s = context.waits_s
    assert sum(waits_s) / len(waits_s) <= mean, sum(waits_s) / len(waits_s)
    assert max(waits_s) <= worst, max(waits_s)


@behave.given("a paced writer for 40 kB/s")
def step_pacer(context):
    context.clock = task.Clock()
    context.writer = pacing.PacedWriter(context.clock, 40_000)


@behave.when("a frame of 40 kB is written")
def step_frame(context):
    context.frame = random.Random(1).randbytes(40_000)
    context.written, context.ahead = b"", []
    context.done = []

    def write(data):
        context.written += data
        due = 40_000 * context.clock.seconds()
        context.ahead.append(len(context.written) - due)
        return True

    context.writer.write(context.frame, write, lambda: context.done.append(True))
    for _ in range(110):
        context.clock.advance(0.01)


@behave.then("at no time more than 2 slices were written ahead of the rate")
def step_ahead(context):
    assert max(context.ahead) <= 2 * pacing.SLICE_BYTES, max(context.ahead)


@behave.then("the whole frame is written in order within 1.1 s")
def step_written(context):
    assert context.written == context.frame
    assert context.done == [True]


@behave.given(
    "a transfer of 40 chunks at the pace of an agent, and 6 peers that hold all"
)
def step_pace(context):
    digests = [manifests.chunk_digest(b"%d" % number) for number in range(40)]
    manifest = manifests.from_digests(MODEL, "2", 1000, digests).unwrap()
    names = [f"m{number}" for number in range(7)]
    agents = [machines.Instance(n, "agent", "h", 1, "r", "a") for n in names]
    made = transfers.Transfers(
        agents[0],
        chunks.ChunkStore(1_000_000),
        transfers.LinkRates(1e5, 1e5),
        None,
        random.Random(1),
        0.0,
        process.TRANSFER_LIMITS,
    )
    wanted = transfers.WantedVersion(manifest.digest, MODEL, tuple(names))
    context.actions = list(made.instances_changed(agents, 0.0))
    context.actions += made.rows_changed((wanted,), 0.0)
    context.actions += made.manifest_fetched(manifest.digest, manifest.to_json(), 0.0)
    whole = types.ChunkMap(manifest.digest, b"\xff" * 5)
    for name in names[1:]:
        context.actions += made.message_received(name, whole, 0.1)


@behave.then(
    "at most 3 chunks are requested from peers at a time, and 1 from the origin"
)
def step_in_flight(context):
    near = [
        a
        for a in context.actions
        if isinstance(a, effects.Send) and isinstance(a.message, types.ChunkRequest)
    ]
    origin = [a for a in context.actions if isinstance(a, effects.FetchChunk)]
    assert 0 < len(near) <= 3, len(near)
    assert len(origin) <= 1, len(origin)


class DialHub:
    """Hub that keeps the names that are dialled, and connects to none."""

    def __init__(self):
        self.dialled = []

    def connection(self, name):
        """Return no connection."""
        return None

    def dial(self, instance):
        """Keep the name; the dial does not end."""
        self.dialled.append(instance.name)
        return defer.Deferred()


@behave.given("an agent process that reads a list of {count:d} entry instances")
def step_entry_list(context, count):
    context.process = agent("")
    context.process.hub = DialHub()
    context.process._members_received(
        [
            machines.Instance(f"10.0.0.{n}", "entry", "h", 1, "r", "ab"[n % 2])
            for n in range(100, 100 + count)
        ]
    )


@behave.when("it connects to entry instances")
def step_connects_entries(context):
    context.process._connect_entries()


@behave.then("it dials {count:d} of them")
def step_entries_dialled(context, count):
    dialled = context.process.hub.dialled
    assert len(dialled) == count, len(dialled)
