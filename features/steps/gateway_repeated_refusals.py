"""Steps for earlier refusals that an endpoint writes once more."""

import behave
import hypothesis
from hypothesis import strategies
from twisted.internet import error

from cicadaplank.gateway import connections
from features.steps import gateway, gateway_endings

EARLIER = b"earlier"
STREAM = b"".join(gateway.event(number) for number in range(1, 4))
# Longer than endpoints that refused a call get no further ones.
BACK_OFF_S = 0.2
IDS = {
    "with this id": (gateway.ATTEMPT,),
    "with the earlier id": (EARLIER,),
    "without an id": (),
    "with an empty id": (b"",),
    "with both ids, this last": (EARLIER, gateway.ATTEMPT),
    "with both ids, this first": (gateway.ATTEMPT, EARLIER),
    "with this id, then empty": (gateway.ATTEMPT, b""),
}


def refusal(status, ids):
    """Return the bytes of a refusal.

    What it says of the endpoint is out of date as well; that the endpoint leaves is
    part of those without an identifier only.
    """
    lines = [b"HTTP/1.1 %d Refused" % status]
    lines += [b"X-Attempt-Id: " + identifier for identifier in IDS[ids]]
    lines += [b"X-Not-Executed: 1", b"Retry-After: 9", b"Server-Limit: 0"]
    if not IDS[ids]:
        lines.append(b"Server-Leaving: 1")
    return b"\r\n".join(lines) + b"\r\nContent-Length: 4\r\n\r\nfull"


def real_answer(world):
    """Return the bytes of the answer to the call in progress."""
    if not world.configuration.routes[0].is_stream:
        return gateway.answer()
    return gateway.stream_head() + gateway.chunk(STREAM) + b"0\r\n\r\n"


def send(world, attempt=gateway.ATTEMPT):
    """Send a call from a new caller.

    :returns: the connection that it was sent on.
    """
    for _, _, transport in world.sent:
        transport.clear()
    world.connect()
    request = world.request(body=b"call").replace(gateway.ATTEMPT, attempt)
    world.client.dataReceived(request)
    while world.has_dial:
        world.accept()
    found = [entry for entry in world.sent if entry[2].value().startswith(b"POST")]
    assert len(found) == 1, f"the call was sent {len(found)} times"
    return found[0][1]


def is_open(protocol):
    return not protocol.transport.disconnecting


def own_refusal(attempt):
    """Return the bytes of the refusal of an attempt, without other words."""
    extra = b"X-Not-Executed: 1\r\n"
    return gateway.answer(503, b"", signed=False, extra=extra, attempt=attempt)


def refuse(world, attempt):
    """Refuse a call on each endpoint, on connections that are kept."""
    protocol = send(world, attempt)
    head = own_refusal(attempt)
    protocol.dataReceived(head)
    if len(world.listed) > 1:
        world.accept_call()[0].dataReceived(head)
    assert gateway.status_of(world.client_transport.value()) == 503
    world.run(BACK_OFF_S)


@behave.given("a call with another id was refused on a connection that is kept")
def step_refused(context):
    refuse(context.world, EARLIER)


@behave.given("a call with this id was refused on a connection that is kept")
def step_same_refused(context):
    refuse(context.world, gateway.ATTEMPT)


@behave.when(
    "a call is sent on it and status {status:d} {ids} is written once more {moment}"
)
def step_written_again(context, status, ids, moment):
    world = context.world
    again, real = refusal(status, ids), real_answer(world)
    context.written_on = []
    if moment == "before the call":
        for _, protocol, _ in world.sent:
            protocol.dataReceived(again)
            context.written_on.append(protocol)
    elif moment == "with the answer before":
        protocol = send(world, b"before")
        protocol.dataReceived(real.replace(gateway.ATTEMPT, b"before") + again)
        context.written_on.append(protocol)
    protocol = send(world)
    if not context.written_on:
        context.written_on.append(protocol)
    if moment == "with the real answer":
        protocol.dataReceived(again + real)
        return
    if moment == "behind the real answer":
        protocol.dataReceived(real + again)
        return
    if moment == "in single bytes":
        for byte in again:
            protocol.dataReceived(b"%c" % byte)
    elif moment == "after an interim answer":
        protocol.dataReceived(b"HTTP/1.1 102 Processing\r\n\r\n" + again)
    elif moment == "after the call":
        protocol.dataReceived(again)
    if is_open(protocol):
        protocol.dataReceived(real)
    if moment == "after the real answer":
        protocol.dataReceived(again)


@behave.then("the caller has the real answer and the call was sent once")
def step_real(context):
    world = context.world
    body = STREAM if world.configuration.routes[0].is_stream else gateway.BODY
    assert not world.has_dial, "the call goes to another endpoint"
    sends = [t for _, _, t in world.sent if t.value().startswith(b"POST")]
    assert len(sends) == 1, f"the call was sent {len(sends)} times"
    got = gateway_endings.parse_answer(world.client_transport.value())
    assert got == (200, body, True), got


@behave.then("the endpoint gets the next call, on a new connection")
def step_next(context):
    world = context.world
    world.run(BACK_OFF_S)
    protocol = send(world)
    assert protocol not in context.written_on, "the connection is used again"
    protocol.dataReceived(real_answer(world))
    assert gateway.status_of(world.client_transport.value()) == 200


def end(world, protocol, ending):
    if ending == "silence":
        world.run(gateway.TIMEOUT_S + 0.2)
    else:
        lost = error.ConnectionDone if ending == "a close" else error.ConnectionLost
        gateway.lose(protocol, lost())
    world.run(BACK_OFF_S)


@behave.when(
    "a call is sent on it and status {status:d} {ids} is all that comes before {ending}"
)
def step_only_refusal(context, status, ids, ending):
    protocol = send(context.world)
    protocol.dataReceived(refusal(status, ids))
    end(context.world, protocol, ending)


@behave.then("the caller is told that the call may have run")
def step_may_have_run(context):
    got = context.world.client_transport.value()
    assert gateway.status_of(got) in (502, 504), got
    assert got.count(b"HTTP/1.1") == 1, got


@behave.when(
    "it is sent once more and its refusal is written once more on that connection"
)
def step_same_again(context):
    world = context.world
    ((_, first, _),) = world.sent
    protocol = send(world)
    if is_open(first):
        first.dataReceived(refusal(503, "with this id"))
    if is_open(protocol):
        protocol.dataReceived(real_answer(world))


@behave.when(
    "a call is sent on a new connection and refused by status {status:d} {ids}"
)
def step_new_connection(context, status, ids):
    send(context.world).dataReceived(refusal(status, ids))


@behave.then("the caller is told that the call was not run")
def step_not_run(context):
    got = context.world.client_transport.value()
    assert gateway.status_of(got) == 503, got


@behave.when(
    "a call is sent on a new connection and two refusals {ids} come before a close"
)
def step_two_refusals(context, ids):
    world = context.world
    protocol = send(world)
    kinds = ids.split(", then ") if ", then " in ids else [ids, ids]
    for kind in kinds:
        if is_open(protocol):
            protocol.dataReceived(refusal(503, kind))
    end(world, protocol, "a close")


@behave.when("a call without an id is refused by status {status:d} {ids}")
def step_call_without_id(context, status, ids):
    world = context.world
    protocol = send(world, b"")
    assert protocol is not world.sent[0][1], "it is sent on a connection that was used"
    protocol.dataReceived(refusal(status, ids))


@behave.when("as many calls as a connection remembers are refused on it")
def step_many_refused(context):
    context.used = []
    for number in range(connections.MAX_REFUSED_ATTEMPTS):
        attempt = b"call-%d" % number
        protocol = send(context.world, attempt)
        context.used.append(protocol)
        protocol.dataReceived(own_refusal(attempt))
        context.world.run(BACK_OFF_S)


@behave.then("it is closed, and the call before was sent on it")
def step_closed_at_bound(context):
    (protocol,) = set(context.used)
    assert not is_open(protocol)
    assert len(protocol.refused) == connections.MAX_REFUSED_ATTEMPTS


PIECES = {
    **{
        f"{status} {ids}": refusal(status, ids)
        for status in (503, 429, 421, 408, 400)
        for ids in IDS
        if ids != "with this id"
    },
    "another call's answer": gateway.answer(attempt=EARLIER),
    "an interim answer": b"HTTP/1.1 102 Processing\r\nX-Not-Executed: 1\r\n\r\n",
    "garbage": b"\x00 garbage\r\n",
    "an empty line": b"\r\n",
    "half a refusal": refusal(503, "without an id")[:40],
}
# Pieces behind which the answer to the call is still found.
SKIPPED = [name for name in PIECES if "garbage" not in name and "half" not in name]
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, database=None, deadline=None
)


def play_pieces(kind, names, size):
    """Return what a caller gets when pieces come before the answer, and a close after.

    :param names: keys of :data:`PIECES`.
    :param size: number of bytes that arrive at a time.
    """
    world = gateway.World(1, kind)
    refuse(world, EARLIER)
    protocol = send(world)
    data = b"".join(PIECES[name] for name in names) + real_answer(world)
    for start in range(0, len(data), size):
        if is_open(protocol):
            protocol.dataReceived(data[start : start + size])
    if not protocol.transport.aborted:
        gateway.lose(protocol, error.ConnectionDone())
    world.run(BACK_OFF_S)
    return gateway_endings.parse_answer(world.client_transport.value())


@behave.then(
    "a call that {kind} is not refused by refusals, garbage and answers in any order"
)
def step_any_order(context, kind):
    body = STREAM if "streams" in kind else gateway.BODY

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(sorted(PIECES)), max_size=4),
        strategies.sampled_from([1, 7, 50, 10_000]),
    )
    def check(names, size):
        status, got, is_whole = play_pieces(kind, names, size)
        if set(names) <= set(SKIPPED):
            assert (status, got, is_whole) == (200, body, True), (status, got)
        else:
            assert status in (200, 502, 504), (status, got)
            assert status != 200 or (got, is_whole) == (body, True), got

    check()
