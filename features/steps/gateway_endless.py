"""Steps for answers and requests whose head or body never ends."""

import tracemalloc

import behave

from cicadaplank.external import event_streams
from cicadaplank.gateway import attempts, calls, connections
from features.steps import gateway as gateway_steps
from features.steps import gateway_endings

BLOCK_BYTES = 16 * 1024
CHUNKED_HEAD = gateway_endings.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and the bytes that then come again and again.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header name": (gateway_endings.HEAD, b"x"),
    "header value": (gateway_endings.HEAD + b"X-Long: ", b"x"),
    "headers": (gateway_endings.HEAD, b"X-More: 1\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "answers of other calls": (
        b"",
        gateway_steps.answer(body=b"foreign", attempt=b"other"),
    ),
    "body of another call": (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 99999999\r\n\r\n",
        b"x",
    ),
    "chunk size": (CHUNKED_HEAD, b"0"),
    "chunk extension": (CHUNKED_HEAD + b"5;", b"x"),
    "trailers": (
        CHUNKED_HEAD + gateway_steps.chunk(b"12345") + b"0\r\n",
        b"X-T: 1\r\n",
    ),
    "body with a length": (
        gateway_endings.HEAD + b"Content-Length: 9999999999\r\n\r\n",
        b"x",
    ),
    "body in chunks": (CHUNKED_HEAD, gateway_steps.chunk(b"x" * 1000)),
    "body with neither": (gateway_endings.HEAD + b"\r\n", b"x"),
    "event": (gateway_endings.HEAD + b"\r\nid: 1\ndata: ", b"x"),
    "comment": (gateway_endings.HEAD + b"\r\n: ", b"x"),
}
# Bytes after which an endless part has to be given up, and memory that it may take.
LIMITS_BYTES = {
    "status line": connections.MAX_HEAD_BYTES,
    "header name": connections.MAX_HEAD_BYTES,
    "header value": connections.MAX_HEAD_BYTES,
    "headers": connections.MAX_HEAD_BYTES,
    "interim answers": connections.MAX_HEAD_BYTES,
    "answers of other calls": connections.MAX_HEAD_BYTES,
    "body of another call": connections.MAX_SKIPPED_BYTES,
    "chunk size": connections.MAX_HEAD_BYTES,
    "chunk extension": connections.MAX_HEAD_BYTES,
    "trailers": connections.MAX_HEAD_BYTES,
    "body with a length": attempts.MAX_ANSWER_BYTES,
    "body in chunks": 1.1 * attempts.MAX_ANSWER_BYTES,
    "body with neither": attempts.MAX_ANSWER_BYTES,
    "event": event_streams.MAX_EVENT_BYTES,
    "comment": event_streams.MAX_EVENT_BYTES,
}
# Objects and growing buffers take more than the bytes that they hold.
MEMORY_FACTOR = 3
MEMORY_SLACK_BYTES = 256 * 1024


def feed_endless(protocol, transport, part, limit_bytes):
    """Feed blocks until the connection is broken off.

    :returns: the number of bytes that were fed, and the memory at its peak.
    """
    first, repeated = ENDLESS[part]
    block = repeated * max(1, BLOCK_BYTES // len(repeated))
    tracemalloc.start()
    protocol.dataReceived(first) if first else None
    fed_bytes = len(first)
    while not transport.disconnecting and fed_bytes < 4 * limit_bytes:
        protocol.dataReceived(block)
        fed_bytes += len(block)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return fed_bytes, peak_bytes


@behave.when("the {part} of an answer never ends")
def step_endless(context, part):
    context.protocol, context.transport = gateway_endings.send_call(context.world)
    context.part = part
    context.limit_bytes = LIMITS_BYTES[part]
    context.fed_bytes, context.peak_bytes = feed_endless(
        context.protocol, context.transport, part, context.limit_bytes
    )


@behave.then("its connection is broken off within the limits of bytes and memory")
def step_bounded(context):
    assert context.transport.disconnecting, context.fed_bytes
    assert context.fed_bytes <= context.limit_bytes + 3 * BLOCK_BYTES, context.fed_bytes
    allowed_bytes = MEMORY_FACTOR * context.limit_bytes + MEMORY_SLACK_BYTES
    assert context.peak_bytes <= allowed_bytes, context.peak_bytes


@behave.then("the caller gets no answer that looks whole")
def step_not_whole(context):
    got = context.world.client_transport.value()
    status, _, is_whole = gateway_endings.parse_answer(got)
    assert not (status == 200 and is_whole), got[:200]
    assert status in (None, 200, 502, 504), got[:200]


@behave.when("the {part} of an answer trickles")
def step_trickle_part(context, part):
    world = context.world
    context.protocol, context.transport = gateway_endings.send_call(world)
    first, repeated = ENDLESS[part]
    context.protocol.dataReceived(first) if first else None
    # Whole units, so that interim answers and headers stay valid.
    unit = repeated if len(repeated) < 100 else repeated[:1]
    context.ended_s = None
    start_s = world.reactor.seconds()
    while world.reactor.seconds() < start_s + 2 * gateway_steps.TIMEOUT_S:
        world.run(gateway_steps.STEP_S)
        if context.transport.disconnecting:
            context.ended_s = world.reactor.seconds() - start_s
            return
        context.protocol.dataReceived(unit)


@behave.then("its connection is broken off when the call's time is over")
def step_ended_in_time(context):
    assert context.ended_s is not None
    limit_s = gateway_steps.TIMEOUT_S + calls.DEADLINE_SLACK_S
    assert context.ended_s <= limit_s + 2 * gateway_steps.STEP_S, context.ended_s


@behave.when("{count:d} answers without end arrive at once, and one small answer")
def step_many_endless(context, count):
    world = context.world
    listed = {
        name: gateway_steps.endpoints.Endpoint(
            name, gateway_steps.SERVICE, "10.0.0.1", 80, "a", 100, False, {}
        )
        for name in ("x",)
    }
    world.gateway.set_endpoints(listed, False)
    first, _ = ENDLESS["body with a length"]
    block = b"x" * (1024 * 1024)
    open_calls = []
    for _ in range(count):
        world.connect()
        open_calls.append(gateway_endings.send_call(world))
    world.connect()
    small, _ = gateway_endings.send_call(world)
    small.dataReceived(gateway_steps.answer()[:-3])
    tracemalloc.start()
    for protocol, _ in open_calls:
        protocol.dataReceived(first)
    for _ in range(7):
        for protocol, transport in open_calls:
            if not transport.disconnecting:
                protocol.dataReceived(block)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    small.dataReceived(gateway_steps.answer()[-3:])


@behave.then("they take at most {limit_mb:d} MB")
def step_peak(context, limit_mb):
    assert context.peak_bytes <= limit_mb * 1024 * 1024, context.peak_bytes


@behave.then("the caller of the small answer has it whole")
def step_small_whole(context):
    got = context.world.client_transport.value()
    assert gateway_endings.parse_answer(got) == (200, gateway_steps.BODY, True), got


CLIENT_HEAD = b"POST /x/1 HTTP/1.1\r\nHost: host.example\r\n"
CLIENT_CHUNKS = CLIENT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "target": (b"GET /x/", b"x"),
    "header value": (CLIENT_HEAD + b"X-Long: ", b"x"),
    "headers": (CLIENT_HEAD, b"X-More: 1\r\n"),
    "chunk extension": (CLIENT_CHUNKS + b"5;", b"x"),
    "trailers": (CLIENT_CHUNKS + b"5\r\n12345\r\n0\r\n", b"X-T: 1\r\n"),
    "body with a length": (CLIENT_HEAD + b"Content-Length: 9999999\r\n\r\n", b"x"),
    "body in chunks": (CLIENT_CHUNKS, gateway_steps.chunk(b"x" * 100)),
}


@behave.when("the {part} of a request never ends {moment}")
def step_endless_request(context, part, moment):
    world = context.world
    context.sent = None
    if moment == "behind a call in progress":
        context.sent = gateway_endings.send_call(world)
    first, repeated = ENDLESS_REQUESTS[part]
    client, transport = world.client, world.client_transport
    block = repeated * max(1, BLOCK_BYTES // len(repeated))
    tracemalloc.start()
    client.dataReceived(first)
    for _ in range(4 * 1024 * 1024 // len(block)):
        if transport.disconnecting:
            break
        client.dataReceived(block)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@behave.then("it takes at most {limit_kb:d} KB, and the client gets {status:d}")
def step_request_bounded(context, limit_kb, status):
    transport = context.world.client_transport
    if context.sent is not None:
        protocol, _ = context.sent
        protocol.dataReceived(gateway_steps.answer())
        answers = transport.take()
        assert answers.startswith(b"HTTP/1.1 200"), answers
        answers = answers.partition(gateway_steps.BODY)[2]
    else:
        answers = transport.value()
    assert gateway_steps.status_of(answers) == status, answers
    assert transport.disconnecting
    assert context.peak_bytes <= limit_kb * 1024, context.peak_bytes


@behave.when("{count:d} clients send bodies of {size_mb:d} MB without their end")
def step_many_bodies(context, count, size_mb):
    world = context.world
    configuration = world.configuration
    limits = gateway_steps.routes.ClientLimits(1000, 4 * 1024 * 1024, 3.0, 15.0)
    world.gateway.set_configuration(
        gateway_steps.routes.Configuration(
            2, configuration.routes, configuration.services, limits, None
        )
    )
    block = bytes(1024 * 1024)
    context.transports = []
    tracemalloc.start()
    for _ in range(count):
        world.connect()
        context.transports.append(world.client_transport)
        world.client.dataReceived(CLIENT_HEAD + b"Content-Length: 4000000\r\n\r\n")
        for _ in range(size_mb):
            if not world.client_transport.disconnecting:
                world.client.dataReceived(block)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@behave.then("those that are dropped get 503 and when to send again")
def step_dropped_bodies(context):
    dropped = [t.value() for t in context.transports if t.disconnecting]
    assert dropped
    for data in dropped:
        assert gateway_steps.status_of(data) == 503, data
        assert b"Retry-After" in data and data.count(b"HTTP/1.1") == 1, data
