"""Steps for requests during the planned stop of an entry process."""

import dataclasses
import re
import types

import behave
from twisted.internet import error

from cicadaplank.gateway import process, routes
from cicadaplank.members import draining
from cicadaplank.platform import headers
from cicadaplank.requests import answer_times
from features.steps import gateway as gateway_steps
from features.steps import gateway_stop

GRACE_S = 8.0
# A refusal in the first half of the grace period leaves the time for another instance.
LATEST_REFUSAL_S = GRACE_S / 2
# A refusal in the first half of the grace period leaves the time for another instance.
LATEST_REFUSAL_S = GRACE_S / 2
PART_BYTES = 20


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
        super().loseConnection()
        self._end_when_read()

    def loseWriteConnection(self):
        """Let the client close when it has read all that was written."""
        super().loseWriteConnection()
        self._end_when_read()

    def _end_when_read(self):
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

    @property
    def has_call(self):
        """Whether an endpoint is dialled or has been sent a call."""
        return self.has_dial or any(t.value() for _, _, t in self.sent)

    def take_call(self):
        """Return host, protocol and transport of a new call, None if none is sent."""
        if self.has_dial:
            self.accept()
        return next((each for each in self.sent if each[2].take()), None)

    def work(self, work_s):
        """Let the endpoint work on the newest call for a time, then answer."""
        sent = self.take_call()
        if sent is None:
            return
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


@behave.when(
    "it is stopped, and a request on an open connection is whole {whole_s:g} s later"
)
def step_whole(context, whole_s):
    world = context.world
    data = world.request(body=b"call")
    world.stop()
    world.run_until(min(whole_s, 2.9))
    world.client.dataReceived(data[:PART_BYTES])
    world.run_until(whole_s)
    context.asked_s = world.since_stop_s
    world.client.dataReceived(data[PART_BYTES:])
    context.answered_s = None
    if world.client_transport.value():
        context.answered_s = world.since_stop_s


@behave.when("the endpoint takes its time and the grace period passes")
def step_grace(context):
    world = context.world
    if world.has_call and "call_transport" not in context:
        world.work(context.work_s)
    world.run_until(GRACE_S)
    assert world.reactor.hasStopped, "the process has not ended by itself"


@behave.then("the late caller gets {outcome}")
def step_outcome(context, outcome):
    world = context.world
    transport = world.client_transport
    if "call_transport" in context:
        transport = context.call_transport
    got = transport.value()
    status = gateway_steps.status_of(got)
    if outcome == "the answer":
        assert status == 200 and got.endswith(gateway_steps.BODY), got
    elif outcome == "the stream":
        assert status == 200 and got.endswith(b"0\r\n\r\n"), got
        assert not transport.aborted
    elif outcome == "503 at once":
        assert_refused(got)
        assert context.answered_s == context.asked_s, context.answered_s
        refused = world.process.gateway.draining.counts["refused_leaving"]
        assert refused == 1, refused
        world.gateway.update_metrics(world.process.metrics)
        page = world.process.metrics.render()[0].decode()
        assert re.search(
            rf"stop_decisions{{[^}}]*refused_leaving[^}}]*}} {refused}", page
        )
        assert not world.has_call, "the request was sent"
    else:
        assert outcome == "503 before it is too late for others", outcome
        assert_refused(got)
        assert transport.ended_s <= context.latest_s, transport.ended_s
    assert got.count(b"HTTP/1.1") == 1, got
    assert world.listener.open_count == 0


def assert_refused(got):
    """Check for a refusal that sends the client to another instance."""
    assert gateway_steps.status_of(got) == 503, got
    assert b"not run" in got, got
    assert b"Connection: close" in got, got
    after_s = float(re.search(rb"Retry-After: ([0-9.]+)", got).group(1))
    assert after_s <= 0.5, after_s


@behave.when("it is stopped while a request {situation}")
def step_unsent(context, situation):
    world = context.world
    context.latest_s = LATEST_REFUSAL_S
    if situation == "is being dialled":
        world.send()
        context.call_transport = world.client_transport
        assert world.has_dial
        world.stop()
        world.run_until(4.5)
    elif situation.startswith("is refused as full by one endpoint at 4.5 s"):
        context.latest_s = 4.6
        world.send()
        context.call_transport = world.client_transport
        _, endpoint, _ = world.take_call()
        world.stop()
        if situation.endswith("while another is dialled"):
            world.gateway.set_endpoints(world.listed, False)
            world.run_until(4.5)
            assert world.has_dial
        world.run_until(4.5)
        world.gateway.set_endpoints(world.listed, False)
        refusal = gateway_steps.answer(503, b"", False, b"X-Not-Executed: 1\r\n")
        endpoint.dataReceived(refusal)
    else:
        world.send()
        running = world.take_call()
        world.begin(running)
        world.connect()
        world.send()
        context.call_transport = world.client_transport
        if situation == "comes while another has waited for 2 s":
            context.latest_s = 1.1
            world.run(1.0)
            world.connect()
            world.stop()
            world.run_until(1.0)
            world.send()
            context.call_transport = world.client_transport
        else:
            assert situation == "waits for an endpoint", situation
            world.stop()
        assert not world.has_call
        world.run_until(4.5)
        world.answer(running)
    if world.has_call:
        world.work(context.work_s)


@behave.when("it is stopped, and a slow client has {answer} unread until {read_s:g} s")
def step_slow(context, answer, read_s):
    world = context.world
    world.send()
    sent = world.take_call()
    context.read_s = read_s
    context.transport = transport = world.client_transport
    transport.is_slow = True
    world.stop()
    world.run_until(5.0)
    if answer == "an answer from 5.0 s":
        world.answer(sent)
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
    sent = world.take_call()
    world.stop()
    world.run_until(from_s)
    # Timers run before the sockets are read.
    world.reactor.advance(until_s - from_s)
    world.gateway.check_timeouts()
    world.answer(sent)


@behave.when(
    "it is stopped with a request in progress, and frozen from {from_s:g} s to"
    " {until_s:g} s without an answer"
)
def step_frozen_unanswered(context, from_s, until_s):
    world = context.world
    world.send()
    world.take_call()
    world.stop()
    world.run_until(from_s)
    world.reactor.advance(until_s - from_s)


@behave.then(
    "the caller is told that its call may have run, in a turn before the process ends"
)
def step_told_before_end(context):
    world = context.world
    while not (got := world.client_transport.value()):
        assert not world.reactor.hasStopped
        world.reactor.advance(0.1)
    assert gateway_steps.status_of(got) == 502, got
    assert not world.reactor.hasStopped, "the answer is not sent"
    world.reactor.advance(0.2)
    assert world.reactor.hasStopped


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


@behave.given("a service that gave whole answers in {times}")
def step_answers(context, times):
    context.longest = answer_times.LongestAnswer()
    for duration_s, at_s in re.findall(r"([0-9.]+) s at ([0-9.]+) s", times):
        context.longest.record(float(duration_s), float(at_s))


@behave.then(
    "a call with a limit of {limit_s:g} s may take {needed_s:g} s at {now_s:g} s"
)
def step_needed(context, limit_s, needed_s, now_s):
    assert context.longest.needed_s(limit_s, now_s) == needed_s


@behave.when("a stop leaves {left_s:d} s for a call of 2 s whose connection opens then")
def step_opens_late(context, left_s):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    stop = world.gateway.draining
    stop.set_limits(draining.StopLimits(float(left_s), takes_work=True))
    stop.stop_requested(world.reactor.seconds())
    _, context.transport = world.accept()


@behave.then("the caller is refused and the connection is closed")
def step_refused_late(context):
    world = context.world
    assert gateway_steps.status_of(world.client_transport.value()) == 503
    assert not context.transport.value()
    assert context.transport.disconnecting
    assert world.gateway.open_calls == 0 and not world.gateway.loads()


@behave.then("no unexpected error was counted")
def step_no_error(context):
    errors = [e for e in context.world.reporter.events if e[0] == "unexpected_error"]
    assert not errors, errors
