"""Steps for the checks of staged pieces before an engine is ordered to load them."""

import behave
from twisted.internet import defer, task, testing

from cicadaplank.external import errors
from cicadaplank.platform import client
from cicadaplank.replicas import loading, process
from cicadaplank.weights import manifests
from features.steps import gateway as gateway_steps
from features.steps import replicas

MODEL = replicas.MODEL
ANSWER_S = 0.001
SLOW_ANSWER_S = 0.1
LOAD_S = 0.3
STEP_S = 0.01
# A piece may have been damaged for this time when the engine loads it.
EXCUSED_S = 3.0
STILL_S = 4.0


class DecayingEngine:
    """Engine that notes how long pieces had been damaged when it loaded them.

    :param clock: Twisted clock.
    :param manifest: manifest of the version that is loaded.
    :ivar held: dict from number to bytes of the staged pieces.
    :ivar damaged_s: dict from number to the time at which a piece was damaged.
    :ivar loads: list of a dict from number to the seconds for which a piece that the
        engine loaded had been missing or damaged.
    """

    def __init__(self, clock, manifest):
        self.clock = clock
        self.manifest = manifest
        self.held = {}
        self.damaged_s = {}
        self.loads = []
        self.orders = 0
        self.reads = 0
        self.answer_s = ANSWER_S
        self.started_ms = 1
        self.version = 1
        self.is_busy = False
        self.lost_orders = 0
        self.awake = defer.succeed(None)
        self.on_order = lambda: None

    async def _answer(self):
        if not self.awake.called:
            waiting = defer.Deferred()
            self.awake.addCallback(lambda ignored: waiting.callback(None))
            await waiting
        await task.deferLater(self.clock, self.answer_s)

    async def state(self):
        """Return the state."""
        await self._answer()
        return loading.EngineState(
            {MODEL: self.version}, self.is_busy, self.orders, False, self.started_ms
        )

    async def put_piece(self, model, number, data):
        """Stage a piece."""
        await self._answer()
        self.held[number] = data
        self.damaged_s.pop(number, None)

    async def piece(self, model, number):
        """Return a staged piece."""
        self.reads += 1
        await self._answer()
        if number not in self.held:
            raise errors.NotFound(404, "piece")
        return self.held[number]

    async def load(self, order):
        """Accept an order, unless it is one that is to be lost."""
        if order.not_after_s < self.clock.seconds():
            raise errors.Unavailable("too late")
        self.on_order()
        if self.lost_orders:
            self.lost_orders -= 1
            raise errors.AnswerLost("no answer")
        await self._answer()
        now_s = self.clock.seconds()
        self.loads.append(
            {
                number: now_s - self.damaged_s.get(number, 0.0)
                for number, digest in enumerate(self.manifest.chunk_digests)
                if manifests.chunk_digest(self.held.get(number, b"")) != digest
            }
        )
        self.orders += 1
        self.is_busy = True
        self.clock.callLater(LOAD_S, self._loaded)
        return True

    def _loaded(self):
        self.version, self.is_busy = 2, False

    def damage(self, number):
        """Damage a staged piece."""
        self.held[number] = b"bad" + self.held[number][3:]
        self.damaged_s[number] = self.clock.seconds()

    def restart_empty(self):
        """Restart without the staged pieces."""
        self.started_ms += 1
        self.damaged_s = dict.fromkeys(self.held, self.clock.seconds() - STILL_S)
        self.held = {}


class Origin:
    """Origin of weights that answers at once.

    :param data: list of the bytes of each piece.
    """

    def __init__(self, data):
        self.data = data

    async def piece(self, model, version, number):
        """Return a piece."""
        return self.data[number]


def run_until(context, is_true, within_s=20.0):
    """Let time pass in small steps until something is true."""
    until_s = context.clock.seconds() + within_s
    while not is_true() and context.clock.seconds() < until_s:
        context.clock.advance(STEP_S)


@behave.given("an engine whose pieces of version 2 are staged and checked")
def step_checked(context):
    replicas.step_agent_copy(context)
    clock = context.clock = task.Clock()
    made = context.agent = replicas.agent("", clock=clock)
    fake = context.engine = made._engine = DecayingEngine(clock, context.manifest)
    made.store.reserve(context.manifest)
    for data in context.data:
        made.store.put(manifests.chunk_digest(data), data)
    copy = context.copy = process._Copy(replicas.TARGET, replicas.NAMED)
    copy.manifest = copy.received = context.manifest
    copy.is_complete = True
    made._next_copy = made._newest_copy = copy
    made.loading.wanted(replicas.TARGET)
    made._tick()
    run_until(context, lambda: made.loading.phase is loading.Phase.WAITING)
    assert len(fake.held) == 4, fake.held


@behave.when("a piece turns bad while the engine waits for its turn")
def step_bad_waiting(context):
    context.engine.damage(1)


@behave.when("a piece turns bad and its agent stands still before the order")
def step_bad_frozen(context):
    run_until(context, lambda: context.clock.seconds() > 5.0)
    context.engine.damage(1)
    context.clock.advance(STILL_S)


@behave.when("a piece turns bad while two orders get no answer")
def step_bad_lost(context):
    context.engine.lost_orders = 2
    context.engine.on_order = lambda: (
        context.engine.damage(1) if context.engine.lost_orders == 2 else None
    )


@behave.when("in the middle of a check the engine restarts empty")
def step_restart(context):
    # The agent notices the restart before the check ends.
    context.engine.answer_s = SLOW_ANSWER_S
    run_until(context, lambda: context.clock.seconds() > 5.0)
    context.engine.damage(0)
    context.agent.loading.restarted(context.clock.seconds())
    reads = context.engine.reads
    run_until(context, lambda: context.engine.reads == reads + 3)
    context.engine.restart_empty()


@behave.when("the manifest is replaced after the check")
def step_replaced(context):
    made, copy = context.agent, context.copy
    data = [bytes([number + 9]) * 1000 for number in range(4)]
    digests = [manifests.chunk_digest(each) for each in data]
    found = manifests.from_digests(MODEL, "2", 1000, digests).unwrap()
    context.engine.manifest = copy.received = found
    made._origin = Origin(data)
    made._import_finished(None, copy, found)


@behave.then("the engine has loaded version 2 from pieces that were intact 3 s before")
def step_sound(context):
    fake = context.engine
    run_until(context, lambda: fake.version == 2)
    assert fake.version == 2, context.agent.loading.phase
    damaged = {n: s for load in fake.loads for n, s in load.items() if s > EXCUSED_S}
    assert not damaged, damaged


# An order that waits, or that lies unread.


@behave.given("a model server whose connections open 2 s late")
def step_late_connections(context):
    context.reactor = testing.MemoryReactorClock()
    context.client = client.Client(context.reactor, "10.0.0.1:80")


@behave.when("its agent orders a load that must not be sent after 1.5 s")
def step_late_order(context):
    context.failures = []
    context.client.call(
        "POST", "/v1/order", body={}, timeout_s=5.0, not_after_s=1.5
    ).addErrback(lambda failure: context.failures.append(failure.value))
    factory = context.reactor.tcpClients[0][2]
    context.reactor.advance(2.0)
    protocol = factory.buildProtocol(None)
    context.transport = gateway_steps.Transport()
    protocol.makeConnection(context.transport)


@behave.then("the order is not sent, and the call says so")
def step_not_sent(context):
    assert context.transport.value() == b"", context.transport.value()
    assert [type(each) for each in context.failures] == [errors.Unavailable]


@behave.when("an order lies unread at an engine that stands still")
def step_unread(context):
    stand_still(context, is_damaged=False)


@behave.when("an order and a bad piece lie at an engine that stands still")
def step_unread_bad(context):
    stand_still(context, is_damaged=True)


def stand_still(context, is_damaged):
    """Let the engine stand still while the order lies unread in its socket."""
    fake = context.engine

    def begin():
        if is_damaged:
            fake.damage(1)
        fake.awake = defer.Deferred()
        context.clock.callLater(STILL_S, fake.awake.callback, None)

    fake.on_order = begin
    run_until(context, lambda: not fake.awake.called)
    fake.on_order = lambda: None
    context.reads = fake.reads


@behave.then("the agent reads the pieces again and takes the load for {verdict}")
def step_verdict(context, verdict):
    made, fake = context.agent, context.engine
    run_until(context, lambda: fake.version == 2)
    run_until(context, lambda: fake.reads >= context.reads + 4, 3.0)
    run_until(context, lambda: False, 0.1)
    assert fake.reads >= context.reads + 4, fake.reads
    assert made.loading.is_unverified == (verdict == "unsound"), verdict
