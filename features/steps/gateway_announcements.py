"""Steps for what endpoints say of themselves in their answers."""

import dataclasses
import itertools
import random

import behave

from cicadaplank.messages import types
from cicadaplank.requests import announcements
from features.steps import gateway

NUMBERS = itertools.count(1)
INTERVAL_S = 0.1
NOT_RUN = b"X-Not-Executed: 1\r\n"


def send(world):
    """Send a call on a new client connection, and return its body."""
    body = b"call-%d;" % next(NUMBERS)
    world.connect()
    world.client.dataReceived(world.request(body=body))
    return body


def place_of(world, body):
    """Return the host, protocol and transport to which a call was sent, or None."""
    while world.has_dial:
        world.accept()
    for host, protocol, transport in world.sent:
        if body in transport.value():
            return host, protocol, transport
    return None


def lines(headers):
    """Return header lines from a text that separates them by semicolons."""
    return b"".join(h.strip().encode() + b"\r\n" for h in headers.split("; "))


def answer_next(world, data):
    """Send a call, let its endpoint answer it, and the others answer its repeats.

    :returns: the host of that endpoint.
    """
    host, protocol, transport = place_of(world, send(world))
    transport.take()
    protocol.dataReceived(data)
    answer_all(world)
    return host


def answer_all(world):
    """Let the endpoints answer the calls that were sent to them, as long as some are.

    :returns: the hosts that were sent calls.
    """
    hosts = []
    while True:
        while world.has_dial:
            world.accept()
        asked = [each for each in world.sent if b"call-" in each[2].take()]
        if not asked:
            return hosts
        for host, protocol, _ in asked:
            hosts.append(host)
            protocol.dataReceived(gateway.answer())


@behave.when('an endpoint gives {kind} with "{headers}"')
def step_answer(context, kind, headers):
    extra = lines(headers)
    data = {
        "a whole answer": gateway.answer(extra=extra),
        "a failure": gateway.answer(500, extra=extra),
        "a refusal": gateway.answer(503, signed=False, extra=NOT_RUN + extra),
        "another call's answer": gateway.answer(attempt=b"other", extra=extra)
        + gateway.answer(),
        "a stream": gateway.stream_head().replace(
            b"\r\n\r\n", b"\r\n" + extra + b"\r\n"
        )
        + gateway.chunk(gateway.event(1))
        + b"0\r\n\r\n",
    }
    context.host = answer_next(context.world, data[kind])


@behave.then("no further call is sent to it in {duration_s:d} s and each {outcome}")
def step_none(context, duration_s, outcome):
    world = context.world
    for _ in range(duration_s):
        world.run(1.0)
        body = send(world)
        place = place_of(world, body)
        if outcome == "is sent to another":
            assert place is not None and place[0] != context.host, place
            place[1].dataReceived(gateway.answer())
        else:
            assert place is None, place
            step_refused(context)


def step_refused(context):
    """Check that the newest client was refused and told when to come back.

    :returns: the time that it was told, in seconds.
    """
    got = context.world.client_transport.value()
    assert gateway.status_of(got) == 503, got
    assert b"Retry-After" in got, got
    return float(got.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])


@behave.when('another endpoint at its address answers 421 with "{headers}"')
def step_misdirected_word(context, headers):
    refusal = gateway.answer(421, b"", signed=False, extra=lines(headers))
    answer_next(context.world, refusal)


def send_two(context):
    """Send two calls to an endpoint with two slots, and return their protocols."""
    world = context.world
    world.listed["x"] = dataclasses.replace(world.listed["x"], slots=2)
    world.gateway.set_endpoints(world.listed, False)
    places = [place_of(world, send(world)) for _ in range(2)]
    for _, _, transport in places:
        transport.take()
    context.host = places[0][0]
    return [protocol for _, protocol, _ in places]


@behave.when('two calls are answered, the second with "{headers}"')
def step_two_answered(context, headers):
    first, second = send_two(context)
    first.dataReceived(gateway.answer())
    second.dataReceived(gateway.answer(extra=lines(headers)))


@behave.then("no connection to the endpoint stays open")
def step_closed(context):
    assert all(transport.disconnecting for _, _, transport in context.world.sent)


@behave.when('two calls are refused with Retry-After "{first}" and then "{second}"')
def step_two_refused(context, first, second):
    for protocol, value in zip(send_two(context), (first, second), strict=True):
        protocol.dataReceived(refusal(f"Retry-After: {value}"))
    context.refused_s = context.world.reactor.seconds()


@behave.when('the endpoint refuses the first call with Retry-After "{value}"')
def step_first_refused(context, value):
    context.protocol.dataReceived(refusal(f"Retry-After: {value}"))


def refusal(headers):
    """Return the bytes of an answer of an endpoint that did not run the call."""
    return gateway.answer(503, signed=False, extra=NOT_RUN + lines(headers))


@behave.then("the instance tells the others once that it leaves")
def step_told(context):
    (report,) = context.world.broadcasts
    assert isinstance(report, types.LeavingReport), report
    context.report = report


@behave.then("one that is told sends its next call to another endpoint")
def step_peer_told(context):
    left = context.host
    context.world = gateway.World(2, "may repeat")
    context.world.gateway.merge_leaving("peer", context.report)
    # The endpoint would be chosen by an instance that is not told.
    context.world.listed = {
        name: dataclasses.replace(endpoint, warm_up_s=float(endpoint.host != left))
        for name, endpoint in context.world.listed.items()
    }
    context.world.gateway.set_endpoints(context.world.listed, False)
    assert place_of(context.world, send(context.world))[0] != left


@behave.when("a call streams from an endpoint and another is {phase}")
def step_streams(context, phase):
    world = context.world
    if phase == "dialled":
        for name, endpoint in world.listed.items():
            world.listed[name] = dataclasses.replace(endpoint, slots=2)
        world.gateway.set_endpoints(world.listed, False)
    context.protocol = place_of(world, send(world))[1]
    if len(world.listed) > 1:
        # The other endpoint has one slot too.
        send(world)
    context.body = send(world)
    context.transport = world.client_transport


@behave.when('the endpoint\'s stream begins with "{headers}"')
def step_stream_begins(context, headers):
    head = gateway.stream_head().replace(
        b"\r\n\r\n", b"\r\n" + lines(headers) + b"\r\n"
    )
    context.protocol.dataReceived(head + gateway.chunk(gateway.event(1)))


@behave.then("the other call {outcome}")
def step_other(context, outcome):
    assert place_of(context.world, context.body) is None
    got = context.transport.value()
    if outcome == "waits":
        assert not got, got
    else:
        assert gateway.status_of(got) == 503 and b"Retry-After" in got, got


@behave.given("the endpoint started at {started_ms:d}")
def step_started(context, started_ms):
    world = context.world
    world.listed["x"] = dataclasses.replace(world.listed["x"], started_ms=started_ms)
    world.gateway.set_endpoints(world.listed, False)


@behave.when("its row says that it leaves")
def step_row_leaves(context):
    world = context.world
    leaving = dataclasses.replace(world.listed["x"], is_draining=True)
    world.gateway.set_endpoints({"x": leaving}, False)


@behave.when("its row {change}")
def step_row(context, change):
    world = context.world
    endpoint = world.listed["x"]
    if change == "goes and comes back":
        world.gateway.set_endpoints({}, False)
    elif change == "tells of a new run":
        # It has started just now.
        started_ms = int(1000 * world.reporter.unix_s())
        endpoint = dataclasses.replace(endpoint, started_ms=started_ms)
    elif change == "tells late of the run that named it":
        # The store was away as the endpoint started.
        started_ms = int(1000 * (world.reporter.unix_s() - 20.0))
        endpoint = dataclasses.replace(endpoint, started_ms=started_ms)
    elif change == "tells no start":
        endpoint = dataclasses.replace(endpoint, started_ms=0)
    elif change == "names another endpoint":
        endpoint = dataclasses.replace(endpoint, name="z")
    world.gateway.set_endpoints({endpoint.name: endpoint}, False)


@behave.then("a further call {outcome}")
def step_further(context, outcome):
    world = context.world
    body = send(world)
    if outcome.startswith("is sent within"):
        assert place_of(world, body) is None
        world.run(float(outcome.split()[3]))
    place = place_of(world, body)
    if outcome.startswith("is told to come back after"):
        assert place is None, place
        told_s = step_refused(context)
        at_least_s = float(outcome.split()[-2])
        assert at_least_s <= told_s <= 1.3 * at_least_s, told_s
    elif outcome == "is answered 503 at once":
        assert place is None, place
        step_refused(context)
    else:
        assert place is not None, world.client_transport.value()


@behave.when(
    'a peer says {age_s:f} s after it that the endpoint "{name}" started at'
    " {started_ms:d} leaves"
)
def step_peer_says(context, age_s, name, started_ms):
    report_leaving(context, age_s, name, started_ms)


@behave.when(
    'a peer says nan s after it that the endpoint "{name}" started at'
    " {started_ms:d} leaves"
)
def step_peer_says_no_number(context, name, started_ms):
    report_leaving(context, float("nan"), name, started_ms)


def report_leaving(context, age_s, name, started_ms):
    """Let a peer say that an endpoint leaves."""
    report = types.LeavingReport(name, started_ms, age_s)
    context.world.gateway.merge_leaving("peer", report)


@behave.when("the gateway runs for {duration_s:f} s")
def step_pass(context, duration_s):
    context.world.run(duration_s)


@behave.then("the next call is sent to {host}")
def step_next(context, host):
    # The endpoint in question is the one that is chosen without the peer's word.
    context.world.gateway._random = FirstBest()
    place = place_of(context.world, send(context.world))
    assert place is not None and place[0] == host, place


class FirstBest(random.Random):
    """Random numbers that leave ties to the order of the endpoints."""

    def uniform(self, low, high):
        """Return the lower bound."""
        return low


@behave.when('an endpoint refuses a call with Retry-After "{values}"')
def step_refuses(context, values):
    world = context.world
    extra = b"".join(b"Retry-After: %b\r\n" % v.encode() for v in values.split(";"))
    refusal = gateway.answer(503, signed=False, extra=NOT_RUN + extra)
    context.host = answer_next(world, refusal)
    context.refused_s = world.reactor.seconds()


@behave.then(
    "it gets no calls for {at_least_s:f} s and gets some after {at_most_s:f} s"
)
def step_for(context, at_least_s, at_most_s):
    world = context.world
    hosts = []
    while context.host not in hosts:
        now_s = world.reactor.seconds() - context.refused_s
        assert now_s <= at_most_s, now_s
        for _ in world.listed:
            send(world)
        hosts = answer_all(world)
        world.run(INTERVAL_S)
    assert now_s >= at_least_s, now_s


@behave.then("{count:d} malformed headers are counted")
def step_malformed(context, count):
    events = [name for name, _ in context.world.reporter.events]
    assert events.count("malformed_headers") == count, events


@behave.given("{count:d} entry instances to which an endpoint has named {for_s:f} s")
def step_instances(context, count, for_s):
    context.times_s = [
        announcements.Announcements(random.Random(seed)).record_busy("run", for_s, 0.0)
        for seed in range(count)
    ]


@behave.then(
    "they come back between {first_s:f} and {last_s:f} s and not within {within_s:f} s"
)
def step_come_back(context, first_s, last_s, within_s):
    assert min(context.times_s) >= first_s, context.times_s
    assert max(context.times_s) <= last_s, context.times_s
    assert max(context.times_s) - min(context.times_s) > within_s, context.times_s


@behave.when("its endpoint answers 421 to every call for {duration_s:d} s")
def step_misdirected(context, duration_s):
    context.calls = 0
    for _ in range(round(duration_s / INTERVAL_S)):
        send(context.world)
        context.calls += misdirect_all(context.world)
        context.world.run(INTERVAL_S)


def misdirect_all(world):
    """Let the endpoints answer 421 to the calls that were sent to them.

    :returns: the number of calls.
    """
    while world.has_dial:
        world.accept()
    asked = [each for each in world.sent if b"call-" in each[2].take()]
    for _, protocol, _ in asked:
        protocol.dataReceived(gateway.answer(421, b"", signed=False))
    return len(asked)


@behave.when("its record {change}")
def step_record(context, change):
    world = context.world
    endpoint = world.listed["x"]
    if change == "tells new weights":
        endpoint = dataclasses.replace(endpoint, weights={"m": 2})
    world.gateway.set_endpoints({"x": endpoint}, False)


@behave.then("it got at most {most:d} calls and {more} at once")
def step_got(context, most, more):
    assert context.calls <= most, context.calls
    assert misdirect_all(context.world) == (1 if more == "another" else 0)
