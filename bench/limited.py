"""Replay of entry instances that send calls to endpoints which have named a limit.

Load pattern: endpoints in need take a few requests a second of all entry instances
together, while each instance has calls for them. Drives one
:class:`cicadaplank.gateway.gateway.Gateway` for each instance on a stepped clock, with
stand-ins for endpoints and callers, and messages between instances that are delayed.
"""

import collections
import dataclasses
import random
import re

from twisted.internet import error, testing
from twisted.python import failure

from cicadaplank.gateway import calls, endpoints, gateway, routes
from cicadaplank.messages import codec, types
from cicadaplank.platform import headers

SERVICE = "drafts"
TICK_S = 0.05
WINDOW_S = 4.0
# One-way delay to endpoints and between instances, in seconds.
DELAY_S = (0.001, 0.006)
RUN_S = (0.05, 0.2)
TIMEOUT_S, OBJECTIVE_S = 6.0, 0.4
EVENTS = 4
# Time after which an instance that has become silent is no longer connected.
SILENCE_S = 2.5
# Time until an instance has read a change of the list.
LIST_DELAY_S = (0.0, 0.5)
BOUNDS = gateway.Bounds(0.2, 100, 10, 8.0)
ATTEMPT = re.compile(rb"X-Attempt-Id: (\S+)")
RESUMED = re.compile(rb"Last-Event-Id: (\d+)")


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What a replay plays.

    :param entries: number of entry instances.
    :param endpoints: number of endpoints.
    :param limited: number of them that name a limit.
    :param limit_per_s: what each of these names, requests per second.
    :param calls_per_s: calls that arrive at all instances together.
    :param data_centres: number of data centres among which all are divided evenly.
    :param is_stream: whether the calls are streams that may be resumed.
    :param broken_share: share of the answers of endpoints without a limit that break
        off, so that their calls are sent again.
    """

    entries: int
    endpoints: int = 3
    limited: int = 3
    limit_per_s: float = 1.5
    calls_per_s: float = 60.0
    data_centres: int = 3
    is_stream: bool = False
    broken_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What a replay counted.

    :param excess: largest number of requests in :data:`WINDOW_S` beyond those that the
        limit allows, over all endpoints with a limit.
    :param used_share: requests at these endpoints by those that the limit allows.
    :param outcomes: number of calls by outcome.
    """

    excess: float
    used_share: float
    outcomes: collections.Counter


class _Socket:
    def setsockopt(self, *args):
        """Take any option."""


class Transport(testing.StringTransport):
    """Transport whose bytes reach an endpoint."""

    def __init__(self, received):
        super().__init__()
        self._received = received

    def write(self, data):
        """Pass bytes on to the endpoint."""
        self._received(data)

    def getHandle(self):
        """Return a socket that takes any option."""
        return _Socket()

    def setTcpNoDelay(self, enabled):
        """Take the option."""

    def abortConnection(self):
        """Note that the connection is closed."""
        self.disconnecting = True


class Reactor(testing.MemoryReactorClock):
    """Clock whose connections end at the stand-ins of a replay."""

    def __init__(self):
        super().__init__()
        self.connect = None

    def run_until(self, end_s):
        """Call everything that is due, each at its own time.

        :param end_s: time in seconds at which to stop.
        """
        while self.calls and self.calls[0].getTime() <= end_s:
            self.advance(max(0.0, self.calls[0].getTime() - self.seconds()))
        self.advance(max(0.0, end_s - self.seconds()))

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Open a connection to an endpoint."""
        return self.connect(host, factory)


class Dial:
    """Connection attempt to a stand-in.

    :ivar is_stopped: whether the attempt was given up.
    """

    def __init__(self):
        self.is_stopped = False

    def disconnect(self):
        """Give the connection attempt up."""
        self.is_stopped = True


class Endpoint:
    """Stand-in of an endpoint; keeps the times at which requests arrive.

    :param replay: :class:`Replay`.
    :param name: name, which is its host too.
    :ivar limit: text of the limit that it names, or None.
    """

    def __init__(self, replay, name):
        self.name = name
        self.limit = None
        self.broken_share = 0.0
        self.arrivals_s = []
        self._replay = replay

    def received(self, protocol, data):
        """Take a request and answer it later."""
        reactor, rng = self._replay.reactor, self._replay.rng
        self.arrivals_s.append(reactor.seconds() + rng.uniform(*DELAY_S))
        reactor.callLater(rng.uniform(*RUN_S), self._answer, protocol, data)

    def _answer(self, protocol, data):
        transport = protocol.transport
        if transport.disconnecting:
            return
        lines = [
            b"HTTP/1.1 200 OK",
            b"X-Server-Signature: s",
            b"Connection: keep-alive",
        ]
        lines.append(b"X-Attempt-Id: " + ATTEMPT.search(data).group(1))
        if self.limit is not None:
            lines.append(b"Server-Limit: " + self.limit.encode())
        is_broken = self._replay.rng.random() < self.broken_share
        if not self._replay.scenario.is_stream:
            if is_broken:
                self._break_off(protocol)
                return
            lines.append(b"Content-Length: 2")
            protocol.dataReceived(b"\r\n".join(lines) + b"\r\n\r\nok")
            return
        lines.append(b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked")
        protocol.dataReceived(b"\r\n".join(lines) + b"\r\n\r\n")
        resumed = RESUMED.search(data)
        self._replay.resumed += bool(resumed and self.limit)
        first = int(resumed.group(1)) + 1 if resumed else 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: x\n\n" % number
            protocol.dataReceived(b"%x\r\n%b\r\n" % (len(event), event))
            if is_broken and number < EVENTS:
                self._break_off(protocol)
                return
        protocol.dataReceived(b"0\r\n\r\n")

    @staticmethod
    def _break_off(protocol):
        protocol.transport.disconnecting = True
        protocol.connectionLost(failure.Failure(error.ConnectionLost()))


class Caller:
    """Stand-in of a caller's connection, with one call.

    :param outcomes: counter of outcomes.
    """

    has_left = False
    has_queued_requests = False

    def __init__(self, outcomes):
        self._outcomes = outcomes

    def reply(self, head, body):
        """Take a whole answer."""
        self._outcomes["answered"] += 1

    def refuse(self, status, message, retry_after_s):
        """Take a refusal."""
        self._outcomes["refused" if status == 503 else "failed"] += 1

    def begin_stream(self, head):
        """Take the head of a stream."""

    def stream(self, data):
        """Take events."""

    def end_stream(self):
        """Take the end of a stream."""
        self._outcomes["answered"] += 1

    def abort(self):
        """Take the loss of a stream."""
        self._outcomes["broken_off"] += 1

    def handling_failed(self, may_have_run):
        """Fail the replay, while the error is being handled."""
        raise AssertionError("the handling of a call failed in the replay")


class Reporter:
    """Takes what a gateway reports."""

    def __init__(self, reactor):
        self.unix_s = reactor.seconds

    def __getattr__(self, name):
        return lambda *args, **fields: None


class Replay:
    """One replay.

    :param scenario: :class:`Scenario`.
    :param seed: seed of the random numbers.
    :ivar gateways: dict from instance name to gateway.
    :ivar resumed: number of streams that were resumed at an endpoint with a limit.
    """

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.reactor = Reactor()
        self.reactor.advance(1000.0)
        self.outcomes = collections.Counter()
        self.endpoints = {}
        self.gateways = {}
        self._known = set()
        # Time in seconds at which an instance was cut off, and the messages that wait
        # for a frozen one.
        self._cut_s = {}
        self._frozen = {}
        self._delay_s = 0.0
        self.resumed = 0
        self._count = 0
        for number in range(scenario.endpoints):
            name = f"e-{number}"
            self.endpoints[name] = Endpoint(self, name)
            self.endpoints[name].broken_share = scenario.broken_share
        for number in range(scenario.entries):
            self.add_entry(f"entry-{number}")

    # Instances.

    def _centre(self, number):
        return f"dc-{number % self.scenario.data_centres}"

    def add_entry(self, name):
        """Start an entry instance."""
        number = int(name.rpartition("-")[2])
        made = gateway.Gateway(
            self.reactor,
            headers.PlatformDialect(),
            self._centre(number),
            BOUNDS,
            random.Random(self.rng.random()),
            Reporter(self.reactor),
        )
        made.is_current = lambda: True
        made.broadcast = lambda message, exclude: self._broadcast(name, message)
        made.send_to_peer = lambda peer, message: self._deliver(name, peer, message)
        policy = routes.RetryPolicy.IDEMPOTENT
        if self.scenario.is_stream:
            policy = routes.RetryPolicy.RESUMABLE
        route = routes.Route(
            "r",
            "host.example",
            "/",
            policy,
            self.scenario.is_stream,
            TIMEOUT_S,
            OBJECTIVE_S,
            1,
            (routes.Share(SERVICE, 1),),
            3,
            True,
            False,
        )
        made.set_configuration(
            routes.Configuration(
                1,
                (route,),
                {SERVICE: routes.Service(SERVICE, 4000, False, "")},
                routes.ClientLimits(1000, 2000, 3.0, 15.0),
                None,
            )
        )
        listed = {
            endpoint: endpoints.Endpoint(
                endpoint, SERVICE, endpoint, 80, self._centre(n), 16, False, {}, 5
            )
            for n, endpoint in enumerate(self.endpoints)
        }
        made.set_endpoints(listed, False)
        made.set_member_count(self.scenario.entries)
        self.gateways[name] = made
        self._known.add(name)
        for other, each in self.gateways.items():
            for report in each.limit_reports():
                self._deliver(other, name, report)

    def end_entry(self, name):
        """Let the process of an entry instance end at once."""
        del self.gateways[name]
        self._known.discard(name)

    def cut(self, name):
        """Cut an entry instance off from the others, but not from endpoints."""
        self._cut_s[name] = self.reactor.seconds()

    def heal(self, name):
        """End the cut of an entry instance."""
        del self._cut_s[name]
        for other, each in self.gateways.items():
            for report in each.limit_reports():
                self._deliver(other, name, report)

    def freeze(self, name):
        """Let an entry instance stand still."""
        self._frozen[name] = []

    def thaw(self, name):
        """Let a frozen entry instance go on, and process what it has received."""
        for envelope in self._frozen.pop(name):
            self._process(name, envelope)

    def issuers(self):
        """Return the names of the instances that issue permits, sorted."""
        limits = next(iter(self.gateways.values())).endpoints.limits
        return sorted(limits.issuer_names())

    def delay_messages(self, duration_s):
        """Let messages between instances take half a second longer for some time."""
        self._delay_s = 0.5
        self.run(duration_s)
        self._delay_s = 0.0

    def _is_silent(self, name, other):
        """Tell whether two instances have noticed that they do not hear each other."""
        cut_s = [self._cut_s[each] for each in (name, other) if each in self._cut_s]
        return bool(cut_s) and self.reactor.seconds() - min(cut_s) > SILENCE_S

    def _set_members(self, name):
        connected = {
            other: self._centre(int(other.rpartition("-")[2]))
            for other in self.gateways
            if other == name or not self._is_silent(name, other)
        }
        silent = len(self._known) - len(connected)
        self.gateways[name].set_permit_members(name, connected, silent)

    def _broadcast(self, sender, message):
        for name in self.gateways:
            if name != sender:
                self._deliver(sender, name, message)

    def _deliver(self, sender, name, message):
        if sender in self._cut_s or name in self._cut_s:
            return
        frame = codec.encode(codec.Envelope(sender, 0, message))
        delay_s = self._delay_s + self.rng.uniform(*DELAY_S)
        self.reactor.callLater(delay_s, self._receive, name, frame)

    def _receive(self, name, frame):
        """Let an instance process a message of another one."""
        envelope = codec.decode(frame)
        if name in self._frozen:
            self._frozen[name].append(envelope)
        elif name in self.gateways:
            self._process(name, envelope)

    def _process(self, name, envelope):
        its = self.gateways[name]
        receive = {
            types.LeavingReport: its.merge_leaving,
            types.LimitReport: its.merge_limit,
            types.PermitRequest: its.receive_permit_request,
            types.PermitGrant: its.receive_permits,
        }
        act = receive.get(type(envelope.message))
        if act is not None:
            act(envelope.sender, envelope.message)

    # Calls.

    def _connect(self, host, factory):
        dial = Dial()
        endpoint = self.endpoints[host]

        def accept():
            if dial.is_stopped:
                return
            protocol = factory.buildProtocol(None)
            transport = Transport(lambda data: endpoint.received(protocol, data))
            protocol.makeConnection(transport)

        self.reactor.callLater(self.rng.uniform(*DELAY_S), accept)
        return dial

    def _call(self):
        name = self.rng.choice([n for n in self.gateways if n not in self._frozen])
        self._count += 1
        dialect = headers.PlatformDialect()
        head = dialect.read_request(
            b"POST",
            b"/x",
            [(b"Host", b"host.example"), (b"X-Attempt-Id", b"a-%d" % self._count)],
        )
        now_s = self.reactor.seconds()
        request = calls.Request(head, b"call", now_s, now_s)
        self.outcomes["calls"] += 1
        self.gateways[name].accept(Caller(self.outcomes), request)
        wait_s = self.rng.expovariate(self.scenario.calls_per_s)
        self.reactor.callLater(wait_s, self._call)

    def _tick(self):
        for name, each in self.gateways.items():
            if name not in self._frozen:
                self._set_members(name)
                each.check_timeouts()

    # The whole.

    def name_limit(self, text):
        """Let the endpoints with a limit name another one, or none."""
        for endpoint in list(self.endpoints.values())[: self.scenario.limited]:
            endpoint.limit = text

    def return_cold(self, per_s, left_s, is_bounded=True):
        """Let the endpoints with a limit start anew, all at once and cold.

        Each instance reads of it some time later.

        :param per_s: requests per second that each bears while it is cold.
        :param left_s: seconds for which they are cold.
        :param is_bounded: whether the deployment bounds the requests of cold endpoints.
        """
        for name in list(self.gateways):
            self._show(name, per_s, left_s, is_bounded, False)
            delay_s = self.rng.uniform(*LIST_DELAY_S)
            self.reactor.callLater(
                delay_s, self._show, name, per_s, left_s - delay_s, is_bounded, True
            )

    def _show(self, name, per_s, left_s, is_bounded, has_cold):
        made = self.gateways.get(name)
        if made is None:
            return
        made.set_bounds(dataclasses.replace(BOUNDS, limits_warm_up=is_bounded))
        held = made.route_index.configuration
        services = {
            key: dataclasses.replace(service, warm_up_per_s=per_s)
            for key, service in held.services.items()
        }
        made.set_configuration(dataclasses.replace(held, services=services))
        listed = {s.endpoint.name: s.endpoint for s in made.endpoints.all()}
        for number, endpoint in enumerate(self.endpoints):
            if number >= self.scenario.limited:
                continue
            listed.pop(endpoint, None)
            if has_cold:
                listed[endpoint] = endpoints.Endpoint(
                    endpoint,
                    SERVICE,
                    endpoint,
                    80,
                    self._centre(number),
                    16,
                    False,
                    {},
                    6,
                    warm_up_s=left_s,
                )
        made.set_endpoints(listed, False)

    def run(self, duration_s):
        """Let time pass.

        :param duration_s: seconds.
        """
        self.reactor.connect = self._connect
        if not self._count:
            self._call()
        start_s = self.reactor.seconds()
        for number in range(1, round(duration_s / TICK_S) + 1):
            self.reactor.run_until(start_s + number * TICK_S)
            self._tick()

    def result(self, since_s, limit_per_s):
        """Return the :class:`Result` of a span in which the limit did not change.

        :param since_s: length of the span in seconds, up to now.
        :param limit_per_s: the limit, requests per second.
        """
        now_s = self.reactor.seconds()
        start_s = now_s - since_s
        limited = list(self.endpoints.values())[: self.scenario.limited]
        excess, used = float("-inf"), 0
        for endpoint in limited:
            times_s = [at_s for at_s in endpoint.arrivals_s if start_s <= at_s < now_s]
            used += len(times_s)
            excess = max(excess, most_in_window(times_s) - WINDOW_S * limit_per_s)
        allowed = limit_per_s * since_s * len(limited)
        return Result(excess, used / allowed, self.outcomes)


def main():
    """Print how much of a limit is used, and the most beyond it, at each size."""
    sizes = ((6, 1.5), (6, 12.0), (45, 1.5), (45, 20.0), (100, 1.5), (100, 50.0))
    for entries, limit_per_s in sizes:
        calls_per_s = max(60.0, 10 * limit_per_s)
        scenario = Scenario(entries, limit_per_s=limit_per_s, calls_per_s=calls_per_s)
        replay = Replay(scenario, 1)
        replay.run(1.0)
        replay.name_limit(str(limit_per_s))
        replay.run(23.0)
        found = replay.result(20.0, limit_per_s)
        print(
            f"{entries:4d} entries, {limit_per_s:4.1f} a second: used "
            f"{found.used_share:.3f}, most in {WINDOW_S:.0f} s {found.excess:+.0f}, "
            f"{dict(found.outcomes)}"
        )


def most_in_window(times_s, window_s=WINDOW_S):
    """Return the largest number of times that lie within a window.

    :param times_s: times in seconds.
    :param window_s: length of the window in seconds.
    """
    times_s = sorted(times_s)
    most = first = 0
    for last, time_s in enumerate(times_s):
        while times_s[first] < time_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


if __name__ == "__main__":
    main()
