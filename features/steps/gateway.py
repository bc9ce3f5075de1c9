"""Steps for the gateway: clients and endpoints on transports in memory."""

import random
import re

import behave
from twisted.internet import error, testing
from twisted.python import failure

from cicadaplank.gateway import (
    admittance,
    calls,
    clients,
    endpoints,
    gateway,
    routes,
)
from cicadaplank.platform import headers
from cicadaplank.requests import verdicts

SERVICE = "drafts"
KEY = "key-1"
ATTEMPT = b"attempt-1"
BOUNDS = gateway.Bounds(0.2, 100, 10, 8.0)
TIMEOUT_S = 2.0
OBJECTIVE_S = 0.2
STEP_S = 0.05
# First byte of the kernel's TCP_INFO.
TCP_ESTABLISHED, TCP_CLOSE_WAIT = b"\x01", b"\x08"
KINDS = {
    "may repeat": (routes.RetryPolicy.IDEMPOTENT, False),
    "runs once only": (routes.RetryPolicy.NEVER, False),
    "streams and resumes": (routes.RetryPolicy.RESUMABLE, True),
    "streams once": (routes.RetryPolicy.NEVER, True),
}
BODY = b"the whole answer"


class Socket:
    """Stands for the socket below a transport, from which nothing can be read."""

    def setsockopt(self, *args):
        """Take any option."""

    def recv(self, size, flags):
        """Raise as a socket without waiting data does."""
        raise BlockingIOError

    def getsockopt(self, level, option, size):
        """Return the state of a connection that neither side has ended."""
        return TCP_ESTABLISHED


class Transport(testing.StringTransport):
    """Transport in memory that tells how it was closed."""

    aborted = False
    closed = False
    half_closed = False

    def getHandle(self):
        """Return a socket that takes any option."""
        return Socket()

    def setTcpNoDelay(self, enabled):
        """Take the option."""

    def loseConnection(self):
        """Note that the connection was closed."""
        self.closed = self.disconnecting = True

    def loseWriteConnection(self):
        """Note that the sending side was closed, by which the connection ends."""
        self.half_closed = self.disconnecting = True

    def abortConnection(self):
        """Note that the connection was broken off."""
        self.aborted = True
        self.disconnecting = True

    def take(self):
        """Return what was written since the last call."""
        data = self.value()
        self.clear()
        return data


class Reactor(testing.MemoryReactorClock):
    """Reactor in memory that takes calls of signal handlers."""

    def callFromThread(self, function, *args):
        """Call a function in the next turn of the event loop."""
        self.callLater(0, function, *args)


class Reporter:
    """Keeps what the gateway reports."""

    def __init__(self):
        self.events = []

    def unix_s(self):
        """Return a fixed time."""
        return 1_000_000.0

    def count(self, name, amount=1, **labels):
        """Keep a count."""
        self.events.append((name, labels))

    def event(self, event, level="info", bucket=None, **fields):
        """Keep an event."""
        self.events.append((event, fields))

    def state_event(self, event, level="info", **fields):
        """Keep an event."""
        self.events.append((event, fields))

    def turned_away(self, *args):
        """Keep a refusal."""
        self.events.append(("turned_away", args))

    def waiting(self, *args):
        """Keep a wait."""
        self.events.append(("waiting", args))

    def record_first_event(self, *args):
        """Keep a first event."""
        self.events.append(("first_event", args))

    def attempt_failed(self, *args):
        """Keep a failed attempt."""
        self.events.append(("attempt_failed", args))

    def ended(self, call, outcome, verdict, version):
        """Keep an end."""
        self.events.append(("ended", {"outcome": outcome, "verdict": verdict}))


class World:
    """A gateway with clients and endpoints that a scenario plays."""

    def __init__(self, count, kind):
        self.reactor = Reactor()
        self.reporter = Reporter()
        self.gateway = gateway.Gateway(
            self.reactor,
            headers.PlatformDialect(),
            "a",
            BOUNDS,
            random.Random(1),
            self.reporter,
        )
        self.gateway.is_current = lambda: True
        self.broadcasts = []
        self.gateway.broadcast = lambda message, exclude: self.broadcasts.append(
            message
        )
        retry_policy, streams = KINDS[kind]
        route = routes.Route(
            "r",
            "host.example",
            "/x/",
            retry_policy,
            streams,
            TIMEOUT_S,
            OBJECTIVE_S,
            1,
            (routes.Share(SERVICE, 1),),
            2 if retry_policy is not routes.RetryPolicy.NEVER else 1,
            False,
            False,
        )
        self.configuration = routes.Configuration(
            1,
            (route,),
            {SERVICE: routes.Service(SERVICE, 96, False, "")},
            routes.ClientLimits(1000, 2000, 3.0, 15.0),
            {KEY: routes.Account("account-1", None)},
        )
        self.gateway.set_configuration(self.configuration)
        listed = {
            name: endpoints.Endpoint(
                name, SERVICE, f"10.0.0.{n}", 80, "a", 1, False, {}
            )
            for n, name in enumerate("xyzuvw"[:count], 1)
        }
        self.listed = listed
        self.gateway.set_endpoints(listed, False)
        self.rejected = []
        self.listener = clients.Listener(
            self.reactor, self.gateway, lambda *args: self.rejected.append(args)
        )
        self.client = None
        self.client_transport = None
        self.dialled = 0
        self.sent = []
        self.connect()

    def connect(self):
        """Open a client connection."""
        self.client = self.listener.buildProtocol(None)
        self.client_transport = Transport()
        self.client.makeConnection(self.client_transport)

    def request(self, extra=b"", body=b"", path=b"/x/1", key=KEY):
        """Return the bytes of a call."""
        method = b"POST" if body else b"GET"
        head = b"%b %b HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: %b\r\n" % (
            method,
            path,
            ATTEMPT,
        )
        if key:
            head += b"Authorization: Bearer %b\r\n" % key.encode()
        if body:
            head += b"Content-Length: %d\r\n" % len(body)
        return head + extra + b"\r\n" + body

    def accept(self):
        """Let the endpoint of the newest dial take the connection.

        :returns: the protocol of the gateway's side and its transport.
        """
        assert self.has_dial, "no endpoint is dialled"
        host, port, factory, _, _ = self.reactor.tcpClients[self.dialled]
        self.dialled += 1
        protocol = factory.buildProtocol(None)
        transport = Transport()
        protocol.makeConnection(transport)
        self.sent.append((host, protocol, transport))
        return protocol, transport

    def accept_call(self):
        """Take connections until a call comes on one; others are looked at only."""
        while True:
            protocol, transport = self.accept()
            if transport.value():
                return protocol, transport

    def refuse_dial(self):
        """Let the newest dial fail."""
        _, _, factory, _, _ = self.reactor.tcpClients[self.dialled]
        self.dialled += 1
        factory.clientConnectionFailed(None, failure.Failure(error.TimeoutError()))

    @property
    def has_dial(self):
        """Whether a dial waits."""
        return len(self.reactor.tcpClients) > self.dialled

    def run(self, duration_s):
        """Let time pass; the gateway looks after its calls."""
        for _ in range(round(duration_s / STEP_S)):
            self.reactor.advance(STEP_S)
            self.gateway.check_timeouts()


def answer(status=200, body=BODY, signed=True, extra=b"", length=True, attempt=ATTEMPT):
    """Return the bytes of an endpoint's answer."""
    head = b"HTTP/1.1 %d Status\r\nX-Attempt-Id: %b\r\n" % (status, attempt)
    if signed:
        head += b"X-Server-Signature: s.1\r\n"
    if length:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + extra + b"\r\n" + body


def lose(protocol, reason):
    protocol.connectionLost(failure.Failure(reason))


def reset(protocol):
    lose(protocol, error.ConnectionLost())


def end(protocol):
    lose(protocol, error.ConnectionDone())


def unframed(protocol):
    protocol.dataReceived(answer(length=False))


def play(world, behaviour):
    """Let an endpoint that was sent a call behave as a scenario says."""
    protocol, _ = world.accept()
    if behaviour == "answers well":
        protocol.dataReceived(answer())
    elif behaviour == "answers without a length and ends":
        unframed(protocol)
        end(protocol)
    elif behaviour == "answers without a length and resets":
        unframed(protocol)
        reset(protocol)
    elif behaviour == "answers after a late foreign answer":
        protocol.dataReceived(answer(body=b"foreign", attempt=b"other") + answer())
    elif behaviour == "answers twice":
        protocol.dataReceived(answer() + answer(body=b"again"))
    elif behaviour == "answers and sends garbage with it":
        protocol.dataReceived(answer() + b"\x00\x01 garbage")
    elif behaviour == "answers twice and says that it closes":
        closing = answer(extra=b"Connection: close\r\n")
        protocol.dataReceived(closing + answer(body=b"again"))
    elif behaviour == "switches protocols":
        upgrade = b"Connection: upgrade\r\nUpgrade: other\r\n"
        protocol.dataReceived(answer(101, b"", length=False, extra=upgrade))
    elif behaviour == "refuses as full":
        protocol.dataReceived(
            answer(503, b"", signed=False, extra=b"X-Not-Executed: 1\r\n")
        )
    elif behaviour == "has another name":
        protocol.dataReceived(answer(421, b"", signed=False))
    elif behaviour == "resets before the answer":
        reset(protocol)
    elif behaviour in ("resets in the middle", "ends in the middle"):
        protocol.dataReceived(answer()[:-3])
        (reset if "resets" in behaviour else end)(protocol)
    elif behaviour == "answers without a signature":
        protocol.dataReceived(answer(signed=False))
    elif behaviour == "answers with an encoding":
        protocol.dataReceived(answer(extra=b"Content-Encoding: gzip\r\n"))
    elif behaviour == "answers what is not HTTP":
        protocol.dataReceived(b"\x00\x01\x02 garbage\r\n\r\n")
    elif behaviour == "answers busy without a promise":
        protocol.dataReceived(answer(503))
    elif behaviour == "answers 429 without a promise":
        protocol.dataReceived(answer(429))
    elif behaviour == "answers 404":
        protocol.dataReceived(answer(404))
    elif behaviour == "fails":
        protocol.dataReceived(answer(500))
    else:
        assert behaviour == "is silent", behaviour
        for _ in range(round((TIMEOUT_S + 0.2) / STEP_S)):
            if not world.has_dial:
                world.run(STEP_S)


def status_of(data):
    found = re.match(rb"HTTP/1.1 (\d+) ", data)
    return int(found.group(1)) if found else None


@behave.given("a gateway with {count:d} endpoints and a route that {kind}")
def step_world(context, count, kind):
    context.world = World(count, kind)


@behave.when("a caller sends a call and the first endpoint {behaviour}")
def step_call(context, behaviour):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    if behaviour == "takes no connection":
        context.first = world.reactor.tcpClients[0][0]
        world.refuse_dial()
        return
    play(world, behaviour)


@behave.when("any other endpoint answers well")
def step_other(context):
    world = context.world
    world.run(0.1)
    while world.has_dial:
        protocol, transport = world.accept()
        if transport.value():
            protocol.dataReceived(answer())
        world.run(0.1)


@behave.then("the caller gets {status:d} after {sends:d} sends")
def step_status(context, status, sends):
    context.got = context.world.client_transport.value()
    assert status_of(context.got) == status, context.got
    assert context.got.count(b"HTTP/1.1") == 1, context.got
    sent = [t for _, _, t in context.world.sent if t.value()]
    assert len(sent) == sends, len(sent)


@behave.then("the answer is {whole}")
def step_whole(context, whole):
    body = context.got.partition(b"\r\n\r\n")[2]
    assert (body == BODY) == (whole == "whole"), context.got
    if whole == "its own":
        assert b"X-Server-Signature" not in context.got
        promise = status_of(context.got) == 503
        assert (b"Retry-After" in context.got) == promise, context.got


@behave.then("the first endpoint is ejected")
def step_ejected(context):
    world = context.world
    state = next(
        s for s in world.gateway.endpoints.all() if s.endpoint.host == context.first
    )
    assert state.is_ejected(world.reactor.seconds() - 0.2)


@behave.when("any other endpoint answers well, and the first takes no connection")
def step_other_only(context):
    world = context.world
    context.first = world.sent[0][0]
    dials = world.reactor.tcpClients
    while world.has_dial:
        if dials[world.dialled][0] == context.first:
            world.refuse_dial()
        else:
            protocol, transport = world.accept()
            protocol.dataReceived(answer())
    assert status_of(world.client_transport.value()) == 200
    assert world.sent[-1][0] != context.first


def endpoints_of_calls(context, count):
    """Send calls and return the hosts that were sent one."""
    world = context.world
    hosts = set()
    for _ in range(count):
        world.client.dataReceived(world.request(body=b"call"))
        while world.has_dial:
            world.accept()
        host, protocol, _ = next(
            entry for entry in world.sent if entry[2].take().startswith(b"POST")
        )
        hosts.add(host)
        protocol.dataReceived(answer())
        world.reactor.advance(0.01)
    return hosts


@behave.then("further calls go to the other endpoint only")
def step_other_hosts(context):
    for _, _, transport in context.world.sent:
        transport.take()
    assert context.first not in endpoints_of_calls(context, 20)


@behave.when("the first endpoint takes connections again")
def step_takes_again(context):
    world = context.world
    world.run(1.5)
    assert world.has_dial, "nobody looked whether it can be reached"
    world.accept()


@behave.then("it may get calls")
def step_may_get(context):
    states = context.world.gateway.endpoints.all()
    state = next(s for s in states if s.endpoint.host == context.first)
    assert not state.is_ejected(context.world.reactor.seconds())


def event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head():
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: s.1\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ) % ATTEMPT


@behave.when("a caller sends a call and its stream breaks {moment}")
def step_stream_breaks(context, moment):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    protocol, transport = world.accept()
    transport.take()
    if moment != "before event 1":
        data = event(1) + event(2)
        protocol.dataReceived(stream_head() + chunk(data))
    if moment == "in the middle of event 3":
        protocol.dataReceived(chunk(event(3)[:9]))
    if moment.endswith("with a pause"):
        world.run(calls.STREAM_STALL_TIMEOUT_S + 0.2)
        assert not transport.aborted, "given up before another endpoint went on"
        context.stalled = transport
        return
    reset(protocol)
    world.run(0.1)


@behave.when("the other endpoint goes on from event {number:d}")
def step_goes_on(context, number):
    world = context.world
    protocol, transport = world.accept_call()
    context.second = transport.value()
    # The endpoint repeats the event before; it must not reach the caller twice.
    first = max(1, number - 1)
    data = b"".join(event(n) for n in range(first, 5))
    protocol.dataReceived(stream_head() + chunk(data) + b"0\r\n\r\n")
    if "stalled" in context:
        assert context.stalled.aborted, "the stalled endpoint still works"


@behave.then("the caller gets the events 1 to 4, each once, and a complete end")
def step_events(context):
    got = context.world.client_transport.value()
    assert [int(n) for n in re.findall(rb"id: (\d+)", got)] == [1, 2, 3, 4], got
    assert got.count(b"HTTP/1.1") == 1, got
    assert got.endswith(b"0\r\n\r\n"), got


@behave.then("the second send names event {last} as the last one")
def step_last(context, last):
    found = re.search(rb"(?i)last-event-id: (\d+)", context.second)
    assert (found.group(1).decode() if found else "none") == last, context.second


@behave.then("the caller's connection is broken off")
def step_broken(context):
    transport = context.world.client_transport
    assert transport.aborted
    assert not transport.value().endswith(b"0\r\n\r\n")


@behave.when("a caller leaves while the call is {phase}")
def step_leaves(context, phase):
    world = context.world
    if phase == "waiting":
        other = World.connect
        world.client.dataReceived(world.request(body=b"first"))
        world.accept()
        other(world)
    world.client.dataReceived(world.request(body=b"call"))
    if phase == "sent":
        world.accept()
    context.phase = phase
    lose(world.client, error.ConnectionDone())


@behave.then("no endpoint works for it and none is sent it later")
def step_no_work(context):
    world = context.world
    if context.phase == "sent":
        assert world.sent[0][2].aborted
    if context.phase == "waiting":
        world.sent[0][1].dataReceived(answer())
    if context.phase == "dialled":
        world.accept()
    world.run(0.5)
    assert not world.has_dial
    assert not any(b"call" in t.value() for _, _, t in world.sent[1:])
    if context.phase == "dialled":
        assert not world.sent[0][2].value()
    assert world.gateway.open_calls == 0


@behave.when("a caller sends {count:d} calls that are answered well")
def step_several(context, count):
    world = context.world
    for _ in range(count):
        world.client.dataReceived(world.request(body=b"call"))
        if world.has_dial:
            world.accept()
        world.sent[-1][1].dataReceived(answer())
        world.run(0.1)
    statuses = re.findall(rb"HTTP/1.1 (\d+)", world.client_transport.value())
    assert statuses == [b"200"] * count, statuses


@behave.then("{count:d} connection to the endpoint was opened")
@behave.then("{count:d} connections to the endpoint were opened")
def step_connections(context, count):
    assert context.world.dialled == count, context.world.dialled


@behave.then("the connection to the endpoint is closed")
def step_closed(context):
    assert context.world.sent[0][2].disconnecting


@behave.when("a caller sends a call and the process is stopped")
def step_stopped(context):
    world = context.world
    world.client.dataReceived(world.request(body=b"call"))
    world.accept()
    world.gateway.draining.stop_requested(world.reactor.seconds())
    world.listener.close_idle()


@behave.when("the endpoint answers 2 s later")
def step_late_answer(context):
    context.world.run(TIMEOUT_S - 0.5)
    context.world.sent[0][1].dataReceived(answer())


@behave.then("the caller gets 200 and the connection is closed")
def step_closed_after(context):
    transport = context.world.client_transport
    assert status_of(transport.value()) == 200, transport.value()
    assert b"Connection: close" in transport.value()
    assert transport.disconnecting


def bad_request(world, request):
    """Return the bytes of a request that cannot be served."""
    length = b"Content-Length: 4\r\n"
    whole = {
        "headers over the limit": world.request(b"A: " + b"x" * 1200 + b"\r\n"),
        "a body over the limit": world.request(body=b"x" * 3000),
        "two conflicting lengths": world.request(length + b"Content-Length: 5\r\n"),
        "a length and chunks": world.request(
            length + b"Transfer-Encoding: chunked\r\n"
        ),
        "two hosts": world.request(b"Host: other.example\r\n"),
        "no host": b"GET /x/1 HTTP/1.1\r\n\r\n",
        "a target that is no path": world.request(path=b"http://host.example/x/1"),
        "what is not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
        "headers that do not end in time": b"GET /x/1 HTTP/1.1\r\nHost: h",
        "an unknown key": world.request(key="other"),
        "an unknown key to an old copy": world.request(key="other"),
        "no key": world.request(key=""),
        "a path without a route": world.request(path=b"/y/1"),
        "a path without a route to an old copy": world.request(path=b"/y/1"),
    }
    return whole.get(request) or world.request(body=b"call")


@behave.when("a client sends its own tenant, instance, priority and path headers")
def step_own_headers(context):
    world = context.world
    own = b"X-Tenant: thief\r\nX-Expect-Instance: i-1\r\nX-Request-Priority: 0\r\n"
    world.client.dataReceived(world.request(own + b"Path: 10.0.0.9:80=0-4\r\n"))
    world.accept()


@behave.then(
    "the endpoint is sent the account of the key, its own name and no other of them"
)
def step_replaced(context):
    sent = context.world.sent[0][2].value()
    assert re.findall(rb"(?i)x-tenant: (.*)\r\n", sent) == [b"account-1"], sent
    assert re.findall(rb"(?i)x-expect-instance: (.*)\r\n", sent) == [b"x"], sent
    for name in (b"x-request-priority", b"\r\npath:", b"authorization", b"bearer"):
        assert name not in sent.lower(), sent


@behave.when("a client sends {request}")
def step_bad(context, request):
    world = context.world
    if request.endswith("to an old copy"):
        world.gateway.is_current = lambda: False
    if request.startswith("a call before"):
        world.gateway.route_index = None
    if request.startswith("a request that crashed"):
        for name in ("x", "y", "z"):
            world.gateway.suspects.record_crash(
                world.gateway._fingerprint(
                    calls.Request(
                        headers.PlatformDialect().read_request(
                            b"POST", b"/x/1", [(b"Host", b"host.example")]
                        ),
                        b"call",
                        0.0,
                        0.0,
                    ),
                    admittance.Admitted(
                        1,
                        world.configuration.routes[0],
                        routes.Account("account-1", None),
                    ),
                ),
                name,
                world.reporter.unix_s(),
            )
    data = bad_request(world, request)
    for start in range(0, len(data), 400):
        if not world.client_transport.disconnecting:
            world.client.dataReceived(data[start : start + 400])
    if request.endswith("in time"):
        world.run(4.0)


@behave.then("the client gets {status:d}")
def step_client_gets(context, status):
    got = context.world.client_transport.value()
    assert status_of(got) == status, got
    assert got.count(b"HTTP/1.1") == 1, got


@behave.then("no endpoint was sent anything")
def step_nothing_sent(context):
    assert not context.world.reactor.tcpClients
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    assert all(f.get("verdict") is not verdict for _, f in ended(context.world))


def ended(world):
    return [entry for entry in world.reporter.events if entry[0] == "ended"]
