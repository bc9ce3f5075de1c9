"""Steps for answers whose head is cut in its middle."""

import behave
import hypothesis
from hypothesis import strategies
from twisted.internet import error

from features.steps import gateway as gateway_steps
from features.steps import gateway_endings

LOSSES = (error.ConnectionDone, error.ConnectionLost)
SETTINGS = hypothesis.settings(gateway_endings.SETTINGS, max_examples=3)
REPEATED = ("may repeat", "streams and resumes")
FIRST = b"a-0"
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 0\r\n\r\n"
)
# Time after which a call is sent to a second endpoint.
SECOND_S = 0.5
TOKENS = strategies.text(alphabet="abcXYZ-09", min_size=1, max_size=8)


@strategies.composite
def heads(draw):
    """Draw a head of an answer: order of its headers, framing and line ends."""
    lines = [
        b"X-Attempt-Id: " + gateway_steps.ATTEMPT,
        b"X-Server-Signature: s.1",
        b"X-Extra-%b: %b" % (draw(TOKENS).encode(), draw(TOKENS).encode()),
    ]
    framing = draw(strategies.sampled_from(gateway_endings.FRAMINGS))
    if framing == "a length":
        lines.append(b"Content-Length: %d" % draw(strategies.sampled_from([0, 16])))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
    lines = draw(strategies.permutations(lines))
    line_end = draw(strategies.sampled_from([b"\r\n", b"\n"]))
    reason = draw(strategies.sampled_from([b" OK", b" ", b""]))
    return line_end.join([b"HTTP/1.1 200" + reason, *lines, b"", b""])


def request(world, case, attempt=gateway_steps.ATTEMPT):
    """Return the bytes of the call of a case."""
    data = world.request(body=b"call").replace(gateway_steps.ATTEMPT, attempt)
    if case == "a call of HTTP/1.0":
        data = data.replace(b"HTTP/1.1", b"HTTP/1.0")
    elif case == "a HEAD call":
        data = data.replace(b"POST", b"HEAD")
    return data


def whole_answer(kind, attempt=gateway_steps.ATTEMPT):
    """Return the bytes of a whole answer, and its body."""
    if "streams" not in kind:
        return gateway_steps.answer(attempt=attempt), gateway_steps.BODY
    data = gateway_endings.framed(gateway_endings.STREAM, "chunks")
    return data.replace(gateway_steps.ATTEMPT, attempt), gateway_endings.STREAM


def end(protocol, transport, loss):
    if not transport.disconnecting:
        gateway_steps.lose(protocol, loss())


def accept_new(world):
    """Take dials until a call comes, and return its connection."""
    protocol, transport = world.accept_call()
    transport.take()
    return protocol, transport


def play(case, kind, data, loss):
    """Return what the client of a case gets, and whether it may be a success."""
    count = 2 if case.startswith(("another", "two")) else 1
    world = gateway_steps.World(count, kind)
    if case == "a kept connection":
        world.client.dataReceived(request(world, case, FIRST))
        protocol, transport = accept_new(world)
        protocol.dataReceived(whole_answer(kind, FIRST)[0])
        world.run(gateway_steps.STEP_S)
        assert gateway_steps.status_of(world.client_transport.take()) == 200
        world.client.dataReceived(request(world, case))
        assert transport.take().endswith(b"call"), "not sent on the kept connection"
    else:
        world.client.dataReceived(request(world, case))
        protocol, transport = accept_new(world)
    others = []
    if case.startswith("two attempts"):
        world.run(SECOND_S)
        others.append(accept_new(world))
    protocol.dataReceived(data)
    end(protocol, transport, loss)
    world.run(2 * gateway_steps.STEP_S)
    if case == "another endpoint" and kind in REPEATED:
        others.append(accept_new(world))
    for other, other_transport in others:
        if case == "two attempts, both cut":
            other.dataReceived(data)
            end(other, other_transport, loss)
        else:
            other.dataReceived(whole_answer(kind)[0])
    world.run(2 * gateway_steps.STEP_S)
    return world, bool(others) and case != "two attempts, both cut"


@behave.then("a head cut at any byte, on {case}, gives no client of {kind} a success")
def step_cut(context, case, kind):
    @SETTINGS
    @hypothesis.given(heads())
    def check(head):
        prefix = INTERIM if case == "interim answers" else b""
        whole = prefix + head
        for cut in range(len(whole)):
            for loss in LOSSES:
                world, is_answered = play(case, kind, whole[:cut], loss)
                transport = world.client_transport
                got = transport.value()
                case_played = (whole[:cut], loss, got)
                assert got.count(b"HTTP/1.") <= 1, case_played
                if is_answered:
                    expected = 200, whole_answer(kind)[1], True
                    assert gateway_endings.parse_answer(got) == expected, case_played
                else:
                    status = gateway_steps.status_of(got)
                    assert status is None or status >= 500, case_played
                    assert status is not None or transport.aborted, case_played
                assert world.gateway.open_calls == 0, case_played

    check()
