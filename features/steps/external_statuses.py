"""Steps for responses whose status no server may send, on the agent path."""

import dataclasses

import behave
from twisted.internet import defer, reactor

from cicadaplank.external import errors, http
from cicadaplank.links import http_statuses
from cicadaplank.platform import client
from cicadaplank.world import settings
from features import entry_daemons, reactors
from features.steps import external_endings as endings
from features.steps import gateway_endings, requests_cut_heads
from features.steps import platform_clients as clients

STORE_CALL = "store call"
CALLS = (
    "service call",
    "completion",
    "stream",
    "load weights",
    "engine state",
    "get chunk",
    "get object",
    STORE_CALL,
)
# The server stays silent behind its bytes, so that a call that waits takes this long.
TIMEOUT_S = 2.0
AT_ONCE_S = 1.0
# Calls that only read may be repeated, so that a lost response does not matter.
READS = ("engine state", "get chunk", "get object")


def response(line, call, framing):
    """Return the bytes of the response to a call, with another status line."""
    body = b"{}" if call == STORE_CALL else endings.BODIES[call][0]
    return line + endings.framed(body, framing).removeprefix(b"HTTP/1.1 200 OK")


async def play(context, call, data):
    """Return the result of a call, or the class of its error, and its duration."""
    context.server.script = (data, "nothing")
    start_s = reactor.seconds()
    pending = defer.ensureDeferred(send(context, call))
    # Agents end a call at its deadline by cancelling it.
    pending.addTimeout(TIMEOUT_S, reactor, lambda result, _: "waits")
    return await pending, reactor.seconds() - start_s


async def send(context, call):
    try:
        if call == STORE_CALL:
            store = client.Client(reactor, context.address.removeprefix("http://"))
            return await store.call("POST", "/rows", body={})
        kind, send_call, _ = clients.CALLS[call]
        external = http.Client(reactor, context.address, timeout_s=TIMEOUT_S)
        return await send_call(clients.STANDINS[kind][1](external), TIMEOUT_S)
    except errors.PlatformError as error:
        return type(error)


async def check_lost(context, data_of, framings=gateway_endings.FRAMINGS):
    """Play a response to every call, and let each be lost at once.

    :param data_of: function from a call and a framing to bytes.
    """
    failed, count = {}, 0
    for call in CALLS:
        for framing in framings:
            count += 1
            result, after_s = await play(context, call, data_of(call, framing))
            allowed = endings.LOST if call in READS else (errors.AnswerLost,)
            if result not in allowed or after_s > AT_ONCE_S:
                failed[call, framing] = f"{result!r:.120} after {after_s:.2f} s"
    lines = "\n".join(f"{case}: {fault}" for case, fault in failed.items())
    assert not failed, f"{len(failed)} of {count} cases failed\n{lines}"


@behave.then('the status line "{line}" makes every external call lost at once')
def step_lost(context, line):
    line = line.replace("TAB", "\t").encode()
    reactors.run(
        check_lost, context, lambda call, framing: response(line, call, framing)
    )


@behave.then(
    "a {status} with a body and {framing} before a response makes calls lost at once"
)
def step_body_before(context, status, framing):
    line = b"HTTP/1.1 %b X" % status.encode()

    def data_of(call, response_framing):
        return response(line, call, framing) + response(
            b"HTTP/1.1 200 OK", call, response_framing
        )

    reactors.run(check_lost, context, data_of, ("a length", "chunks"))


@behave.then(
    "a response behind one with {status} is the whole one for every external call"
)
def step_interim(context, status):
    interim = b"HTTP/1.1 %b X\r\nX-Interim: 1\r\n\r\n" % status.encode()

    async def check():
        for call in CALLS:
            whole = response(b"HTTP/1.1 200 OK", call, "a length")
            expected, _ = await play(context, call, whole)
            assert not isinstance(expected, type), (call, expected)
            found, _ = await play(context, call, interim + whole)
            assert found == expected, (call, found, expected)

    reactors.run(check)


async def count_connections(context, status, framing):
    """Return how many connections two reads with the same response take."""
    connections = []
    build = context.server.buildProtocol

    def build_protocol(address):
        connections.append(address)
        return build(address)

    context.server.buildProtocol = build_protocol
    line = b"HTTP/1.1 %d X" % status
    data = line + b"\r\nContent-Length: 0\r\n\r\n"
    if framing != "no body":
        data = response(line, "get object", framing)
    if status in http_statuses.STATUSES_WITHOUT_BODY:
        data = data[: data.index(b"\r\n\r\n") + 4]
    external = http.Client(reactor, context.address, timeout_s=TIMEOUT_S)
    for _ in range(2):
        context.server.script = (data, "nothing")
        got = await external.send("GET", "/read")
        assert got.status == status, got
    await external.close()
    return len(connections)


@behave.then(
    "two reads answered by {status:d} with {framing} take {count:d} connections"
)
def step_connections(context, status, framing, count):
    found = reactors.run(count_connections, context, status, framing)
    assert found == count, found


async def ask(context, kind, caller, line):
    path = requests_cut_heads.Path(kind, context.port)
    if not context.is_repeatable:
        once = settings.OnceCall(entry_daemons.ROW, "POST", "/")
        daemon = path.entry.daemon
        daemon.settings = dataclasses.replace(daemon.settings, once_calls=(once,))
    context.results = []
    for framing in gateway_endings.FRAMINGS:
        whole = requests_cut_heads.script_of(kind, framing, "on a new connection")

        def build(attempt, whole=whole):
            return line + whole(attempt).removeprefix(b"HTTP/1.1 200 OK")

        context.server.script = (build, None, "nothing")
        start_s = reactor.seconds()
        got = await path.ask(caller)
        context.results.append((framing, got, reactor.seconds() - start_s))
    await path.client.close()


@behave.when(
    'a {kind} asked for with {caller} is answered with the status line "{line}"'
)
def step_ask(context, kind, caller, line):
    context.is_repeatable = not caller.endswith("POST")
    reactors.run(ask, context, kind, caller, line.encode())


@behave.then("the caller is told at once that it may have run")
def step_told(context):
    for framing, got, after_s in context.results:
        case = (framing, got, round(after_s, 2))
        head = got.partition(b"\r\n\r\n")[0].lower()
        assert got, case
        status = got.split(b" ", 2)[1]
        assert status.startswith(b"5"), case
        assert context.is_repeatable or status == b"502", case
        assert b"x-cicadaplank-verdict: may_have_run" in head, case
        assert after_s <= AT_ONCE_S, case
