"""Steps for errors of the gateway itself while it handles a request."""

import dataclasses
import re

import behave
from twisted import logger
from twisted.internet import error

from cicadaplank.gateway import endpoints, waiting
from features.steps import gateway as gateway_steps
from features.steps import gateway_silences

OWN, OTHER = b"attempt-1", b"attempt-2"
SECOND_EVENT = b"id: 2\n"


class InjectedError(Exception):
    """Error that a scenario raises inside the gateway."""


def fail(owner, name, when=lambda *args: True):
    """Let one call of a method raise, the first for which a condition holds."""
    method = getattr(owner, name)
    left = [1]

    def failing(*args, **kwargs):
        if left and when(*args):
            left.clear()
            raise InjectedError(name)
        return method(*args, **kwargs)

    setattr(owner, name, failing)


def is_own(call, *args):
    return call.name == OWN.decode()


def inject(world, fault):
    """Prepare the error of a scenario."""
    gateway, reporter = world.gateway, world.reporter
    answer_time = gateway.answer_times[gateway_steps.SERVICE]
    targets = {
        "the check of its prompt": (gateway.crash_causes, "blocked_for_s"),
        "the report of a refusal": (reporter, "turned_away"),
        "the report of a wait": (reporter, "waiting"),
        "the report of the first event": (reporter, "record_first_event"),
        "the report of its end": (reporter, "ended", is_own),
        "the report of its failure": (reporter, "attempt_failed", is_own),
        "the report of a dead endpoint": (reporter, "event"),
        "the retry time": (
            gateway._random,
            "uniform",
            lambda *limits: limits == waiting.RETRY_JITTER,
        ),
        "the head for its endpoint": (
            gateway.dialect,
            "write_request",
            lambda head, *args: head.attempt == OWN,
        ),
        "the head for its client": (
            gateway.dialect,
            "write_response",
            lambda head, *args: head.attempt == OWN,
        ),
        "the head of its request": (gateway.dialect, "read_request"),
        "the head of its answer": (gateway.dialect, "read_response"),
        "the average of answer times": (answer_time, "record_answer"),
        "the buffer of its answer": (gateway.buffers, "set_held"),
        "the check of the copy's age": (
            gateway,
            "stop_reason",
            lambda: gateway.configuration_version == 2,
        ),
        "the report of crashes": (gateway.crash_causes, "tick"),
    }
    if fault != "a route without services":
        fail(*targets[fault])
        return
    (route,) = world.configuration.routes
    empty = dataclasses.replace(route, prefix="/x/1", shares=())
    world.gateway.set_configuration(
        dataclasses.replace(world.configuration, routes=(route, empty))
    )


def open_client(context, attempt, **fields):
    """Send a call on a connection of its own."""
    world = context.world
    world.connect()
    context.clients[attempt] = world.client
    data = world.request(**fields).replace(gateway_steps.ATTEMPT, attempt)
    feed(world.client, data)


def apply(function, *args):
    """Apply a change; one that fails is repeated, as by ``GuardedCalls``."""
    try:
        function(*args)
    except InjectedError:
        function(*args)


def feed(protocol, data):
    """Deliver bytes; an error closes the connection, as Twisted does."""
    try:
        protocol.dataReceived(data)
    except (InjectedError, IndexError):
        gateway_steps.lose(protocol, error.ConnectionLost())


def run(world, duration_s):
    """Let time pass; an error ends a turn of a timer, as in Twisted."""
    for _ in range(round(duration_s / gateway_steps.STEP_S)):
        for function in (
            lambda: world.reactor.advance(gateway_steps.STEP_S),
            world.gateway.check_timeouts,
        ):
            try:
                function()
            except InjectedError:
                pass


def serve(context, behaviours=None, duration_s=0.5):
    """Let endpoints take connections and answer what they are sent."""
    world = context.world
    for _ in range(round(duration_s / gateway_steps.STEP_S)):
        while world.has_dial:
            try:
                world.accept()
            except InjectedError:
                pass
        for _, protocol, transport in list(world.sent):
            found = re.search(rb"(?i)x-attempt-id: (\S+)\r\n", transport.take())
            if found and not transport.disconnecting:
                behaviour = (behaviours or {}).get(found.group(1), answer_well)
                behaviour(context, protocol, found.group(1))
        run(world, gateway_steps.STEP_S)


def answer_well(context, protocol, attempt):
    data = gateway_steps.answer(attempt=attempt)
    if context.world.configuration.routes[0].is_stream:
        events = gateway_steps.event(1) + SECOND_EVENT + b"data: x\n\n"
        data = gateway_steps.stream_head() + gateway_steps.chunk(events) + b"0\r\n\r\n"
        data = data.replace(gateway_steps.ATTEMPT, attempt)
    feed(protocol, data)


def break_off(context, protocol, attempt):
    data = gateway_steps.answer(attempt=attempt)[:-3]
    if context.world.configuration.routes[0].is_stream:
        data = gateway_steps.stream_head() + gateway_steps.chunk(gateway_steps.event(1))
    feed(protocol, data)
    try:
        gateway_steps.reset(protocol)
    except InjectedError:
        pass


def stay_silent(context, protocol, attempt):
    """Answer nothing."""


def play(context, situation):
    """Play the calls of two callers; the first one's call meets the error."""
    world = context.world
    is_held = situation.startswith("waits")
    if is_held:
        open_client(context, b"attempt-0")
        serve(context, {b"attempt-0": stay_silent}, 0.1)
    if situation == "is not known":
        open_client(context, OWN, path=b"/x/1", key="unknown")
    elif situation == "meets no endpoint":
        apply(world.gateway.set_endpoints, {}, False)
        open_client(context, OWN)
        apply(world.gateway.set_endpoints, world.listed, False)
    else:
        open_client(context, OWN)
    open_client(context, OTHER, path=b"/x/2")
    silent = {OWN: stay_silent, OTHER: stay_silent}
    if situation == "breaks":
        serve(context, {OWN: break_off})
    elif situation in ("stays without an answer", "waits without an answer"):
        serve(context, silent, gateway_steps.TIMEOUT_S + 0.3)
    elif situation == "is at an endpoint at the end of a stop":
        serve(context, silent, 0.1)
        try:
            for call in list(world.gateway._calls):
                world.gateway.abort(call)
        except InjectedError:
            pass
    elif situation == "is left by its client":
        serve(context, silent, 0.1)
        try:
            gateway_steps.lose(context.clients[OWN], error.ConnectionDone())
        except InjectedError:
            pass
        closed = [t for _, _, t in world.sent if t.disconnecting]
        context.left = closed[0] if len(closed) == 1 else None
        for _, protocol, transport in world.sent:
            if not transport.disconnecting:
                answer_well(context, protocol, OTHER)
    elif situation == "waits beside a change":
        change(context)
    elif situation == "waits while endpoints come":
        add_endpoints(context)
    if is_held and "without" not in situation and world.sent:
        answer_well(context, world.sent[0][1], b"attempt-0")
    serve(context)


def change(context):
    """Put a newer configuration in force that allows the same."""
    world = context.world
    newer = dataclasses.replace(world.configuration, version=2)
    apply(world.gateway.set_configuration, newer)


def add_endpoints(context):
    """List two more endpoints, and one fewer."""
    world = context.world
    listed = {
        name: endpoints.Endpoint(
            name, gateway_steps.SERVICE, f"10.0.1.{n}", 80, "a", 1, False, {}
        )
        for n, name in enumerate(["u", "v"], 1)
    }
    gone = endpoints.Endpoint("w", "gone", "10.0.1.9", 80, "a", 1, False, {})
    for more in (listed, listed | {"w": gone}, listed):
        apply(world.gateway.set_endpoints, world.listed | more, False)


@behave.given("one endpoint and a route with {timeout_s:d} s that {kind}")
def step_world(context, timeout_s, kind):
    world = context.world = gateway_steps.World(1, kind)
    world.configuration = gateway_silences.changed(world, timeout_s=float(timeout_s))
    world.gateway.set_configuration(world.configuration)


@behave.given("an observer of the errors that Twisted logs")
def step_observer(context):
    context.failures = []

    def observe(event):
        if event.get("log_failure") is not None:
            context.failures.append(event)

    logger.globalLogPublisher.addObserver(observe)
    context.cleanups.append(lambda: logger.globalLogPublisher.removeObserver(observe))


@behave.when("an error in {fault} meets a call that {situation}")
def step_error(context, fault, situation):
    context.clients = {}
    inject(context.world, fault)
    play(context, situation)


def end_of(context, attempt):
    """Return how a call ended for its client: a status, or what became of it."""
    client = context.clients[attempt]
    got = client.transport.value()
    if client.transport.aborted:
        return "a reset"
    assert got.count(b"HTTP/1.1 ") <= 1, got
    if got.startswith(b"HTTP/1.1 503"):
        assert b"Retry-After" in got, got
    return str(gateway_steps.status_of(got) or "nothing")


@behave.then("its client gets {end}, and the other one's gets {other}")
def step_ends(context, end, other):
    got = end_of(context, OWN), end_of(context, OTHER)
    assert got == (end, other), got


@behave.then("one of the two clients gets {end}, and the other one {other}")
def step_either(context, end, other):
    got = {end_of(context, OWN), end_of(context, OTHER)}
    assert got == {end, other}, got


@behave.then("no endpoint works for it, and the other one's client gets {other}")
def step_left(context, other):
    assert context.left is not None and context.left.aborted
    assert end_of(context, OTHER) == other, end_of(context, OTHER)


@behave.then("the error is counted and logged")
def step_logged(context):
    events = context.world.reporter.events
    assert ("unexpected_errors", {}) in events, [name for name, _ in events]
    (line,) = (fields for name, fields in events if name == "unexpected_error")
    assert "InjectedError" in line["detail"] or "IndexError" in line["detail"], line
    context.line = line


@behave.then("Twisted has logged the error")
def step_twisted_logged(context):
    (event,) = context.failures
    assert event["log_level"] is logger.LogLevel.critical, event
    assert event["log_failure"].check(InjectedError), event


@behave.then("the log names the call")
def step_named(context):
    assert context.line["request"] == OWN.decode(), context.line


@behave.then("no call and no slot is in use")
def step_nothing_left(context):
    gateway = context.world.gateway
    assert gateway.open_calls == 0, gateway.open_calls
    assert not gateway.loads(), gateway.loads()
    assert all(not len(queue) for queue in gateway._queues.values())


class Countdown:
    """Lets one of the calls of several methods raise.

    :param index: number of the call that raises.
    :ivar count: number of calls so far.
    """

    def __init__(self, index):
        self.index = index
        self.count = 0
        self.failed = ""

    def watch(self, owner, *names):
        """Count the calls of some methods of an object."""
        for name in names:
            setattr(owner, name, self._counted(getattr(owner, name), name))

    def _counted(self, method, name):
        def counted(*args, **kwargs):
            self.count += 1
            if self.count == self.index:
                self.failed = name
                raise InjectedError(name)
            return method(*args, **kwargs)

        return counted

    def watch_all(self, world):
        """Count the calls of what the gateway uses."""
        gateway = world.gateway
        self.watch(world.reporter, "count", "event", "state_event", "waiting")
        self.watch(world.reporter, "ended", "attempt_failed", "record_first_event")
        self.watch(world.reporter, "turned_away", "unix_s")
        self.watch(gateway.dialect, "read_request", "write_request", "read_response")
        self.watch(gateway.dialect, "write_response", "write_refusal")
        self.watch(gateway.crash_causes, "blocked_for_s", "tick")
        self.watch(gateway.suspects, "record_crash", "blocked_for_s")
        self.watch(gateway._random, "uniform")
        self.watch(gateway.buffers, "set_held", "release")
        self.watch(gateway.answer_times[gateway_steps.SERVICE], "record_answer")
        self.watch(gateway, "stop_reason", "is_current", "broadcast")
        self.watch(gateway.endpoints, "of_service", "may_eject")
        for state in gateway.endpoints.all():
            self.watch(state, "record_answer", "record_failure")


def play_countdown(context, situation, index):
    """Play two calls while one call of the gateway's raises.

    :returns: the :class:`Countdown`.
    """
    world = context.world
    context.clients = {}
    countdown = Countdown(index)
    countdown.watch_all(world)
    play(context, situation)
    run(world, 0.5)
    return countdown


def dangling(world):
    """Return the connections to endpoints that are neither idle nor closed."""
    idle = [c for pool in world.gateway._pools.values() for c in pool._idle]
    return [
        transport
        for _, protocol, transport in world.sent
        if protocol not in idle and not protocol.is_broken
    ]


@behave.then(
    "each of two calls that are {situation} on a route that {kind} has its end"
)
def step_each_ends(context, situation, kind):
    situation = {
        "served": "is served",
        "broken": "breaks",
        "refused": "meets no endpoint",
        "silent": "stays without an answer",
        "stopped": "is at an endpoint at the end of a stop",
        "left": "is left by its client",
        "queued": "waits beside a change",
    }[situation]
    context.errors = 0
    index, countdown = 0, None
    while countdown is None or countdown.failed:
        index += 1
        count = 1 if situation.startswith("waits") else 2
        world = context.world = gateway_steps.World(count, kind)
        world.configuration = gateway_silences.changed(world, timeout_s=6.0)
        if situation != "stays without an answer":
            world.gateway.set_configuration(world.configuration)
        countdown = play_countdown(context, situation, index)
        case = situation, index, countdown.failed
        ends = {}
        for attempt in context.clients:
            if attempt != OWN or situation != "is left by its client":
                ends[attempt] = end_of(context, attempt)
        assert "nothing" not in ends.values(), (case, ends)
        if situation == "is served":
            assert "200" in ends.values(), (case, ends)
        step_nothing_left(context)
        assert not dangling(world), case
        context.errors += bool(countdown.failed)
    assert context.errors > 20, context.errors
