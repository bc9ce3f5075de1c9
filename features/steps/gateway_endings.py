"""Steps for how the bytes of an answer end: framing, cuts and answers without end."""

import re

import behave
import hypothesis
from hypothesis import strategies
from twisted.internet import error

from cicadaplank.gateway import reporting
from cicadaplank.reports import metrics
from features import entries
from features.steps import gateway as gateway_steps

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: s.1\r\n" % (
    gateway_steps.ATTEMPT
)
FRAMINGS = ("a length", "chunks", "neither")
ENDINGS = ("a close", "a reset", "a time limit")
LAST_CHUNK = b"0\r\n\r\n"
SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=8,
    database=None,
    deadline=None,
    # A failure names its case, so that examples are not shrunk, which is slow.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
EVENT_TEXTS = strategies.lists(
    strategies.text(alphabet="ab :", min_size=1, max_size=6), min_size=1, max_size=4
)
STREAM = b"".join(gateway_steps.event(number) for number in range(1, 5))


def framed(body, framing):
    """Return the bytes of a whole answer, its body in two chunks if in chunks."""
    if framing == "a length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "neither":
        return HEAD + b"\r\n" + body
    parts = [part for part in (body[:7], body[7:]) if part]
    chunks = b"".join(map(gateway_steps.chunk, parts))
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def end(world, protocol, ending):
    """End an answer by a close, a reset or the silence of its endpoint."""
    if ending == "a close":
        gateway_steps.lose(protocol, error.ConnectionDone())
    elif ending == "a reset":
        gateway_steps.lose(protocol, error.ConnectionLost())
    else:
        assert ending == "a time limit", ending
        world.run(gateway_steps.TIMEOUT_S + 0.2)


def send_call(world):
    """Send a call and return the connection of the endpoint that has it."""
    world.client.dataReceived(world.request(body=b"call"))
    return world.accept_call()


@behave.given("a gateway that logs, with {count:d} endpoints and a route that {kind}")
def step_logging_world(context, count, kind):
    world = context.world = gateway_steps.World(count, kind)
    context.log = entries.Log()
    context.metrics = metrics.Metrics("edge-1", "entry", "r", "a")
    world.gateway._reporter = reporting.Reporter(
        context.log, context.metrics, world.reactor.seconds
    )


@behave.when("an answer with {framing} arrives {share} and ends by {ending}")
def step_answer_ends(context, framing, share, ending):
    world = context.world
    protocol, _ = send_call(world)
    is_stream = world.configuration.routes[0].is_stream
    body = STREAM if is_stream else gateway_steps.BODY
    data = framed(body, framing)
    if share == "in part":
        data = data[: data.index(b"token 2" if is_stream else body[:7]) + 5]
    protocol.dataReceived(data)
    if share == "in part" or framing == "neither":
        end(world, protocol, ending)


@behave.then(
    "the log names the framing {framing}, the end {ending}"
    " and {partial:d} bytes of an event"
)
def step_logged_end(context, framing, ending, partial):
    (line,) = context.log.of("call_ended")
    assert line["framing"] == framing, line
    assert line["ended_by"] == ending, line
    assert line["partial_event_bytes"] == partial, line
    assert line["body_bytes"] > 0, line


@behave.then("a counter of answers has the framing {framing} and the end {ending}")
def step_counted_end(context, framing, ending):
    page = context.metrics.render()[0].decode()
    pattern = rf'responses\S*ended_by="{ending}",framing="{framing}"\S* 1'
    assert re.search(pattern, page), page


@behave.when("an answer with {framing} ends by {ending} in the middle of event 3")
def step_ends_inside_event(context, framing, ending):
    world = context.world
    protocol, transport = send_call(world)
    transport.take()
    whole = framed(STREAM, framing)
    if ending in ENDINGS:
        protocol.dataReceived(whole[: whole.index(b"token 3") + 5])
        end(world, protocol, ending)
        return
    assert ending == "its framing", ending
    part = STREAM[: STREAM.index(b"token 3") + 5]
    protocol.dataReceived(framed(part, framing))


@behave.when("an answer with {framing} ends by {ending} before event 1")
def step_ends_empty(context, framing, ending):
    world = context.world
    protocol, transport = send_call(world)
    transport.take()
    protocol.dataReceived(framed(b"", framing).removesuffix(LAST_CHUNK))
    end(world, protocol, ending)


@behave.when("the other endpoint answers event 3 with no event and {framing}")
def step_resumed_empty(context, framing):
    world = context.world
    protocol, _ = world.accept_call()
    protocol.dataReceived(framed(b"", framing))
    if framing == "neither":
        end(world, protocol, "a close")


@behave.then("the caller gets {status:d} and nothing of a stream")
def step_no_stream(context, status):
    got = context.world.client_transport.value()
    assert gateway_steps.status_of(got) == status, got
    assert b"data:" not in got, got


def parse_answer(data):
    """Return the status and body that a caller has, and whether it takes them as whole.

    :param data: bytes of one HTTP response, perhaps a part of it.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None, b"", False
    status = gateway_steps.status_of(head)
    length = re.search(rb"Content-Length: (\d+)", head)
    if length:
        return status, rest, len(rest) == int(length.group(1))
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            return status, body, rest == b"\r\n"
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return status, body, False


def play_cut(kind, data, ending, cut):
    """Return what a caller gets when an answer is cut after some bytes.

    :returns: status, body, and whether the caller takes them as whole.
    """
    world = gateway_steps.World(1, kind)
    protocol, transport = send_call(world)
    protocol.dataReceived(data[:cut])
    if not transport.disconnecting:
        end(world, protocol, ending)
    return parse_answer(world.client_transport.value())


def check_cuts(kind, body, whole_bodies):
    """Cut an answer at every byte, for each framing and ending.

    :param kind: kind of route.
    :param body: bytes of the answer's body.
    :param whole_bodies: bodies that are whole when an answer without length and chunks
        is closed after them.
    """
    for framing in FRAMINGS:
        data = framed(body, framing)
        for ending in ENDINGS:
            for cut in range(len(data) + 1):
                status, got, is_whole = play_cut(kind, data, ending, cut)
                case = (framing, ending, cut, data[max(0, cut - 30) : cut], got)
                if framing == "neither":
                    arrived = data[:cut].partition(b"\r\n\r\n")
                    is_end = arrived[1] and arrived[2] in whole_bodies
                    may_be_whole = ending == "a close" and is_end
                else:
                    may_be_whole = cut == len(data)
                if may_be_whole:
                    assert (status, is_whole) == (200, True), case
                    assert framing == "neither" or got == body, case
                else:
                    assert not (status == 200 and is_whole), case
                assert status != 200 or body.startswith(got), case


@behave.then("a stream cut at any byte is whole for its caller only where it may be")
def step_cut_streams(context):
    @SETTINGS
    @hypothesis.given(EVENT_TEXTS)
    def check(texts):
        found = [
            b"id: %d\ndata: %b\n\n" % (number, text.encode())
            for number, text in enumerate(texts, 1)
        ]
        whole = {b"".join(found[:count]) for count in range(1, len(found) + 1)}
        check_cuts("streams once", b"".join(found), whole)

    check()


@behave.then("an answer cut at any byte is whole for its caller only where it may be")
def step_cut_answers(context):
    @SETTINGS
    @hypothesis.given(strategies.binary(min_size=1, max_size=40))
    def check(body):
        whole = {body[:count] for count in range(len(body) + 1)}
        check_cuts("runs once only", body, whole)

    check()


@behave.when("a caller sends a HEAD call and the endpoint declares {framing}")
def step_head_call(context, framing):
    world = context.world
    request = world.request(body=b"call").replace(b"POST", b"HEAD")
    world.client.dataReceived(request)
    protocol, _ = world.accept_call()
    whole = framed(gateway_steps.BODY, framing)
    protocol.dataReceived(whole[: whole.index(b"\r\n\r\n") + 4])


@behave.when("a caller sends a HEAD call for a path without a route")
def step_head_refused(context):
    world = context.world
    world.client.dataReceived(world.request(path=b"/y/1").replace(b"GET", b"HEAD"))


@behave.then("the caller gets {status:d} with headers only")
def step_headers_only(context, status):
    got = context.world.client_transport.value()
    assert gateway_steps.status_of(got) == status, got
    assert got.endswith(b"\r\n\r\n") and got.count(b"\r\n\r\n") == 1, got


@behave.when("a caller of HTTP/1.0 sends a call and its stream ends by {ending}")
def step_old_caller(context, ending):
    world = context.world
    request = world.request(body=b"call").replace(b"HTTP/1.1", b"HTTP/1.0")
    world.client.dataReceived(request)
    protocol, _ = world.accept_call()
    data = framed(STREAM, "chunks")
    protocol.dataReceived(data if ending == "its framing" else data[:-9])
    if ending != "its framing":
        end(world, protocol, ending)


@behave.then("the caller's stream has no framing and ends by a {ending}")
def step_old_end(context, ending):
    transport = context.world.client_transport
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert b"Transfer-Encoding" not in head, head
    assert STREAM.startswith(body), body
    assert transport.disconnecting
    assert transport.aborted == (ending == "reset")


LINE_ENDS = {"LF": b"\n", "CRLF": b"\r\n", "CR": b"\r"}


@behave.when(
    "an endpoint sends 2 events with the line end {line_end}, cut into {parts}"
)
def step_line_ends(context, line_end, parts):
    context.protocol, _ = send_call(context.world)
    context.line_end = LINE_ENDS[line_end]
    data = gateway_steps.event(1) + gateway_steps.event(2)
    context.stream = data.replace(b"\n", context.line_end)
    context.protocol.dataReceived(HEAD + b"\r\n")
    size = len(context.stream) if parts == "one read" else 1
    for start in range(0, len(context.stream), size):
        context.protocol.dataReceived(context.stream[start : start + size])


@behave.then("the caller has both events before the stream ends")
def step_both_events(context):
    _, body, is_whole = parse_answer(context.world.client_transport.value())
    assert body == context.stream, body
    assert not is_whole


@behave.then("it is whole once the stream has ended after {last}")
def step_whole_after(context, last):
    extra = {"a comment": b": end", "an empty line": b""}.get(last)
    tail = b"" if extra is None else extra + context.line_end
    if tail:
        context.protocol.dataReceived(tail)
    end(context.world, context.protocol, "a close")
    got = parse_answer(context.world.client_transport.value())
    assert got == (200, context.stream + tail, True), got


@behave.when("an endpoint has sent event 2 and {kind} arrive for {duration_s:g} s")
def step_trickle(context, kind, duration_s):
    world = context.world
    context.protocol, context.transport = send_call(world)
    context.transport.take()
    first = gateway_steps.event(1) + gateway_steps.event(2)
    context.protocol.dataReceived(HEAD + b"\r\n" + first)
    parts = {
        "single bytes of event 3": [
            b"%c" % byte for byte in b"id: 3\ndata: " + b"x" * 100
        ],
        "comments": [b": still here\n"] * 100,
        "events 1 and 2 again": [first] * 100,
    }[kind]
    for part in parts[: round(duration_s / gateway_steps.STEP_S)]:
        world.run(gateway_steps.STEP_S)
        if not context.transport.disconnecting:
            context.protocol.dataReceived(part)


@behave.then("the endpoint's connection is still open")
def step_endpoint_open(context):
    assert not context.transport.disconnecting


@behave.then("the endpoint's connection is broken off")
def step_endpoint_broken(context):
    assert context.transport.aborted


@behave.then(
    "a request with {framing} and a body, cut at any byte, reaches no endpoint"
)
def step_cut_requests(context, framing):
    head = b"POST /x/1 HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: a\r\n"
    head += b"Authorization: Bearer key-1\r\n"
    whole = head + framed(b"0123456789", framing).removeprefix(HEAD)
    for cut in range(len(whole) + 1):
        for lost in (error.ConnectionDone, error.ConnectionLost):
            world = gateway_steps.World(1, "may repeat")
            world.client.dataReceived(whole[:cut])
            assert world.has_dial == (cut == len(whole)), (cut, whole[:cut])
            gateway_steps.lose(world.client, lost())
            world.run(gateway_steps.STEP_S)
            assert world.has_dial == (cut == len(whole)), (cut, whole[:cut])
            assert world.gateway.open_calls == 0


DOCUMENT = b'{"text": "an answer",\n\n"tokens": 2}'
JSON_TYPE = b"Content-Type: application/json; charset=utf-8\r\n"


@behave.when("a caller sends a call and gets a JSON document with {framing}")
def step_document(context, framing):
    protocol, _ = send_call(context.world)
    data = framed(DOCUMENT, framing)
    protocol.dataReceived(HEAD + JSON_TYPE + data.removeprefix(HEAD))
    if framing == "neither":
        end(context.world, protocol, "a close")


@behave.then("it has the whole document")
def step_whole_document(context):
    got = parse_answer(context.world.client_transport.value())
    assert got == (200, DOCUMENT, True), got


@behave.when("the other endpoint answers event 3 by {answer}")
def step_other_answer(context, answer):
    protocol, _ = context.world.accept_call()
    if answer == "status 404":
        protocol.dataReceived(gateway_steps.answer(404))
    else:
        protocol.dataReceived(gateway_steps.answer(body=DOCUMENT, extra=JSON_TYPE))


@behave.then("the caller has no second answer")
def step_one_answer(context):
    assert context.world.client_transport.value().count(b"HTTP/1.1") == 1


def play_resumed(data, ending, cut, framing):
    """Return what a caller gets when a cut stream is resumed at another endpoint.

    :returns: what :func:`parse_answer` returns, and the number of the first event that
        the other endpoint was asked for, None if it was not asked.
    """
    first = None
    world = gateway_steps.World(2, "streams and resumes")
    protocol, transport = send_call(world)
    protocol.dataReceived(data[:cut])
    if not transport.disconnecting:
        end(world, protocol, ending)
    if not transport.disconnecting or world.has_dial:
        world.run(gateway_steps.STEP_S)
    if world.has_dial:
        protocol, transport = world.accept_call()
        last = re.search(rb"(?i)last-event-id: (\d+)", transport.value())
        first = int(last.group(1)) + 1 if last else 1
        rest = b"".join(gateway_steps.event(number) for number in range(first, 5))
        protocol.dataReceived(framed(rest, framing))
        if framing == "neither":
            end(world, protocol, "a close")
    return parse_answer(world.client_transport.value()), first


@behave.then(
    "a stream with {framing}, cut at any byte and resumed, is whole for its caller"
)
def step_cut_and_resumed(context, framing):
    boundaries = {
        b"".join(gateway_steps.event(number) for number in range(1, count))
        for count in range(2, 6)
    }
    for first in FRAMINGS:
        data = framed(STREAM, first)
        for ending in ("a close", "a reset"):
            for cut in range(len(data) + 1):
                got, asked = play_resumed(data, ending, cut, framing)
                case = (first, ending, cut, data[max(0, cut - 30) : cut], got)
                _, _, arrived = data[:cut].partition(b"\r\n\r\n")
                if (first, ending) == ("neither", "a close") and arrived in boundaries:
                    assert got == (200, arrived, True), case
                elif asked == 5 and framing == "neither":
                    # Nothing but a close may also be the end of a crashed endpoint.
                    assert got == (200, STREAM, False), case
                else:
                    assert got == (200, STREAM, True), case
