"""Steps for how the bytes of an answer end: framing, cuts and answers without end."""

import re

import behave
from twisted.internet import error

from cicadaplank.gateway import reporting
from cicadaplank.reports import metrics
from features import entries
from features.steps import gateway as gateway_steps

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: s.1\r\n" % (
    gateway_steps.ATTEMPT
)
FRAMINGS = {"a length": "length", "chunks": "chunks", "neither": "close"}
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
