"""Steps for answers of endpoints whose status no server may send."""

import itertools

import behave

from features.steps import gateway as gateway_steps
from features.steps import gateway_cut_heads as cut_heads
from features.steps import gateway_endings

# Time until a call at a silent endpoint has ended.
LIMIT_S = gateway_steps.TIMEOUT_S + 0.5
MARKS = {
    "signed": b"X-Server-Signature: s.1\r\n",
    "unsigned": b"",
    "not executed": b"X-Not-Executed: 1\r\n",
    "signed, not executed": b"X-Server-Signature: s.1\r\nX-Not-Executed: 1\r\n",
}
FRAMINGS = (*gateway_endings.FRAMINGS, "HEAD")
PLACES = ("a call", "a call in single bytes", "a kept connection")


def head(line, mark):
    """Return the status line and headers of an answer, without its framing."""
    attempt = b"X-Attempt-Id: %b\r\n" % gateway_steps.ATTEMPT
    return line + b"\r\n" + attempt + MARKS[mark]


def odd_answer(line, mark, framing, body):
    """Return the bytes of an answer with a status line."""
    tail = gateway_endings.framed(body, "a length" if framing == "HEAD" else framing)
    tail = tail.partition(gateway_endings.HEAD)[2]
    if framing == "HEAD":
        tail = tail.removesuffix(body)
    return head(line, mark) + tail


def send(world, kind, place, framing):
    """Send a call, on a new connection or a kept one, and return the connection."""
    if place == "a kept connection":
        # One call for each endpoint, so that each has a connection.
        for attempt in [cut_heads.FIRST + b"%d" % n for n in range(len(world.listed))]:
            world.client.dataReceived(cut_heads.request(world, "a call", attempt))
            protocol, _ = cut_heads.accept_new(world)
            protocol.dataReceived(cut_heads.whole_answer(kind, attempt)[0])
            world.run(gateway_steps.STEP_S)
            assert gateway_steps.status_of(world.client_transport.take()) == 200
    case = "a HEAD call" if framing == "HEAD" else "a call"
    world.client.dataReceived(cut_heads.request(world, case))
    found = next_call(world)
    assert found is not None, "no endpoint was sent the call"
    assert place != "a kept connection" or world.dialled == len(world.listed)
    return found


def next_call(world):
    """Return the connection on which a call was sent last, None without one."""
    while world.has_dial:
        world.accept()
    for _, protocol, transport in world.sent:
        if transport.take().endswith(b"call"):
            return protocol, transport
    return None


def send_elsewhere(world, kind, until_s):
    """Answer the call at the other endpoint once it is sent there."""
    other = None
    while other is None and not world.client_transport.value():
        if world.reactor.seconds() > until_s:
            return
        world.run(gateway_steps.STEP_S)
        other = next_call(world)
    if other is not None:
        other[0].dataReceived(cut_heads.whole_answer(kind)[0])
        world.run(gateway_steps.STEP_S)


def client_faults(kind, framing, got, after_s):
    """Return what is wrong with what a caller got."""
    status = gateway_steps.status_of(got)
    found = []
    if kind not in cut_heads.REPEATED:
        text = b"" if framing == "HEAD" else b"may have run"
        is_told = status == 502 and text in got and b"Server-Signature" not in got
        if not is_told:
            found.append("the caller is not told that the call may have run")
        if after_s > 0.0:
            found.append("the call waits")
        return found
    if framing == "HEAD":
        is_whole = status == 200 and got.endswith(b"\r\n\r\n")
    else:
        expected = 200, cut_heads.whole_answer(kind)[1], True
        is_whole = gateway_endings.parse_answer(got) == expected
    if not is_whole:
        found.append("the caller has not the whole answer of the other endpoint")
    # One step until it is sent again, and one after the other answer.
    if after_s > 2.5 * gateway_steps.STEP_S:
        found.append("the call waits")
    return found


def faults(kind, place, framing, data):
    """Return what is wrong after an endpoint has sent what is no answer."""
    world = gateway_steps.World(2, kind)
    protocol, transport = send(world, kind, place, framing)
    sent_s = world.reactor.seconds()
    size = 1 if place == "a call in single bytes" else len(data)
    for start in range(0, len(data), size):
        if not transport.disconnecting:
            protocol.dataReceived(data[start : start + size])
    found = []
    if not transport.aborted:
        found.append("the connection stays open")
    if not any(name == "attempt_failed" for name, _ in world.reporter.events):
        found.append("the endpoint has not failed")
    client = world.client_transport
    if kind in cut_heads.REPEATED:
        send_elsewhere(world, kind, sent_s + LIMIT_S)
    while not client.value() and world.reactor.seconds() <= sent_s + LIMIT_S:
        world.run(gateway_steps.STEP_S)
    after_s = world.reactor.seconds() - sent_s
    got = client.value()
    found += client_faults(kind, framing, got, after_s)
    if got.count(b"HTTP/1.") > 1:
        found.append("the caller has two answers")
    if world.gateway.open_calls:
        found.append("the call has not ended")
    if not found:
        return ""
    return f"{', '.join(found)}: {gateway_steps.status_of(got)} after {after_s:.2f} s"


def check(data_of):
    """Play an odd answer in every framing, with every mark and on every route.

    :param data_of: function from mark, framing and body to bytes, None for a case that
        does not exist.
    """
    failed, count = {}, 0
    for kind, place, framing, mark in itertools.product(
        gateway_steps.KINDS, PLACES, FRAMINGS, MARKS
    ):
        if place == "a kept connection" and kind not in cut_heads.REPEATED:
            continue
        is_stream = "streams" in kind
        body = gateway_endings.STREAM if is_stream else gateway_steps.BODY
        data = data_of(mark, framing, body)
        if data is None:
            continue
        count += 1
        fault = faults(kind, place, framing, data)
        if fault:
            failed[kind, place, framing, mark] = fault
    lines = "\n".join(f"{case}: {fault}" for case, fault in failed.items())
    assert not failed, f"{len(failed)} of {count} cases failed\n{lines}"


@behave.then(
    'the status line "{line}" gives no caller an answer, in any framing',
)
def step_no_answer(context, line):
    line = line.replace("TAB", "\t").encode()
    check(lambda mark, framing, body: odd_answer(line, mark, framing, body))


@behave.then("an answer {status} with a body and {framing} before another one is none")
def step_interim_with_body(context, status, framing):
    line = b"HTTP/1.1 %b Interim" % status.encode()

    def data_of(mark, answer_framing, body):
        if answer_framing == "HEAD":
            return None
        return odd_answer(line, mark, framing, body) + odd_answer(
            b"HTTP/1.1 200 OK", "signed", answer_framing, body
        )

    check(data_of)


@behave.then(
    "a status {status} without a body, followed by an answer, gives a caller {got}"
)
def step_followed(context, status, got):
    line = b"HTTP/1.1 %b X" % status.encode()

    def data_of(mark, framing, body):
        return (
            head(line, mark)
            + b"\r\n"
            + odd_answer(b"HTTP/1.1 200 OK", "signed", framing, body)
        )

    if got == "no part of either":
        check(data_of)
        return
    for kind, mark in itertools.product(gateway_steps.KINDS, MARKS):
        world = gateway_steps.World(1, kind)
        whole, body = cut_heads.whole_answer(kind)
        protocol, _ = send(world, kind, "a call", "a length")
        protocol.dataReceived(head(line, mark) + b"\r\n" + whole)
        found = gateway_endings.parse_answer(world.client_transport.value())
        assert found == (200, body, True), (kind, mark, found)


@behave.then("an answer {status} with a body in {framing} reaches its caller {share}")
def step_final_with_body(context, status, framing, share):
    line = b"HTTP/1.1 %b X" % status.encode()
    body = gateway_steps.BODY
    data = odd_answer(line, "signed", framing, body)
    start = data.index(b"\r\n\r\n") + 4
    # A server error is not passed on while the call may be repeated.
    kinds = (
        ["runs once only"] if int(status) >= 500 else ["may repeat", "runs once only"]
    )
    for kind, parts in itertools.product(
        kinds, ((data,), (data[:start], data[start:]))
    ):
        world = gateway_steps.World(1, kind)
        protocol, transport = send(world, kind, "a call", framing)
        protocol.dataReceived(parts[0])
        if share == "as it is":
            for part in parts[1:]:
                protocol.dataReceived(part)
        found = gateway_endings.parse_answer(world.client_transport.value())
        if share == "as it is":
            assert found == (int(status), body, True), (kind, parts, found)
            continue
        got = world.client_transport.value()
        assert found[0] == int(status), (kind, parts, got)
        assert got.endswith(b"\r\n\r\n") and got.count(b"HTTP/1.") == 1, got
        names = [line.split(b":")[0].lower() for line in got.split(b"\r\n")]
        assert b"content-length" not in names, (kind, got)
        assert b"transfer-encoding" not in names, (kind, got)
        assert transport.disconnecting, (kind, parts, "the connection stays open")


@behave.when('the other endpoint sends the status line "{line}" for event 3')
def step_rest(context, line):
    protocol, transport = context.world.accept_call()
    data = odd_answer(line.encode(), "signed", "chunks", gateway_endings.STREAM)
    protocol.dataReceived(data)
    assert transport.aborted, "the connection stays open"


@behave.then(
    'the status line "{line}" of the {place} of two attempts leaves the other one'
)
def step_two_attempts(context, line, place):
    for kind, mark in itertools.product(cut_heads.REPEATED, MARKS):
        world = gateway_steps.World(2, kind)
        connections = [send(world, kind, "a call", "a length")]
        world.run(cut_heads.SECOND_S)
        connections.append(next_call(world))
        if place == "second":
            connections.reverse()
        (odd, odd_transport), (other, _) = connections
        whole, body = cut_heads.whole_answer(kind)
        odd.dataReceived(odd_answer(line.encode(), mark, "a length", body))
        assert odd_transport.aborted, (kind, mark, "the connection stays open")
        assert not world.client_transport.value(), (kind, mark)
        other.dataReceived(whole)
        found = gateway_endings.parse_answer(world.client_transport.value())
        assert found == (200, body, True), (kind, mark, found)
        assert world.gateway.open_calls == 0, (kind, mark)
