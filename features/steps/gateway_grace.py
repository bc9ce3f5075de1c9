"""Steps for requests during the planned stop of an entry process."""

import dataclasses
import types

import behave
from twisted.internet import error

from cicadaplank.gateway import process, routes
from cicadaplank.platform import headers
from features.steps import gateway as gateway_steps
from features.steps import gateway_stop

GRACE_S = 8.0


class ClientTransport(gateway_steps.Transport):
    """Connection of a client that ends once everything written has been read.

    :ivar is_slow: whether the client reads nothing for now.
    """

    is_slow = False

    def __init__(self, world):
        super().__init__()
        self._world = world
        self.protocol = None
        self.ended_s = None

    def write(self, data):
        """Keep data that is written before the connection is closed."""
        assert not self.disconnecting, data
        super().write(data)

    def loseConnection(self):
        """Close the connection when the client has read all that was written."""
        self.disconnecting = True
        if not self.is_slow:
            self._world.reactor.callLater(0, self.end, error.ConnectionDone())

    def abortConnection(self):
        """Reset the connection."""
        super().abortConnection()
        self._world.reactor.callLater(0, self.end, error.ConnectionLost())

    def read_all(self):
        """Let the client read all that was written."""
        self.is_slow = False
        if self.disconnecting:
            self.end(error.ConnectionDone())

    def end(self, reason):
        """End the connection once."""
        if self.ended_s is None:
            self.ended_s = self._world.since_stop_s
            gateway_steps.lose(self.protocol, reason)


class World(gateway_steps.World):
    """An entry process with clients and endpoints that a scenario plays."""

    def __init__(self, kind, limit_s, count=1):
        super().__init__(count, kind)
        address = process.Address("127.0.0.1", 1)
        settings = process.Settings(
            name="edge-1",
            region="r",
            data_centre="a",
            front=address,
            ready=address,
            ready_path="/ready",
            peer=address,
            metrics=address,
            seeds=(),
            bounds=gateway_steps.BOUNDS,
            grace_s=GRACE_S,
        )
        meaning = types.SimpleNamespace(operator_table="op", endpoint_table="servers")
        self.process = process.EntryProcess(
            self.reactor,
            settings,
            None,
            meaning,
            None,
            headers.PlatformDialect(),
            None,
        )
        self.port = self.process._front = gateway_stop.Port()
        self.gateway = self.process.gateway
        self.gateway.stop_reason = lambda: ""
        self.gateway.is_current = lambda: True
        self.stopped_s = None
        (route,) = self.configuration.routes
        route = dataclasses.replace(route, timeout_s=limit_s)
        self.configuration = dataclasses.replace(
            self.configuration,
            routes=(route,),
            limits=routes.ClientLimits(1000, 2000, 10.0, 60.0),
        )
        self.gateway.set_configuration(self.configuration)
        self.gateway.set_endpoints(self.listed, False)
        self.listener = self.process.listener
        self.is_stream = route.is_stream
        self.connect()

    def connect(self):
        """Open a client connection."""
        self.client = self.listener.buildProtocol(None)
        self.client_transport = ClientTransport(self)
        self.client_transport.protocol = self.client
        self.client.makeConnection(self.client_transport)

    @property
    def since_stop_s(self):
        """Seconds since the stop signal."""
        return self.reactor.seconds() - self.stopped_s

    def stop(self):
        """Send the stop signal."""
        self.stopped_s = self.reactor.seconds()
        self.process.stop()

    def run_until(self, since_stop_s):
        """Let time pass until a time after the stop signal or the process has ended."""
        while self.since_stop_s < since_stop_s - 1e-6 and not self.reactor.hasStopped:
            self.run(gateway_steps.STEP_S)

    def send(self):
        """Send a whole request on the newest connection."""
        self.client.dataReceived(self.request(body=b"call"))

    def answer(self, sent):
        """Let an endpoint answer a call as a whole, or all but the end of a stream."""
        _, protocol, transport = sent
        if transport.aborted:
            return
        if self.is_stream:
            protocol.dataReceived(gateway_steps.chunk(gateway_steps.event(2)))
            protocol.dataReceived(b"0\r\n\r\n")
        else:
            protocol.dataReceived(gateway_steps.answer())

    def begin(self, sent):
        """Let an endpoint begin the answer of a stream."""
        if self.is_stream:
            data = gateway_steps.chunk(gateway_steps.event(1))
            sent[1].dataReceived(gateway_steps.stream_head() + data)

    def work(self, work_s, until_s=None):
        """Let the endpoint work on the newest call for a time, then answer."""
        self.accept()
        sent = self.sent[-1]
        self.begin(sent)
        steps = round(work_s / gateway_steps.STEP_S)
        for _ in range(steps):
            if not self.reactor.hasStopped:
                self.run(gateway_steps.STEP_S)
            if self.is_stream:
                sent[1].dataReceived(gateway_steps.chunk(b": wait\n\n"))
        if not self.reactor.hasStopped:
            self.answer(sent)


@behave.given("an entry process that is killed 8 s after its stop signal")
def step_process(context):
    assert GRACE_S == 8.0


@behave.given(
    "a route that {kind}, with a limit of {limit_s:g} s and work of {work_s:g} s that"
    " is {known}"
)
def step_route(context, kind, limit_s, work_s, known):
    context.work_s = work_s
    context.world = world = World(kind, limit_s, 2)
    world.gateway.set_endpoints({"x": world.listed["x"]}, False)
    if known == "known":
        world.send()
        world.work(work_s)
        assert b"200" in world.client_transport.value()
        world.connect()


@behave.when("it is stopped, and a slow client has {answer} unread until {read_s:g} s")
def step_slow(context, answer, read_s):
    world = context.world
    world.send()
    world.accept()
    context.read_s = read_s
    context.transport = transport = world.client_transport
    transport.is_slow = True
    world.stop()
    world.run_until(5.0)
    if answer == "an answer from 5.0 s":
        world.answer(world.sent[-1])
    else:
        assert answer == "a failure at the end", answer
    world.run_until(read_s)
    context.had_stopped = world.reactor.hasStopped
    if not context.had_stopped:
        transport.read_all()
    world.run_until(GRACE_S)
    context.ended_s = world.since_stop_s


@behave.then("the process ends after its client has read it, within the grace period")
def step_flushed(context):
    assert not context.had_stopped, "the process ended before its client had read all"
    assert context.transport.ended_s is not None
    assert context.world.reactor.hasStopped
    assert context.ended_s < GRACE_S, context.ended_s


@behave.then("the process ends by itself within the grace period")
def step_ends(context):
    assert context.world.reactor.hasStopped
    assert 7.6 < context.ended_s < GRACE_S, context.ended_s


@behave.when(
    "it is stopped with a request in progress, and frozen from {from_s:g} s to"
    " {until_s:g} s"
)
def step_frozen(context, from_s, until_s):
    world = context.world
    world.send()
    world.accept()
    world.stop()
    world.run_until(from_s)
    # Timers run before the sockets are read.
    world.reactor.advance(until_s - from_s)
    world.gateway.check_timeouts()
    world.answer(world.sent[-1])


@behave.then(
    "the answer that came meanwhile reaches its caller within the grace period"
)
def step_ready_answer(context):
    world = context.world
    world.run_until(GRACE_S)
    got = world.client_transport.value()
    assert gateway_steps.status_of(got) == 200, got
    assert world.client_transport.ended_s < GRACE_S
    assert world.reactor.hasStopped
