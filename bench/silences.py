"""Replay of ways to handle endpoints that fall silent while they answer.

Load pattern: a sound endpoint may fall silent for a second and go on, while a mute one
never comes back, and nobody can tell which. Drives a
:class:`cicadaplank.gateway.gateway.Gateway` on a stepped clock, with stand-ins for
endpoints and clients; clients leave a stream after a gap of :data:`MAX_GAP_S`.
"""

import collections
import dataclasses
import random

from bench import limited
from cicadaplank.gateway import (
    admittance,
    calls,
    endpoints,
    gateway,
    outcomes,
    placement,
    routes,
)
from cicadaplank.platform import headers

SERVICE = "drafts"
TICK_S = 0.05
TIMEOUT_S, OBJECTIVE_S = 8.0, 0.4
SLOTS = 8
EVENTS = 10
EVENT_S = 0.1
PAUSE_S = (1.0, 1.5)
MUTE_SHARE = 0.5
# Interval at which all endpoints pause at once.
ALL_PAUSE_EVERY_S = 6.0
# Interval at which the route is dropped, and for how long.
DROP_EVERY_S, DROP_S = 2.0, 0.5
MAX_GAP_S = 2.0
WINDOW_S = 10.0
# The platform's own bound: a share of the requests, and an allowance in each window.
USUAL = gateway.Bounds(0.2, 100, WINDOW_S, 8.0)
LITTLE = gateway.Bounds(0.05, 20, WINDOW_S, 8.0)


@dataclasses.dataclass(frozen=True)
class Load:
    """What the endpoints do.

    :param pause_share: share of the runs that pause once and go on.
    :param mute: number of endpoints that fall silent for ever in :data:`MUTE_SHARE` of
        their runs.
    :param pauses_together: whether all endpoints pause at the same moments.
    :param drops_route: whether the route is dropped and comes back now and then.
    :param bounds: :class:`cicadaplank.gateway.gateway.Bounds`.
    :param endpoints: number of endpoints.
    :param calls_per_s: calls that arrive.
    """

    pause_share: float = 0.0
    mute: int = 0
    pauses_together: bool = False
    drops_route: bool = False
    bounds: gateway.Bounds = USUAL
    endpoints: int = 8
    calls_per_s: float = 30.0


LOADS = {
    "1 in 10 runs pauses": Load(pause_share=0.1),
    "3 in 10 runs pause": Load(pause_share=0.3),
    "3 in 10 pause, route drops": Load(pause_share=0.3, drops_route=True),
    "3 in 10 pause, little budget": Load(pause_share=0.3, bounds=LITTLE),
    "all pause at once": Load(pauses_together=True),
    "all pause, little budget": Load(pauses_together=True, bounds=LITTLE),
    "2 of 8 mute": Load(mute=2),
    "2 of 8 mute, 1 in 10 pauses": Load(pause_share=0.1, mute=2),
    "2 of 8 mute, little budget": Load(mute=2, bounds=LITTLE),
}


class _GivesUp(calls.Call):
    """Call that gives an attempt up before it is sent to another endpoint."""

    def _send_to_second(self, now_s):
        attempt = self._attempts[0]
        has_time = self.deadline_s - now_s >= outcomes.MIN_ATTEMPT_S
        has_budget = self._gateway.budget(self.service).retries_left(now_s) >= 1
        has_attempts = self.history.sends < self.route.max_attempts
        if not (has_time and has_budget and has_attempts):
            return
        excluded = self.excluded | {attempt.endpoint_name}
        demand = dataclasses.replace(self.demand(), excluded=excluded)
        states = self._gateway.endpoints.of_service(self.service)
        if placement.choose(states, demand, now_s, random.Random(1)) is None:
            return
        attempt.cancel()
        self.attempt_ended(attempt, outcomes.Ending.SILENT, self._silence())


class _Stays(_GivesUp):
    """Call that gives up an attempt after a longer silence."""

    def _silence_limit_s(self):
        return MAX_GAP_S


# Ways to handle a silent endpoint, by name.
WAYS = {"hedge": calls.Call, "stay": _Stays, "give up": _GivesUp}


@dataclasses.dataclass(frozen=True)
class Result:
    """What a replay counted.

    :param requests: number of calls.
    :param lost_at_sound: calls that ended without a whole answer or a refusal although
        no mute endpoint ran them.
    :param lost: the same for all calls.
    :param refused: calls that were refused or denied as not run.
    :param left: streams whose client left after a gap of :data:`MAX_GAP_S`.
    :param left_early: those of them that could have been sent to another endpoint, as
        route and budget allowed one more.
    :param longest_gap_s: longest gap that a client saw in a stream, up to the leaving;
        time to the answer where it comes in one piece.
    :param gap_s: mean of the longest gaps of all clients.
    :param repeats: sends beyond the first of each call.
    :param excess: largest number of repeats in :data:`WINDOW_S` beyond the bound.
    :param in_vain: runs whose answer was not used.
    """

    requests: int
    lost_at_sound: int
    lost: int
    refused: int
    left: int
    left_early: int
    longest_gap_s: float
    gap_s: float
    repeats: int
    excess: float
    in_vain: int


class _Client:
    """Client of one call.

    :ivar outcome: how the call ended, empty while it goes on.
    """

    def __init__(self, replay, name):
        self.name = name
        self.outcome = ""
        self.call = None
        self.has_left = False
        self.has_queued_requests = False
        self.left_early = False
        self.met_mute = False
        self.sends = 0
        self.longest_gap_s = 0.0
        self._replay = replay
        self._last_s = None
        self._sent_s = replay.reactor.seconds()

    def check_gap(self, now_s):
        """Leave the stream after a gap that is too long."""
        if self.outcome or self._last_s is None:
            return
        self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_s)
        if now_s - self._last_s > MAX_GAP_S:
            self.has_left = True
            has_attempt = self.sends < self.call.route.max_attempts
            budget = self._replay.gateway.budget(SERVICE)
            self.left_early = has_attempt and budget.retries_left(now_s) >= 1
            self.outcome = "left"
            self.call.client_left()

    def reply(self, head, body):
        """Take a whole answer."""
        self.outcome = "answered" if head.status == 200 else "failed"
        self.longest_gap_s = self._replay.reactor.seconds() - self._sent_s

    def refuse(self, status, message, retry_after_s):
        """Take a refusal."""
        self.outcome = "failed" if status >= 500 and status != 503 else "refused"

    def begin_stream(self, head):
        """Take the head of a stream."""
        self._last_s = self._replay.reactor.seconds()

    def stream(self, data):
        """Take events."""
        now_s = self._replay.reactor.seconds()
        self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_s)
        self._last_s = now_s

    def end_stream(self):
        """Take the end of a stream."""
        self.outcome = "answered"

    def abort(self):
        """Take the loss of a stream."""
        self.outcome = "broken off"


class _Endpoint:
    """Stand-in of an endpoint."""

    def __init__(self, replay, is_mute):
        self._replay = replay
        self._is_mute = is_mute

    def received(self, protocol, data):
        """Take a request and answer it in parts."""
        replay, rng = self._replay, self._replay.rng
        attempt = limited.ATTEMPT.search(data).group(1)
        client = replay.clients[attempt]
        client.sends += 1
        if client.sends > 1:
            replay.repeats_s.append(replay.reactor.seconds())
        parts = self._parts(attempt, limited.RESUMED.search(data))
        is_mute = self._is_mute and rng.random() < MUTE_SHARE
        silent_at = None
        if is_mute or rng.random() < replay.load.pause_share:
            silent_at = rng.randrange(len(parts))
        client.met_mute |= is_mute
        self._next(protocol, parts, silent_at, 0, is_mute)

    def _parts(self, attempt, resumed):
        head = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: " + attempt
        if not self._replay.is_stream:
            return [head + b"\r\nContent-Length: 4\r\n\r\n", b"wh", b"ol"]
        first = int(resumed.group(1)) + 1 if resumed else 1
        head += b"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        parts = [head + b"\r\n\r\n"]
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: x\n\n" % number
            parts.append(b"%x\r\n%b\r\n" % (len(event), event))
        return [*parts, b"0\r\n\r\n"]

    def _next(self, protocol, parts, silent_at, number, is_mute):
        replay, now_s = self._replay, self._replay.reactor.seconds()
        if protocol.transport.disconnecting:
            return
        delay_s = replay.rng.uniform(0.5, 1.5) * EVENT_S
        if number == silent_at:
            if is_mute:
                return
            delay_s += replay.rng.uniform(*PAUSE_S)
        # A pause of all endpoints covers everything that is due in it.
        delay_s = max(delay_s, replay.pauses_until_s - now_s)
        replay.reactor.callLater(
            delay_s, self._write, protocol, parts, silent_at, number, is_mute
        )

    def _write(self, protocol, parts, silent_at, number, is_mute):
        if protocol.transport.disconnecting:
            return
        if self._replay.pauses_until_s > self._replay.reactor.seconds():
            self._next(protocol, parts, None, number, is_mute)
            return
        protocol.dataReceived(parts[number])
        if number + 1 < len(parts):
            self._next(protocol, parts, silent_at, number + 1, is_mute)


class Replay:
    """One replay.

    :param load: :class:`Load`.
    :param way: one of :data:`WAYS`.
    :param is_stream: whether the calls are streams that may be resumed; answers in one
        piece that may be repeated otherwise.
    :param seed: seed of the random numbers.
    :ivar pauses_until_s: time in seconds until which all endpoints pause.
    """

    def __init__(self, load, way, is_stream, seed):
        self.load = load
        self.is_stream = is_stream
        self.rng = random.Random(seed)
        self.reactor = limited.Reactor()
        self.reactor.advance(1000.0)
        self.reactor.connect = self._connect
        self.clients = {}
        self.repeats_s = []
        self.pauses_until_s = 0.0
        self._requests_s = []
        self._way = WAYS[way]
        self._is_over = False
        self.gateway = gateway.Gateway(
            self.reactor,
            headers.PlatformDialect(),
            "a",
            load.bounds,
            random.Random(seed),
            limited.Reporter(self.reactor),
        )
        self.gateway.is_current = lambda: True
        policy = routes.RetryPolicy.IDEMPOTENT
        if is_stream:
            policy = routes.RetryPolicy.RESUMABLE
        route = routes.Route(
            "r",
            "host.example",
            "/",
            policy,
            is_stream,
            TIMEOUT_S,
            OBJECTIVE_S,
            1,
            (routes.Share(SERVICE, 1),),
            2,
            True,
            False,
        )
        service = routes.Service(SERVICE, 96, False, "")
        self._configuration = routes.Configuration(
            1, (route,), {SERVICE: service}, routes.ClientLimits(), None
        )
        self._routes = (route,)
        self.gateway.set_configuration(self._configuration)
        self._endpoints = {}
        listed = {}
        for number in range(load.endpoints):
            name, host = f"e-{number}", f"10.0.0.{number}"
            self._endpoints[host] = _Endpoint(self, number < load.mute)
            listed[name] = endpoints.Endpoint(
                name, SERVICE, host, 80, "a", SLOTS, False, {}
            )
        self.gateway.set_endpoints(listed, False)

    def _connect(self, host, factory):
        dial = limited.Dial()
        endpoint = self._endpoints[host]

        def accept():
            if dial.is_stopped:
                return
            protocol = factory.buildProtocol(None)
            protocol.makeConnection(
                limited.Transport(lambda data: endpoint.received(protocol, data))
            )

        self.reactor.callLater(self.rng.uniform(*limited.DELAY_S), accept)
        return dial

    def _call(self):
        """Start a call as :meth:`gateway.Gateway.accept` does, in its own way."""
        if self._is_over:
            return
        wait_s = self.rng.expovariate(self.load.calls_per_s)
        self.reactor.callLater(wait_s, self._call)
        if not self._configuration.routes:
            return
        now_s = self.reactor.seconds()
        attempt = b"a-%d" % len(self.clients)
        client = self.clients[attempt] = _Client(self, attempt)
        self._requests_s.append(now_s)
        fields = [(b"Host", b"host.example"), (b"X-Attempt-Id", attempt)]
        head = self.gateway.dialect.read_request(b"POST", b"/x", fields)
        request = calls.Request(head, b"call", now_s, now_s)
        admitted = admittance.check(self.gateway.route_index, head)
        self.gateway.budget(SERVICE).record_request(now_s)
        call = self._way(self.gateway, client, request, admitted, SERVICE, "")
        client.call = call
        self.gateway._calls[call] = None
        self.gateway.place(call, now_s)

    def _toggle_route(self):
        """Drop the route, or bring it back."""
        old = self._configuration
        self._configuration = dataclasses.replace(
            old,
            version=old.version + 1,
            routes=() if old.routes else self._routes,
        )
        self.gateway.set_configuration(self._configuration)
        self.reactor.callLater(
            DROP_EVERY_S if old.routes == () else DROP_S, self._toggle_route
        )

    def _pause_all(self):
        self.pauses_until_s = self.reactor.seconds() + self.rng.uniform(*PAUSE_S)
        self.reactor.callLater(ALL_PAUSE_EVERY_S, self._pause_all)

    def run(self, duration_s):
        """Let calls arrive for a time, and end.

        :param duration_s: seconds.
        :returns: :class:`Result`.
        """
        self._call()
        if self.load.pauses_together:
            self.reactor.callLater(ALL_PAUSE_EVERY_S / 2, self._pause_all)
        if self.load.drops_route:
            self.reactor.callLater(DROP_EVERY_S, self._toggle_route)
        start_s = self.reactor.seconds()
        for number in range(1, round((duration_s + TIMEOUT_S + 1.0) / TICK_S) + 1):
            self._is_over = number * TICK_S > duration_s
            self.reactor.run_until(start_s + number * TICK_S)
            self.gateway.check_timeouts()
            now_s = self.reactor.seconds()
            for client in self.clients.values():
                if not client.outcome:
                    client.check_gap(now_s)
        return self._result()

    def _result(self):
        clients = list(self.clients.values())
        ended = collections.Counter(client.outcome for client in clients)
        lost = [c for c in clients if c.outcome in ("", "failed", "broken off")]
        gaps_s = [client.longest_gap_s for client in clients]
        sends = sum(client.sends for client in clients)
        return Result(
            len(clients),
            sum(1 for client in lost if not client.met_mute),
            len(lost),
            ended["refused"],
            ended["left"],
            sum(client.left_early for client in clients),
            max(gaps_s),
            sum(gaps_s) / len(gaps_s),
            len(self.repeats_s),
            self._excess(),
            sends - ended["answered"],
        )

    def _excess(self):
        """Return by how much the repeats of some window exceed the bound."""
        bounds, most = self.load.bounds, float("-inf")
        for end_s in self.repeats_s:
            first_s = end_s - WINDOW_S
            repeats = sum(1 for at_s in self.repeats_s if first_s < at_s <= end_s)
            requests = sum(1 for at_s in self._requests_s if first_s < at_s <= end_s)
            allowed = bounds.retry_share * requests + bounds.retry_allowance
            most = max(most, repeats - allowed)
        return most


def main():
    """Print what each way costs and saves under each load."""
    print(
        f"{'':10}{'load':30}{'way':9}{'calls':>6}{'lost':>6}{'sound':>6}{'refused':>8}"
        f"{'left':>6}{'early':>6}{'gap s':>7}{'longest':>8}{'repeats':>8}"
        f"{'excess':>7}{'vain':>6}"
    )
    for is_stream in (True, False):
        for name, load in LOADS.items():
            for way in WAYS:
                found = Replay(load, way, is_stream, 1).run(30.0)
                print(
                    f"{'streams' if is_stream else 'answers':10}{name:30}{way:9}"
                    f"{found.requests:6d}{found.lost:6d}{found.lost_at_sound:6d}"
                    f"{found.refused:8d}{found.left:6d}{found.left_early:6d}{found.gap_s:7.2f}"
                    f"{found.longest_gap_s:8.2f}{found.repeats:8d}"
                    f"{found.excess:7.0f}{found.in_vain:6d}"
                )


if __name__ == "__main__":
    main()
