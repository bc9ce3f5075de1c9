"""Steps for several requests on one client connection, and for how it is closed."""

import re

import behave

from features.steps import gateway as gateway_steps
from features.steps import gateway_endings

SLOW_BODY = b"Content-Length: 40\r\n"


def request(world, number, extra=b"", version=b"HTTP/1.1"):
    """Return the bytes of a request with an identifier of its own."""
    data = world.request(extra).replace(gateway_steps.ATTEMPT, b"a-%d" % number)
    return data.replace(b"HTTP/1.1", version)


def later_bytes(world, later):
    """Return the bytes that follow two whole requests."""
    return {
        "what is not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
        "headers over the limit": world.request(b"A: " + b"x" * 1200 + b"\r\n"),
        "headers without end": b"GET /x/1 HTTP/1.1\r\nA: " + b"x" * 1200,
        "a body over the limit": world.request(body=b"x" * 3000),
        "two hosts": world.request(b"Host: other.example\r\n"),
        "a body that does not end": world.request(SLOW_BODY) + b"x",
        "a stop": b"",
    }[later]


def serve(world, duration_s=1.0):
    """Let the endpoints answer each call that they are sent."""
    for _ in range(round(duration_s / gateway_steps.STEP_S)):
        while world.has_dial:
            world.accept()
        for _, protocol, transport in world.sent:
            found = re.search(rb"(?i)x-attempt-id: (\S+)\r\n", transport.take())
            if found and not transport.disconnecting:
                attempt = found.group(1)
                world.served.append(attempt)
                protocol.dataReceived(gateway_steps.answer(attempt=attempt))
        world.run(gateway_steps.STEP_S)


def answers(world):
    """Return status and identifier of each answer that the client got, in order."""
    got = []
    for part in world.client_transport.value().split(b"HTTP/1.1 ")[1:]:
        head, _, body = part.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        assert len(body) == int(length.group(1)), part
        attempt = re.search(rb"X-Attempt-Id: (\S+)", head)
        got.append((int(head[:3]), attempt.group(1) if attempt else b""))
    return got


@behave.when("a caller pipelines 2 requests and {later} in {reads}")
def step_later(context, later, reads):
    world = context.world
    world.served = []
    data = [request(world, 1), request(world, 2), later_bytes(world, later)]
    if reads == "one read":
        data = [b"".join(data)]
    for part in data:
        if part:
            world.client.dataReceived(part)
    if later == "a stop":
        world.gateway.draining.stop_requested(world.reactor.seconds())
        world.listener.close_idle()
    serve(world)
    if later == "a body that does not end":
        world.run(world.gateway.limits.idle_timeout_s)


@behave.when("a caller pipelines {count:d} requests in one read")
def step_many(context, count):
    world = context.world
    world.served = []
    world.client.dataReceived(
        b"".join(request(world, number) for number in range(1, count + 1))
    )
    serve(world, 0.2 * count)


@behave.then("both are answered, then {status:d}, and the connection is closed")
def step_both(context, status):
    expected = [(200, b"a-1"), (200, b"a-2"), (status, b"")]
    assert answers(context.world) == expected, answers(context.world)
    assert context.world.client_transport.disconnecting


@behave.then("both are answered and the connection is closed")
def step_both_only(context):
    got = context.world.client_transport.value()
    assert answers(context.world) == [(200, b"a-1"), (200, b"a-2")], got
    assert got.count(b"Connection: close") == 1, got
    assert context.world.client_transport.disconnecting


@behave.then("all {count:d} are answered in order")
def step_all(context, count):
    expected = [(200, b"a-%d" % number) for number in range(1, count + 1)]
    assert answers(context.world) == expected, answers(context.world)


@behave.then("at most {count:d} requests were read ahead of their answers")
def step_bounded(context, count):
    assert context.most_queued <= count, context.most_queued


@behave.when("a client goes on sending requests that no endpoint answers")
def step_flood(context):
    world = context.world
    context.most_queued = 0
    for number in range(100):
        if world.client_transport.producerState != "producing":
            break
        world.client.dataReceived(request(world, number))
        context.most_queued = max(context.most_queued, len(world.client._queue))


@behave.when("a caller pipelines a request behind {last}")
def step_last_request(context, last):
    world = context.world
    world.served = []
    version, extra = {
        "a request that closes": (b"HTTP/1.1", b"Connection: close\r\n"),
        "a request of HTTP/1.0": (b"HTTP/1.0", b""),
        "a kept request of HTTP/1.0": (b"HTTP/1.0", b"Connection: keep-alive\r\n"),
    }[last]
    first = request(world, 1, extra, version)
    world.client.dataReceived(first + request(world, 2, b"", version))
    serve(world)


@behave.then("it is answered, the other one reaches no endpoint, and the end is closed")
def step_last_answered(context):
    world = context.world
    assert answers(world) == [(200, b"a-1")], answers(world)
    assert world.served == [b"a-1"], world.served
    assert world.client_transport.disconnecting


@behave.when("a process stops while a stream is sent and a second request is read")
def step_stop_in_stream(context):
    world = context.world
    world.served = []
    world.client.dataReceived(request(world, 1))
    protocol, transport = world.accept_call()
    transport.take()
    stream = gateway_endings.framed(gateway_endings.STREAM, "chunks")
    stream = stream.replace(gateway_steps.ATTEMPT, b"a-1")
    protocol.dataReceived(stream[:-9])
    world.client.dataReceived(request(world, 2))
    world.gateway.draining.stop_requested(world.reactor.seconds())
    protocol.dataReceived(stream[-9:])
    world.run(0.2)
    protocol, transport = world.accept_call()
    protocol.dataReceived(stream.replace(b"a-1", b"a-2"))
    world.run(0.2)


@behave.then("both streams are whole and the connection is closed")
def step_both_streams(context):
    got = context.world.client_transport.value()
    assert got.count(b"\r\n0\r\n\r\n") == 2, got
    assert re.findall(rb"X-Attempt-Id: (\S+)", got) == [b"a-1", b"a-2"], got
    assert context.world.client_transport.disconnecting


class Socket(gateway_steps.Socket):
    """Socket of a client whose bytes have come and were not read yet."""

    def recv(self, size, flags):
        """Return the first bytes."""
        return b"GET"[:size]


@behave.when("{closing} comes while bytes of the client wait to be read")
def step_unread(context, closing):
    world = context.world
    world.served = []
    world.client_transport.getHandle = Socket
    if closing == "the idle time-out":
        world.run(world.gateway.limits.idle_timeout_s + 0.1)
    else:
        world.gateway.draining.stop_requested(world.reactor.seconds())
        world.listener.close_idle()
    world.client_transport.getHandle = gateway_steps.Socket
    if not world.client_transport.disconnecting:
        world.client.dataReceived(request(world, 1))
        serve(world)


@behave.then("its request is answered")
def step_answered(context):
    assert answers(context.world) == [(200, b"a-1")], answers(context.world)
