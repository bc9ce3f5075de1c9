"""Generated plays of a gateway: clients, endpoints and changes that overlap.

A :class:`Plan` is data and prints as Python code, so that a failing one can be kept as
a case. :class:`Play` drives the gateway through it with transports in memory and checks
what clients and endpoints have seen.
"""

import collections
import dataclasses
import random
import re

from twisted.internet import error, testing
from twisted.python import failure

from cicadaplank.gateway import clients, endpoints, gateway, process, routes
from cicadaplank.members import draining
from cicadaplank.platform import headers
from features.steps import gateway as gateway_steps

TICK_S = 0.05
TIMEOUT_S = 6.0
SHORT_TIMEOUT_S = 0.5
SHORT_IDLE_S = 0.3
# An answer may come this long after its deadline; the platform's rules allow it.
SLACK_S = 0.5
# An endpoint whose work is no longer needed is told within this time.
CANCEL_S = 0.15
GRACE_S = 8.0
STOP_LIMITS = process.stop_limits(GRACE_S)
LATE_DIAL_S = 0.15
DIAL_S = 0.01
# Time from the end of a process until its record is replaced.
RECORD_S = 0.3
EVENTS = 4
SERVICE = "drafts"
OTHER_SERVICE = "other"
KEYS = ("key-1", "key-2")
UNSOUND = ("mute", "resets", "cuts", "fails")
SOUND = ("answers", "refuses", "misdirects")
POLICIES = {
    "free": (routes.RetryPolicy.IDEMPOTENT, False),
    "once": (routes.RetryPolicy.NEVER, False),
    "resumed": (routes.RetryPolicy.RESUMABLE, True),
    "streamed": (routes.RetryPolicy.NEVER, True),
}
ROUTE_CHANGES = (
    "drop the route",
    "other service",
    "other weights",
    "never repeat",
    "short time-out",
)
TABLE_CHANGES = ("same", "short idle time-out", "drop the keys", "other accounts")
ENDPOINT_CHANGES = (
    "leave",
    "drain",
    "replace",
    "full",
    "no dial",
    "late dial",
    "refuse dial",
)
CLIENT_CHANGES = ("slow client", "client leaves")


@dataclasses.dataclass(frozen=True)
class Run:
    """How an endpoint handles a request that it is sent.

    :param behaviour: one of :data:`SOUND` or :data:`UNSOUND`.
    :param framing: ``length``, ``chunks`` or ``close``.
    :param pauses: tuple of ``(place, seconds)``; see :data:`PLACES`.
    :param repeats_last: whether the rest of a stream begins with the event that the
        client has.
    """

    behaviour: str = "answers"
    framing: str = "chunks"
    pauses: tuple = ()
    repeats_last: bool = False


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request of a client.

    :param at_s: time in seconds at which it is sent.
    :param client: number of the client, which has one connection at a time.
    :param route: one of :data:`POLICIES`.
    :param method: ``GET``, ``POST`` or ``HEAD``.
    :param version: ``1.1`` or ``1.0``.
    :param wait_s: seconds that the client waits, None when it does not say.
    :param split_s: seconds between its first half and the rest.
    :param runs: tuple of :class:`Run`, one for each endpoint that it reaches; the last
        one for further ones too.
    """

    at_s: float
    client: int
    route: str
    method: str = "GET"
    version: str = "1.1"
    wait_s: float | None = None
    split_s: float = 0.0
    runs: tuple = (Run(),)


@dataclasses.dataclass(frozen=True)
class Change:
    """One change; the same one once more takes it back.

    :param at_s: time in seconds.
    :param what: a member of one of the tables of changes, or ``stop``.
    :param subject: name of the route, or number of the endpoint or client.
    """

    at_s: float
    what: str
    subject: object = None


@dataclasses.dataclass(frozen=True)
class Plan:
    """A whole play.

    :param endpoints: number of endpoints of the service.
    :param slots: slots of each.
    :param allowance: retries that are allowed beside the share of requests.
    :param asked: tuple of :class:`Asked`.
    :param changes: tuple of :class:`Change`.
    """

    endpoints: int
    slots: int
    allowance: int
    asked: tuple
    changes: tuple = ()


@dataclasses.dataclass(frozen=True)
class Situations:
    """Situations that a play may contain, apart from those that always are.

    :param pipelined_at_stop: requests behind another one on a connection when the
        process is stopped.
    :param late_in_stop: requests that are read so late in the grace period that they
        may not end in it.
    :param split_behind_another: requests of which a part arrives before an earlier one
        on the connection is answered, and the rest after it.
    """

    pipelined_at_stop: bool = False
    late_in_stop: bool = False
    split_behind_another: bool = False


class _Reporter(gateway_steps.Reporter):
    def unanswered(self, *args):
        """Keep requests that end with their connection."""
        self.events.append(("unanswered", args))


class _Transport(gateway_steps.Transport):
    """Transport that reports its end, as a socket's does."""

    def __init__(self, reactor, received=None):
        super().__init__()
        self.protocol_side = None
        self.is_lost = False
        self._reactor = reactor
        self._received = received

    def write(self, data):
        """Keep bytes for a client, or pass them to an endpoint."""
        if self._received is None:
            super().write(data)
        else:
            self._received(data)

    def loseConnection(self):
        """Close the connection."""
        if not self.disconnecting:
            self.disconnecting = True
            self._reactor.callLater(0, self.lose, error.ConnectionDone())

    def loseWriteConnection(self):
        """Close the sending side, on which the client closes the other one."""
        self.half_closed = True
        self.loseConnection()

    def abortConnection(self):
        """Reset the connection."""
        if not self.aborted:
            self.aborted = self.disconnecting = True
            self._reactor.callLater(0, self.lose, error.ConnectionAborted())

    def lose(self, reason):
        """Report the end of the connection, once."""
        if not self.is_lost:
            self.is_lost = self.disconnecting = True
            self.protocol_side.connectionLost(failure.Failure(reason))


class _Dial:
    def __init__(self, reactor, factory):
        self._reactor = reactor
        self._factory = factory
        self.is_over = False

    def accept(self, server):
        """Take the connection."""
        if not self.is_over:
            self.is_over = True
            server.connected(self._factory)

    def fail(self, reason):
        """Let the connection attempt fail."""
        if not self.is_over:
            self.is_over = True
            self._factory.clientConnectionFailed(None, failure.Failure(reason))

    def disconnect(self):
        """Give the connection attempt up."""
        self._reactor.callLater(0, self.fail, error.UserError())


class _Reactor(testing.MemoryReactorClock):
    """Clock whose connections end at the endpoints of a play."""

    def __init__(self):
        super().__init__()
        self.servers = {}

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Open a connection to an endpoint."""
        dial = _Dial(self, factory)
        server = self.servers[host]
        if server.dial == "no dial":
            self.callLater(timeout, dial.fail, error.TimeoutError())
        elif server.dial == "refuse dial":
            self.callLater(DIAL_S, dial.fail, error.ConnectionRefusedError())
        else:
            delay_s = LATE_DIAL_S if server.dial == "late dial" else DIAL_S
            self.callLater(delay_s, dial.accept, server)
        return dial

    def run_until(self, end_s):
        """Call everything that is due, each at its own time."""
        while self.calls and self.calls[0].getTime() <= end_s:
            self.advance(max(0.0, self.calls[0].getTime() - self.seconds()))
        self.advance(max(0.0, end_s - self.seconds()))


def parts_of(request, run, first):
    """Return the parts of an answer by name of the place before each.

    :param request: :class:`Request`.
    :param run: :class:`Run`.
    :param first: number of the first event.
    """
    asked = request.asked
    is_stream = POLICIES[asked.route][1]
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: s\r\n"
    head %= request.identifier
    body = request.body
    pieces = [body[:5], body[5:]]
    names = ["after head", "in body"]
    if is_stream:
        head += b"Content-Type: text/event-stream\r\n"
        pieces, names = [], []
        for number in range(first, EVENTS + 1):
            event = request.event(number)
            pieces += [event[:9], event[9:]]
            names += [f"before event {number}", f"in event {number}"]
    if run.framing == "chunks":
        head += b"Transfer-Encoding: chunked\r\n"
        pieces = [gateway_steps.chunk(piece) for piece in pieces]
        pieces.append(b"0\r\n\r\n")
        names.append("before end")
    elif run.framing == "length":
        head += b"Content-Length: %d\r\n" % sum(map(len, pieces))
    head += b"\r\n"
    if asked.method == "HEAD":
        pieces, names = [], []
    cut = head.index(b"X-Server") + 4
    return dict(
        zip(
            ["before head", "in head", *names],
            [head[:cut], head[cut:], *pieces],
            strict=True,
        )
    )


PLACES = (
    "before head",
    "in head",
    "after head",
    "in body",
    *(f"{where} event {n}" for n in range(1, EVENTS + 1) for where in ("before", "in")),
    "before end",
)


class Request:
    """A request that was sent, and what became of it.

    :param asked: :class:`Asked`.
    :param number: number of the request in its plan.
    :param now_s: time in seconds at which it was sent.
    """

    def __init__(self, asked, number, now_s):
        self.asked = asked
        self.identifier = b"attempt-%d" % number
        self.body = b"the whole answer to %b" % self.identifier
        self.sent_s = now_s
        self.arrivals = 0
        self.runs = []
        self.is_unsound = False
        self.has_left = False
        self.has_queued_requests = False
        self.done_s = None
        self.answer = None

    def event(self, number):
        """Return an event of its stream."""
        return b"id: %d\ndata: %b token %d\n\n" % (number, self.identifier, number)

    @property
    def whole(self):
        """Body of the whole answer."""
        if self.asked.method == "HEAD":
            return b""
        if POLICIES[self.asked.route][1]:
            return b"".join(self.event(n) for n in range(1, EVENTS + 1))
        return self.body

    def encode(self):
        """Return the bytes that the client sends."""
        asked = self.asked
        lines = [
            f"{asked.method} /{asked.route}/1 HTTP/{asked.version}",
            "Host: host.example",
            f"X-Attempt-Id: {self.identifier.decode()}",
            f"Authorization: Bearer {KEYS[asked.client % len(KEYS)]}",
        ]
        if asked.wait_s is not None:
            lines.append(f"X-Deadline-Ms: {1000 * asked.wait_s:.0f}")
        body = b"call" if asked.method == "POST" else b""
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Working:
    """A request that an endpoint has received and has not answered."""

    def __init__(self, request, transport):
        self.request = request
        self.transport = transport
        self.is_answered = False

    @property
    def is_open(self):
        """Whether the endpoint is still at work."""
        return not self.is_answered and not self.transport.disconnecting


class Server:
    """Process at the address of an endpoint.

    :param play: :class:`Play`.
    :param name: name of the endpoint.
    :param host: its address.
    """

    def __init__(self, play, name, host, service):
        self.name = name
        self.host = host
        self.service = service
        self.dial = ""
        self.is_full = False
        self._play = play
        self._transports = []

    def connected(self, factory):
        """Take a connection."""
        connection = factory.buildProtocol(None)
        reactor = self._play.reactor
        transport = _Transport(reactor, lambda data: self._received(transport, data))
        transport.protocol_side = connection
        self._transports.append(transport)
        connection.makeConnection(transport)

    def end(self):
        """End the process; what is in progress is broken off."""
        for working in self._play.working:
            if working.is_open and working.transport in self._transports:
                working.request.is_unsound = True
        for transport in self._transports:
            transport.lose(error.ConnectionLost())

    def _received(self, transport, data):
        identifier = re.search(rb"X-Attempt-Id: (\S+)", data).group(1)
        request = self._play.requests[identifier]
        number = min(request.arrivals, len(request.asked.runs) - 1)
        request.arrivals += 1
        run = request.asked.runs[number]
        expected = re.search(rb"X-Expect-Instance: (\S+)", data).group(1)
        behaviour = run.behaviour
        if expected != self.name.encode():
            behaviour = "misdirects"
        elif self.is_full and behaviour != "mute":
            behaviour = "refuses"
        if behaviour in UNSOUND:
            request.is_unsound = True
        working = _Working(request, transport)
        self._play.working.append(working)
        if behaviour in ("refuses", "misdirects"):
            status, extra = 503, b"X-Not-Executed: 1\r\n"
            if behaviour == "misdirects":
                status, extra = 421, b""
            attempt = request.identifier
            parts = [
                (0.0, gateway_steps.answer(status, b"", False, extra, attempt=attempt))
            ]
            self._play.reactor.callLater(DIAL_S, self._write, transport, parts, working)
            return
        self._play.check_run(request, self)
        request.runs.append(working)
        if behaviour == "mute":
            return
        resume = re.search(rb"Last-Event-Id: (\d+)", data)
        first = 1
        if resume:
            first = int(resume.group(1)) + (0 if run.repeats_last else 1)
        self._play.reactor.callLater(
            DIAL_S,
            self._write,
            transport,
            self._parts(request, run, behaviour, first),
            working,
        )

    def _parts(self, request, run, behaviour, first):
        """Return the parts of an answer, each with the pause before it."""
        if behaviour == "fails":
            attempt = request.identifier
            return [(0.0, gateway_steps.answer(500, attempt=attempt))]
        named = parts_of(request, run, first)
        pauses_s = collections.Counter()
        for place, pause_s in run.pauses:
            pauses_s[place] += pause_s
        parts = [(pauses_s[place], data) for place, data in named.items()]
        if behaviour != "answers":
            # An answer without a length that ends in order passes for whole.
            is_reset = behaviour == "resets" or run.framing == "close"
            parts = parts[: 1 + len(parts) // 2]
            parts.append((0.0, "reset" if is_reset else "close"))
        elif run.framing == "close" and request.asked.method != "HEAD":
            parts.append((0.0, "close"))
        return parts

    def _write(self, transport, parts, working, has_paused=False):
        while parts:
            pause_s, data = parts[0]
            if transport.disconnecting:
                return
            if pause_s and not has_paused:
                later = (self._write, transport, parts, working, True)
                self._play.reactor.callLater(pause_s, *later)
                return
            if transport.producerState == "paused":
                later = (self._write, transport, parts, working, True)
                self._play.reactor.callLater(TICK_S, *later)
                return
            has_paused = False
            parts = parts[1:]
            if not parts:
                working.is_answered = True
            if data == "reset":
                transport.lose(error.ConnectionLost())
            elif data == "close":
                transport.lose(error.ConnectionDone())
            else:
                transport.protocol_side.dataReceived(data)


class _Client:
    """Connection of a client, and the requests that it has sent there."""

    def __init__(self, listener, reactor):
        self.requests = []
        self.seen_bytes = 0
        self.is_last = False
        self.is_writing = False
        self.transport = _Transport(reactor)
        self.protocol = listener.buildProtocol(None)
        self.transport.protocol_side = self.protocol
        self.protocol.makeConnection(self.transport)

    @property
    def is_open(self):
        """Whether further requests may be sent."""
        is_busy = self.is_last or self.is_writing
        return not self.transport.disconnecting and not is_busy

    @property
    def is_waiting(self):
        """Whether a request has not been answered."""
        return any(request.done_s is None for request in self.requests)


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer as a client has seen it.

    :param status: HTTP status.
    :param head: bytes of the head.
    :param body: bytes of the body, decoded.
    :param is_whole: whether its framing says that it is complete.
    """

    status: int
    head: bytes
    body: bytes
    is_whole: bool


def parse_answers(data, requests, is_closed):
    """Parse the answers on a client's connection.

    :param data: bytes that the client has received.
    :param requests: the requests that it has sent.
    :param is_closed: whether the connection was closed in order.
    :returns: list of :class:`Answer`.
    """
    answers = []
    while data:
        head, separator, data = data.partition(b"\r\n\r\n")
        assert separator, f"a head without end: {head}"
        assert head.startswith(b"HTTP/1.1 "), f"no answer: {head}"
        assert len(answers) < len(requests), f"an answer to no request: {head}"
        status = int(head.split()[1])
        lowered = head.lower()
        found = re.search(rb"content-length: (\d+)", lowered)
        body, is_whole = b"", True
        if requests[len(answers)].asked.method == "HEAD":
            pass
        elif b"transfer-encoding: chunked" in lowered:
            is_whole = False
            while not is_whole:
                size, separator, rest = data.partition(b"\r\n")
                if not separator or len(rest) < int(size, 16) + 2:
                    break
                length = int(size, 16)
                body, data = body + rest[:length], rest[length + 2 :]
                is_whole = length == 0
        elif found:
            length = int(found.group(1))
            body, data = data[:length], data[length:]
            is_whole = len(body) == length
        else:
            body, data, is_whole = data, b"", is_closed
        answers.append(Answer(status, head, body, is_whole))
        if not is_whole:
            assert not data or b"chunked" in lowered, data
            break
    return answers


class Play:
    """Plays a :class:`Plan` and keeps what went wrong.

    :param plan: :class:`Plan`.
    :param situations: :class:`Situations`.
    :ivar faults: list of ``(kind, text)``.
    :ivar outcomes: counter of the requests by outcome.
    """

    def __init__(self, plan, situations):
        self.plan = plan
        self.situations = situations
        self.faults = []
        self.outcomes = collections.Counter()
        self.reactor = _Reactor()
        self.reporter = _Reporter()
        self.requests = {}
        self.working = []
        self._clients = []
        self._current = {}
        self._version = 0
        self._toggled = set()
        self._writing = 0
        self._stop_s = None
        self._stops = any(change.what == "stop" for change in plan.changes)
        self._configurations = []
        # The window of the budget is the whole play, so that its retries are counted.
        bounds = gateway.Bounds(0.2, plan.allowance, 1000.0, 8.0)
        self.gateway = gateway.Gateway(
            self.reactor,
            headers.PlatformDialect(),
            "a",
            bounds,
            random.Random(1),
            self.reporter,
            draining.Draining(STOP_LIMITS),
        )
        self.gateway.is_current = lambda: True
        self._servers = [
            Server(self, f"e{n}", f"10.0.0.{n}", SERVICE) for n in range(plan.endpoints)
        ]
        self._servers.append(Server(self, "o", "10.0.1.1", OTHER_SERVICE))
        self._records = {}
        for server in self._servers:
            self.reactor.servers[server.host] = server
            self._records[server.host] = self._record(server)
        self._set_configuration()
        self._set_endpoints()
        self.listener = clients.Listener(self.reactor, self.gateway, self._rejected)

    # State of the deployment.

    def _rejected(self, status, message):
        self._fault("rejected", f"{status} {message}")

    def _fault(self, kind, text):
        self.faults.append((kind, f"{self.reactor.seconds():.2f} s: {text}"))

    def _record(self, server, is_draining=False):
        return endpoints.Endpoint(
            server.name,
            server.service,
            server.host,
            80,
            "a",
            self.plan.slots,
            is_draining,
            {},
        )

    def _is(self, what, subject=None):
        return (what, subject) in self._toggled

    def _route(self, name):
        policy, is_stream = POLICIES[name]
        if self._is("never repeat", name):
            policy = routes.RetryPolicy.NEVER
        service = OTHER_SERVICE if self._is("other service", name) else SERVICE
        shares = (routes.Share(service, 1),)
        if self._is("other weights", name):
            shares = (routes.Share(SERVICE, 1), routes.Share(OTHER_SERVICE, 3))
        timeout_s = TIMEOUT_S
        if self._is("short time-out", name):
            timeout_s = SHORT_TIMEOUT_S
        return routes.Route(
            name,
            "host.example",
            f"/{name}/",
            policy,
            is_stream,
            timeout_s,
            0.2,
            1,
            shares,
            1 if policy is routes.RetryPolicy.NEVER else 2,
            False,
            False,
        )

    def _set_configuration(self):
        self._version += 1
        names = [name for name in POLICIES if not self._is("drop the route", name)]
        accounts = {
            key: routes.Account(f"account-{n}", n if self._is("other accounts") else 1)
            for n, key in enumerate(KEYS)
        }
        if self._is("drop the keys"):
            accounts = {}
        idle_s = SHORT_IDLE_S if self._is("short idle time-out") else 15.0
        configuration = routes.Configuration(
            self._version,
            tuple(self._route(name) for name in names),
            {
                service: routes.Service(service, 96, False, "")
                for service in (SERVICE, OTHER_SERVICE)
            },
            routes.ClientLimits(1000, 2000, 3.0, idle_s),
            accounts,
        )
        self._configurations.append((self.reactor.seconds(), configuration))
        self.gateway.set_configuration(configuration)

    def _set_endpoints(self):
        listed = {
            record.name: record
            for record in self._records.values()
            if record is not None
        }
        self.gateway.set_endpoints(listed, False)

    def check_run(self, request, server):
        """Check that an endpoint may run a request that it was sent now."""
        configuration = self._configurations[-1][1]
        route = next(
            (r for r in configuration.routes if r.name == request.asked.route), None
        )
        if route is None:
            self._fault("sent with a dropped route", request.identifier)
            return
        key = KEYS[request.asked.client % len(KEYS)]
        if key not in configuration.accounts:
            self._fault("sent with a dropped key", request.identifier)
        if server.service not in {share.service for share in route.shares}:
            self._fault("sent to another service", request.identifier)
        if request.runs and route.retry_policy is routes.RetryPolicy.NEVER:
            self._fault("run twice", request.identifier)
        if request.done_s is not None or request.has_left:
            self._fault("run after its end", request.identifier)

    # Changes.

    def _apply(self, change):
        key = change.what, change.subject
        self._toggled ^= {key}
        is_on = key in self._toggled
        if change.what in ROUTE_CHANGES or change.what in TABLE_CHANGES:
            self._set_configuration()
        elif change.what in CLIENT_CHANGES:
            self._change_client(change, is_on)
        elif change.what == "stop":
            self._stop()
        else:
            index = change.subject % self.plan.endpoints
            self._change_endpoint(change.what, self._servers[index], index, is_on)

    def _change_client(self, change, is_on):
        client = self._current.get(change.subject)
        if client is None or client.transport.is_lost:
            return
        if change.what == "client leaves":
            for request in client.requests:
                if request.done_s is None:
                    request.has_left = True
                    request.done_s = self.reactor.seconds()
            client.transport.lose(error.ConnectionLost())
        elif is_on:
            client.protocol.pauseProducing()
        else:
            client.protocol.resumeProducing()

    def _change_endpoint(self, what, server, index, is_on):
        if what == "full":
            server.is_full = is_on
        elif what in ("no dial", "late dial", "refuse dial"):
            server.dial = what if is_on else ""
        elif what == "replace":
            server.end()
            new = Server(
                self, f"e{index}-{self.reactor.seconds()}", server.host, SERVICE
            )
            self._servers[index] = self.reactor.servers[server.host] = new
            self.reactor.callLater(RECORD_S, self._replaced, new)
        else:
            record = self._record(server, is_draining=what == "drain" and is_on)
            self._records[server.host] = record
            if what == "leave" and is_on:
                self._records[server.host] = None
            self._set_endpoints()

    def _replaced(self, server):
        if self.reactor.servers[server.host] is server:
            self._records[server.host] = self._record(server)
            self._set_endpoints()

    def _stop(self):
        """Stop as :class:`cicadaplank.gateway.process.EntryProcess` does."""
        if self._stop_s is None:
            self._stop_s = self.reactor.seconds()
            self.gateway.draining.stop_requested(self._stop_s)
            self._check_stop()

    def _check_stop(self):
        stop = self.gateway.draining
        for action in stop.tick(self.reactor.seconds(), self.listener.open_count):
            if isinstance(action, draining.CloseIdle):
                self.listener.close_idle()
            elif isinstance(action, draining.Abort):
                self.gateway.abort(action.work)
        if stop.state != "stopped":
            self.reactor.callLater(process.STOP_CHECK_INTERVAL_S, self._check_stop)

    # Clients.

    def _send(self, asked, number):
        now_s = self.reactor.seconds()
        stopped_s = 0.0 if self._stop_s is None else now_s - self._stop_s
        latest_s = STOP_LIMITS.drain_limit_s - TIMEOUT_S
        if stopped_s + asked.split_s > latest_s and not self.situations.late_in_stop:
            return
        client = self._current.get(asked.client)
        may_pipeline = self.situations.pipelined_at_stop or not self._stops
        if asked.split_s and not self.situations.split_behind_another:
            may_pipeline = False
        is_usable = client is not None and client.is_open
        if not is_usable or (client.is_waiting and not may_pipeline):
            if stopped_s >= STOP_LIMITS.accept_s:
                return
            client = _Client(self.listener, self.reactor)
            self._clients.append(client)
            self._current[asked.client] = client
        request = Request(asked, number, now_s)
        client.is_last = asked.version == "1.0"
        data = request.encode()
        if not asked.split_s:
            self._send_rest(client, request, data)
            return
        client.is_writing = True
        half = len(data) // 2
        client.protocol.dataReceived(data[:half])
        rest = self._send_rest, client, request, data[half:]
        self._writing += 1
        self.reactor.callLater(asked.split_s, *rest)

    def _send_rest(self, client, request, data):
        """Send the last bytes of a request, unless the connection has ended."""
        self._writing -= client.is_writing
        client.is_writing = False
        if client.transport.disconnecting:
            return
        request.sent_s = self.reactor.seconds()
        self.requests[request.identifier] = request
        client.requests.append(request)
        client.protocol.dataReceived(data)

    def _in_force(self, since_s, until_s):
        """Return the configurations that were in force at some time of a span."""
        ends_s = [from_s for from_s, _ in self._configurations[1:]] + [float("inf")]
        return [
            configuration
            for (from_s, configuration), end_s in zip(
                self._configurations, ends_s, strict=True
            )
            if from_s <= until_s and end_s >= since_s
        ]

    def _timeouts_s(self, request, until_s):
        """Return the time-outs of a request's route since it was sent."""
        found = [
            route.timeout_s
            for configuration in self._in_force(request.sent_s, until_s)
            for route in configuration.routes
            if route.name == request.asked.route
        ]
        return found or [TIMEOUT_S]

    def _was_denied(self, request):
        """Tell whether a configuration since its sending did not allow a request."""
        key = KEYS[request.asked.client % len(KEYS)]
        return any(
            key not in configuration.accounts
            or all(r.name != request.asked.route for r in configuration.routes)
            for configuration in self._in_force(request.sent_s, self.reactor.seconds())
        )

    def _read(self, client):
        """Note the answers that have become complete on a connection."""
        transport = client.transport
        data = transport.value()
        is_closed = transport.disconnecting and not transport.aborted
        is_ended = transport.is_lost
        if len(data) == client.seen_bytes and not is_ended:
            return
        client.seen_bytes = len(data)
        try:
            found = parse_answers(data, client.requests, is_closed)
        except AssertionError as fault:
            self._fault("not an answer", str(fault))
            return
        now_s = self.reactor.seconds()
        previous_s = 0.0
        for index, request in enumerate(client.requests):
            answer = found[index] if index < len(found) else None
            is_over = is_ended or (answer is not None and answer.is_whole)
            if request.done_s is None and is_over:
                request.done_s = now_s
                request.answer = answer
                self._check(client, index, previous_s)
            previous_s = request.done_s or now_s

    def _check(self, client, index, previous_s):
        request, answer = client.requests[index], client.requests[index].answer
        now_s = self.reactor.seconds()
        asked = request.asked
        timeouts_s = self._timeouts_s(request, max(request.sent_s, previous_s))
        wait_s, longest_s = min(timeouts_s), max(timeouts_s)
        if asked.wait_s is not None:
            wait_s, longest_s = min(wait_s, asked.wait_s), min(longest_s, asked.wait_s)
        is_late = now_s >= request.sent_s + wait_s - 2 * TICK_S
        may_fail = request.is_unsound or is_late
        text = f"{request.identifier.decode()} {asked}, {answer}"
        if now_s > max(request.sent_s + longest_s, previous_s) + SLACK_S:
            self._fault("late", text)
        if answer is None:
            self._check_unanswered(client, index, text)
            return
        is_own = b"X-Server-Signature" not in answer.head
        if b"X-Attempt-Id: %b\r\n" % request.identifier not in answer.head + b"\r\n":
            self._fault("answer of another request", text)
        elif answer.status == 200:
            self.outcomes["whole" if answer.is_whole else "broken off"] += 1
            if is_own or not request.whole.startswith(answer.body):
                self._fault("wrong answer", text)
            elif answer.is_whole and answer.body != request.whole:
                self._fault("partial answer as whole", text)
            elif not answer.is_whole and not may_fail:
                self._fault("broken off", text)
        elif not is_own:
            self.outcomes["failed by its endpoint"] += 1
            if not request.is_unsound:
                self._fault("wrong status", text)
        elif answer.status == 503 or 400 <= answer.status < 500:
            self.outcomes[f"refused {answer.status}"] += 1
            if request.runs:
                self._fault("refused although it ran", text)
            elif answer.status != 503 and not self._was_denied(request):
                self._fault("denied although allowed", text)
        else:
            self.outcomes[f"failed {answer.status}"] += 1
            if not may_fail:
                self._fault(f"failed {answer.status}", text)

    def _check_unanswered(self, client, index, text):
        earlier = client.requests[:index]
        is_behind_broken = any(
            each.answer is None or not each.answer.is_whole for each in earlier
        )
        self.outcomes["unanswered"] += 1
        # A stream that breaks takes its connection with it; it was checked itself.
        if not is_behind_broken:
            self._fault("no answer", text)

    # The whole.

    def run(self):
        """Play the plan.

        :returns: list of faults.
        """
        pending = [(each.at_s, 0, n, each) for n, each in enumerate(self.plan.changes)]
        pending += [(each.at_s, 1, n, each) for n, each in enumerate(self.plan.asked)]
        pending.sort(key=lambda entry: entry[:3])
        tick = 0
        end_s = 2 * TIMEOUT_S + 4.0
        while tick * TICK_S < end_s:
            now_s = tick * TICK_S
            while pending and pending[0][0] <= now_s + 1e-9:
                _, is_asked, number, entry = pending.pop(0)
                if is_asked:
                    self._send(entry, number)
                else:
                    self._apply(entry)
            tick += 1
            self.reactor.run_until(tick * TICK_S)
            self.gateway.check_timeouts()
            for client in self._clients:
                if client.is_waiting:
                    self._read(client)
            self._check_cancelled()
            is_waiting = any(client.is_waiting for client in self._clients)
            if not pending and not is_waiting and not self._writing:
                break
        self.reactor.run_until(tick * TICK_S + 1.0)
        self._check_end()
        return self.faults

    def _check_cancelled(self):
        now_s = self.reactor.seconds()
        for working in self.working:
            done_s = working.request.done_s
            if done_s is not None and now_s > done_s + CANCEL_S and working.is_open:
                self._fault("an endpoint still works", working.request.identifier)
                working.is_answered = True

    def _check_end(self):
        self._check_cancelled()
        for request in self.requests.values():
            if request.done_s is None:
                text = f"{request.identifier.decode()} {request.asked}"
                self._fault("not ended", text)
        if self.gateway.open_calls or self.gateway.loads():
            self._fault("left", f"{self.gateway.open_calls} {self.gateway.loads()}")
        if any(len(queue) for queue in self.gateway._queues.values()):
            self._fault("left", "calls in a queue")
        retries = sum(
            len(self.gateway.budget(service)._retries)
            for service in (SERVICE, OTHER_SERVICE)
        )
        repeats = sum(
            max(0, request.arrivals - 1) for request in self.requests.values()
        )
        self.outcomes["repeats"] += repeats
        self.outcomes["retries of the budget"] += retries
        if repeats != retries:
            self._fault("repeats", f"{repeats} with {retries} of the budget")


def smaller(plan):
    """Yield plans with one request, change, run or pause less."""
    for index in range(len(plan.asked)):
        rest = plan.asked[:index] + plan.asked[index + 1 :]
        yield dataclasses.replace(plan, asked=rest)
    for index in range(len(plan.changes)):
        rest = plan.changes[:index] + plan.changes[index + 1 :]
        yield dataclasses.replace(plan, changes=rest)
    for index, asked in enumerate(plan.asked):
        for less in _smaller_requests(asked):
            rest = (*plan.asked[:index], less, *plan.asked[index + 1 :])
            yield dataclasses.replace(plan, asked=rest)


def _smaller_requests(asked):
    plain = {"wait_s": None, "split_s": 0.0, "version": "1.1", "method": "GET"}
    for field, value in plain.items():
        if getattr(asked, field) != value:
            yield dataclasses.replace(asked, **{field: value})
    for index, run in enumerate(asked.runs):
        if len(asked.runs) > 1:
            rest = asked.runs[:index] + asked.runs[index + 1 :]
            yield dataclasses.replace(asked, runs=rest)
        for number in range(len(run.pauses)):
            pauses = run.pauses[:number] + run.pauses[number + 1 :]
            less = dataclasses.replace(run, pauses=pauses)
            rest = (*asked.runs[:index], less, *asked.runs[index + 1 :])
            yield dataclasses.replace(asked, runs=rest)


def minimise(plan, kind, situations):
    """Return a smaller plan that shows the same kind of fault.

    :param plan: :class:`Plan`.
    :param kind: kind of the fault.
    :param situations: :class:`Situations`.
    """
    for less in smaller(plan):
        if any(found == kind for found, _ in Play(less, situations).run()):
            return minimise(less, kind, situations)
    return plan
