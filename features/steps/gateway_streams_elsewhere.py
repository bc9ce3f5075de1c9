"""Steps for streams that break off and are sent on from another endpoint."""

import dataclasses
import re

import behave
from twisted.internet import error

from cicadaplank.gateway import calls, endpoints
from features.steps import gateway, gateway_endings

LAST_CHUNK = b"0\r\n\r\n"
ERROR_HEAD = b"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nfailed\r\n\r\n"
EVENTS_TYPE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
ERROR_EVENT = b'event: error\ndata: {"error": "failed"}\n\n'


def events(first, last=4):
    return b"".join(gateway.event(number) for number in range(first, last + 1))


STREAM = events(1)


def in_chunks(body, head=None):
    """Return the bytes of a whole stream in one chunk."""
    head = head or gateway.stream_head()
    return head + (gateway.chunk(body) if body else b"") + LAST_CHUNK


def typed(content_type, body, status=200, **options):
    """Return the bytes of an answer with a length."""
    extra = b"Content-Type: %b\r\n" % content_type if content_type else b""
    return gateway.answer(status, body, extra=extra, **options)


def head_without(line):
    head = gateway.stream_head()
    found = re.search(rb"%b: [^\r]*\r\n" % line, head)
    return head.replace(found.group(), b"")


def other_call(data):
    return data.replace(gateway.ATTEMPT, b"other")


REFUSAL = gateway.answer(503, b"full", signed=False, extra=NOT_RUN)
EVENT_HEAD = gateway.answer(500, b"", extra=EVENTS_TYPE + CHUNKED, length=False)
# Bytes of each answer; those that end with a close are followed by one.
ANSWERS = {
    "status 500 with events": typed(b"text/event-stream", events(3), 500),
    "status 502 with events, in chunks": in_chunks(
        events(3), EVENT_HEAD.replace(b"500", b"502")
    ),
    "status 204": gateway.answer(204, b"", length=False),
    "what is not HTTP": b"failed: out of memory\n\n",
    "nothing before a close": b"",
    "a stream without a signature": in_chunks(
        events(3), head_without(b"X-Server-Signature")
    ),
    "a stream without an id": in_chunks(events(3), head_without(b"X-Attempt-Id")),
    "a stream of another call": other_call(in_chunks(events(3))),
    "a stream with an encoding": in_chunks(
        events(3),
        gateway.stream_head().replace(
            EVENTS_TYPE, EVENTS_TYPE + b"Content-Encoding: br\r\n"
        ),
    ),
    "a JSON document": typed(b"application/json", b'{"error": "failed"}'),
    "a text": typed(b"text/plain", b"failed\n\n"),
    "a text without a type": typed(b"", b"failed: out of memory\n\n"),
    "an error head as a stream": in_chunks(ERROR_HEAD),
    "an error event without an id": in_chunks(ERROR_EVENT),
    "events without ids": in_chunks(re.sub(rb"id: \d+\n", b"", events(3))),
    "events from 4": in_chunks(events(4)),
    "events 3 and 4, cut in chunk 2": gateway.stream_head()
    + gateway.chunk(events(3, 3))
    + gateway.chunk(events(4))[:9],
    "nothing and a close, without frame": gateway_endings.HEAD + b"\r\n",
    "events from 3": in_chunks(events(3)),
    "events from 1": in_chunks(STREAM),
    "events from 3 with comments": in_chunks(b": first\n\n" + events(3)),
    "events from 3 with trailers": in_chunks(events(3)).removesuffix(b"\r\n")
    + b"X-Not-Executed: 1\r\nX-Attempt-Id: other\r\n\r\n",
    "events from 3 without a frame": gateway_endings.HEAD + b"\r\n" + events(3),
    "events from 3 after status 102": b"HTTP/1.1 102 Wait\r\n"
    + NOT_RUN
    + b"\r\n"
    + in_chunks(events(3)),
    "events from 3 after a refusal of another call": other_call(REFUSAL)
    + in_chunks(events(3)),
}


def answer_bytes(answer):
    """Return the bytes of an answer by its name in the table."""
    if answer in ANSWERS:
        return ANSWERS[answer]
    found = re.fullmatch(r"status (\d+)(.*)", answer)
    status, kind = int(found.group(1)), found.group(2)
    says_not_run = "not run" in kind
    return gateway.answer(
        status,
        b"failed\n\n",
        signed=not says_not_run and kind != " without a signature",
        extra=NOT_RUN if says_not_run else b"",
        length=kind != " without a length",
    )


@behave.given(
    "a gateway with {count:d} endpoints, {attempts:d} attempts and a route that {kind}"
)
def step_world(context, count, attempts, kind):
    world = context.world = gateway.World(2, kind)
    (route,) = world.configuration.routes
    route = dataclasses.replace(route, max_attempts=attempts)
    world.configuration = dataclasses.replace(world.configuration, routes=(route,))
    world.gateway.set_configuration(world.configuration)
    for number in range(3, count + 1):
        name = f"z{number}"
        world.listed[name] = endpoints.Endpoint(
            name, gateway.SERVICE, f"10.0.0.{number}", 80, "a", 1, False, {}
        )
    world.gateway.set_endpoints(world.listed, False)


def send(world, protocol="1.1", extra=b""):
    """Send a call and return the connection that it is sent on."""
    request = world.request(extra, body=b"call")
    world.client.dataReceived(
        request.replace(b"HTTP/1.1", b"HTTP/%b" % protocol.encode())
    )
    return world.accept_call()


def close(protocol):
    if not protocol.transport.aborted:
        gateway.lose(protocol, error.ConnectionDone())


def break_off(world, protocol, ending):
    """End a stream in chunks after event 2."""
    last = {
        "a cut chunk": gateway.chunk(events(3))[:20],
        "a cut event": gateway.chunk(events(3, 3)[:12]),
        "the end of a cut event": gateway.chunk(events(3, 3)[:12]) + LAST_CHUNK,
        "bytes that are no chunk": b"failed: out of memory\r\n",
        "an error head": ERROR_HEAD,
    }.get(ending, b"")
    protocol.dataReceived(gateway.stream_head() + gateway.chunk(events(1, 2)) + last)
    if ending == "silence":
        world.run(calls.STREAM_STALL_TIMEOUT_S + 0.2)
    elif ending == "a close":
        close(protocol)
    elif not protocol.transport.aborted:
        gateway.reset(protocol)
    world.run(gateway.STEP_S)


@behave.when("a stream for HTTP/{version} breaks off after event 2 by {ending}")
def step_breaks(context, version, ending):
    context.version, context.ending = version, ending
    protocol, transport = send(context.world, version)
    transport.take()
    break_off(context.world, protocol, ending)


@behave.when("every other endpoint answers {answer}")
def step_others(context, answer):
    world = context.world
    context.answers = 0
    while world.has_dial:
        protocol, transport = world.accept()
        if not transport.value():
            continue
        context.answers += 1
        data = answer_bytes(answer)
        if data:
            protocol.dataReceived(data)
        if not world.client_transport.disconnecting:
            close(protocol)
        world.run(0.2)
    assert context.answers, "no other endpoint was sent the call"


def read_stream(context):
    """Return the events that the caller has, and whether it takes them as whole."""
    transport = context.world.client_transport
    got = transport.value()
    assert got.count(b"HTTP/1.1") == 1, got
    if context.version == "1.0":
        body = got.partition(b"\r\n\r\n")[2]
        return body, transport.disconnecting and not transport.aborted
    status, body, is_whole = gateway_endings.parse_answer(got)
    assert status == 200, got
    return body, is_whole


@behave.then("the caller's stream {seen}")
def step_seen(context, seen):
    if context.ending == "silence" and seen != "is whole":
        # The silent endpoint may go on until the call's time is over.
        context.world.run(gateway.TIMEOUT_S)
    body, is_whole = read_stream(context)
    body = re.sub(rb": first\n\n", b"", body)
    assert STREAM.startswith(body), body
    assert not is_whole or body == STREAM, f"complete after {body!r}"
    assert is_whole == (seen == "is whole"), body
    if not is_whole:
        assert context.world.client_transport.aborted


@behave.when("a stream with {kind} breaks off")
def step_unplaced(context, kind):
    context.version = "1.1"
    data = re.sub(rb"id: 2\n" if "end" in kind else rb"id: \d+\n", b"", events(1, 2))
    protocol, _ = send(context.world)
    protocol.dataReceived(gateway.stream_head() + gateway.chunk(data))
    gateway.reset(protocol)
    context.world.run(gateway.STEP_S)


@behave.then("no other endpoint is sent the call")
def step_no_other(context):
    world = context.world
    while world.has_dial:
        _, transport = world.accept()
        assert not transport.value(), transport.value()


STEPS = {
    "grow by 6": ((6, 12), (18, 24)),
    "are unsteady": ((1, 2, 5), (7, 8)),
    "are one so far": ((1,), (7, 13)),
}


@behave.when("a stream with ids that {step} breaks off and goes on at a higher one")
def step_higher(context, step):
    first, rest = STEPS[step]
    context.version = "1.1"
    context.expected = b"".join(map(gateway.event, first + rest))
    protocol, _ = send(context.world)
    data = b"".join(map(gateway.event, first))
    protocol.dataReceived(gateway.stream_head() + gateway.chunk(data))
    gateway.reset(protocol)
    context.world.run(gateway.STEP_S)
    protocol, _ = context.world.accept_call()
    protocol.dataReceived(in_chunks(b"".join(map(gateway.event, rest))))


@behave.then("the caller has all of these events and a complete end")
def step_all_higher(context):
    got = read_stream(context)
    assert got == (context.expected, True), got


@behave.when("a caller asks for the events after 2 and gets {answer}")
def step_client_resumes(context, answer):
    context.version = "1.1"
    protocol, _ = send(context.world, extra=b"Last-Event-Id: 2\r\n")
    protocol.dataReceived(answer_bytes(answer))


@behave.then("it has only the events 3 and 4 and a complete end")
def step_only_rest(context):
    got = read_stream(context)
    assert got == (events(3), True), got
