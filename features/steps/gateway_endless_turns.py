"""Steps for the work that a connection which never ends its answer causes."""

import itertools
import sys

import behave

from cicadaplank.gateway import read_pacing
from features.steps import gateway as gateway_steps
from features.steps import gateway_endings

DEFAULT_TURN_BYTES = 64 * 1024
MOST_BYTES = 512 * 1024
STREAM_HEAD = gateway_endings.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FIRST_EVENT = b"id: 1\ndata: x\n\n"


def chunks_of(data):
    """Return bytes as one chunk."""
    return gateway_steps.chunk(data)


def numbered():
    """Yield new events."""
    for number in itertools.count(2):
        yield chunks_of(b"".join(b"id:%d\n\n" % (500 * number + n) for n in range(500)))


def repeated(data):
    """Yield the same bytes again and again."""
    block = data * max(1, 4096 // len(data))
    while True:
        yield block


PARTS = {
    "blank lines": lambda: repeated(chunks_of(b"\n" * 4096)),
    "blank lines in small chunks": lambda: repeated(chunks_of(b"\n\n")),
    "comments": lambda: repeated(chunks_of(b":\n\n" * 1000)),
    "comments and blank lines": lambda: repeated(chunks_of(b": c\n\n\n" * 500)),
    "events with the same id": lambda: repeated(chunks_of(b"id:1\n\n" * 500)),
    "new events": numbered,
    "events without id": lambda: repeated(chunks_of(b"data:\n\n" * 500)),
    "bytes in small chunks": lambda: repeated(chunks_of(b"x")),
    "interim heads": lambda: repeated(b"HTTP/1.1 100 \r\n\r\n"),
    "heads of other calls": lambda: repeated(
        b"HTTP/1.1 200 \r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"
    ),
    "header lines": lambda: repeated(b"X:1\r\n"),
}
HEADS = {
    "interim heads": b"",
    "heads of other calls": b"",
    "header lines": gateway_endings.HEAD,
}


def calls_of(function, *args):
    """Return the number of function calls that a call takes."""
    count = 0

    def profile(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        function(*args)
    finally:
        sys.setprofile(None)
    return count


@behave.when("{part} come without end")
def step_without_end(context, part):
    protocol, transport = gateway_endings.send_call(context.world)
    head = HEADS.get(part, STREAM_HEAD)
    if "streams" in context.scenario.steps[0].name and part not in HEADS:
        head += chunks_of(FIRST_EVENT)
    protocol.dataReceived(head) if head else None
    turn_bytes = getattr(transport, "bufferSize", DEFAULT_TURN_BYTES)
    context.calls, context.fed_bytes, pending = [], 0, b""
    source = PARTS[part]()
    while not transport.disconnecting and context.fed_bytes < MOST_BYTES:
        while len(pending) < turn_bytes:
            pending += next(source)
        block, pending = pending[:turn_bytes], pending[turn_bytes:]
        context.calls.append(calls_of(protocol.dataReceived, block))
        context.fed_bytes += len(block)
    context.turn_bytes, context.transport = turn_bytes, transport


@behave.then("the stream is given up after at most 64 KB")
def step_given_up(context):
    assert context.transport.disconnecting, context.fed_bytes
    # Two thirds of small chunks are their framing.
    assert context.fed_bytes <= 4 * 64 * 1024 + context.turn_bytes, context.fed_bytes


@behave.then("no turn takes more than {most:d} function calls")
def step_turn(context, most):
    assert max(context.calls) <= most, max(context.calls)


@behave.when("40 KB of comments come before each of 5 events")
def step_comments_between(context):
    protocol, _ = gateway_endings.send_call(context.world)
    protocol.dataReceived(STREAM_HEAD)
    for number in range(1, 6):
        protocol.dataReceived(chunks_of(b": keep\n\n" * 5120))
        protocol.dataReceived(chunks_of(b"id: %d\ndata: x\n\n" % number))
    protocol.dataReceived(b"0\r\n\r\n")


@behave.then("the client has all 5 events")
def step_all_events(context):
    got = context.world.client_transport.value()
    assert all(b"id: %d\n" % number in got for number in range(1, 6)), got[-200:]
    assert got.endswith(b"0\r\n\r\n"), got[-50:]


FLOOD_S = 3.0
STEP_S = 0.001


@behave.when("{part} come for 3 s as fast as they are read")
def step_flood(context, part):
    world = context.world
    protocol, transport = gateway_endings.send_call(world)
    protocol.dataReceived(STREAM_HEAD)
    source, pending = PARTS[part](), b""
    turn_bytes = getattr(transport, "bufferSize", DEFAULT_TURN_BYTES)
    context.read, context.turn_bytes = 0, turn_bytes
    until_s = world.reactor.seconds() + FLOOD_S
    while world.reactor.seconds() < until_s and not transport.disconnecting:
        while len(pending) < turn_bytes:
            pending += next(source)
        if transport.producerState == "producing":
            block, pending = pending[:turn_bytes], pending[turn_bytes:]
            is_stream = part != "bytes in small chunks"
            context.read += block.count(b"\n\n" if is_stream else b"x")
            protocol.dataReceived(block)
        world.reactor.advance(STEP_S)


@behave.then("no more is read than the pace and one turn allow")
def step_read(context):
    paced = read_pacing.BURST_UNITS + FLOOD_S * read_pacing.UNITS_PER_S
    # The shortest event has 7 bytes, the shortest chunk 6.
    assert context.read <= paced + context.turn_bytes / 6, context.read


@behave.when("300 new events come each second for 3 s")
def step_sound(context):
    world = context.world
    protocol, transport = gateway_endings.send_call(world)
    protocol.dataReceived(STREAM_HEAD)
    context.paused = 0
    for number in range(1, 901):
        protocol.dataReceived(chunks_of(b"id: %d\ndata: x\n\n" % number))
        context.paused += transport.producerState != "producing"
        world.reactor.advance(1.0 / 300)


@behave.then("reading was never paused")
def step_never_paused(context):
    assert not context.paused, context.paused
