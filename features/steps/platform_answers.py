"""Steps for the answers of the store, the model server and the origin of weights."""

import json
import tracemalloc

import behave
from twisted.internet import defer, error, testing
from twisted.python import failure

from cicadaplank.external import errors
from cicadaplank.gateway import positions
from cicadaplank.platform import client, servers, store
from cicadaplank.replicas import loading
from features.steps import gateway as gateway_steps
from features.steps import gateway_endings, gateway_endless

# Longer than the time-out of every call, a long poll of 2 s included.
LIMIT_S = 10.0
ROWS = {
    "rows": [{"table": "op", "part": "", "key": "k", "value": "dg==", "ver": 3}],
    "has_more": False,
    "ver": 7,
}
MANIFEST = {"model": "m", "version": 2, "chunk_bytes": 3, "digests": ["ab" * 32]}
REPORT = {"models": [{"name": "m", "version": 1}], "busy": False, "seq": 2, "born": 5}
POSITION = positions.Position(0, 3)
ORDER = loading.Order(loading.Target("m", 2, 0.0), 2)


def platform_store(made):
    return store.Store(made)


# Each call with the body of its answer, and whether the body is needed.
CALLS = {
    "snapshot": (lambda c: platform_store(c).snapshot("op"), ROWS, True),
    "changes": (lambda c: platform_store(c).changes("op", POSITION, 2.0), ROWS, True),
    "row written": (
        lambda c: platform_store(c).put("entries", "k", b"v"),
        {"ver": 8},
        True,
    ),
    "instances": (
        lambda c: store.InstanceRegistry(platform_store(c)).instances(),
        ROWS,
        True,
    ),
    "engine report": (lambda c: servers.ModelServer(c).state(), REPORT, True),
    "piece staged": (
        lambda c: servers.ModelServer(c).put_piece("m", 0, b"abc"),
        b"",
        False,
    ),
    "staged piece": (lambda c: servers.ModelServer(c).piece("m", 0), b"abc", True),
    "order": (lambda c: servers.ModelServer(c).load(ORDER), {"seq": 3}, False),
    "manifest": (lambda c: servers.Origin(c).manifest("m", 2), MANIFEST, True),
    "piece": (lambda c: servers.Origin(c).piece("m", 2, 0), b"abc", True),
}
PIECES = ("staged piece", "piece")


class PlatformCall:
    """One call in progress on a connection in memory."""

    def __init__(self, call):
        self.reactor = testing.MemoryReactorClock()
        made = client.Client(self.reactor, "10.0.0.9:80")
        self.results = []
        pending = defer.Deferred.fromCoroutine(CALLS[call][0](made))
        pending.addBoth(self.results.append)
        factory = self.reactor.tcpClients[0][2]
        self.protocol = factory.buildProtocol(None)
        self.transport = gateway_steps.Transport()
        self.protocol.makeConnection(self.transport)

    def end(self, ending):
        """End the answer by a close, a reset or the silence of the server."""
        if ending == "a time limit":
            self.reactor.advance(LIMIT_S)
        elif not self.transport.disconnecting:
            cause = (
                error.ConnectionDone if ending == "a close" else error.ConnectionLost
            )
            self.protocol.connectionLost(failure.Failure(cause()))

    def outcome(self):
        """Return the result of the call, or the class of its error."""
        (result,) = self.results
        if isinstance(result, failure.Failure):
            assert result.check(errors.PlatformError), result.getTraceback()
            return type(result.value)
        return result


def body_of(call):
    body = CALLS[call][1]
    return body if isinstance(body, bytes) else json.dumps(body).encode()


def play(call, data, ending):
    """Return the outcome of a call whose answer has these bytes and this end."""
    played = PlatformCall(call)
    played.protocol.dataReceived(data)
    if not played.results:
        played.end(ending)
    return played.outcome()


@behave.then("an answer to the call {call}, cut at any byte, fails it or is whole")
def step_cut_platform(context, call):
    body, needs_body = body_of(call), CALLS[call][2]
    for framing in gateway_endings.FRAMINGS:
        data = gateway_endings.framed(body, framing)
        expected = play(call, data, "a close")
        assert not isinstance(expected, type), (framing, expected)
        for ending in gateway_endings.ENDINGS:
            for cut in range(len(data)):
                got = play(call, data[:cut], ending)
                case = (framing, ending, cut, got)
                arrived = data[:cut].partition(b"\r\n\r\n")
                if framing == "neither" and ending == "a close" and arrived[1]:
                    if call in PIECES:
                        # The digest in the manifest tells a short piece.
                        assert got == arrived[2], case
                    elif needs_body:
                        assert got is errors.AnswerLost, case
                    else:
                        assert got == expected, case
                else:
                    assert got is errors.AnswerLost, case


@behave.when("the answer to the call {call} has {content}")
def step_content(context, call, content):
    bodies = {
        "deeply nested JSON": b"[" * 200_000,
        "nested JSON in a field": b'{"rows": ' + b"[" * 200_000,
        "fields of other types": json.dumps(
            {"models": 3, "seq": [1], "born": "x", "rows": 7, "ver": "x"}
        ).encode(),
        "numbers without end": b'{"seq": 1e999, "born": 1e999, "ver": 1e999}',
    }
    data = gateway_endings.framed(bodies[content], "a length")
    context.outcome = play(call, data, "a close")


@behave.then("the call fails as lost")
def step_lost(context):
    assert context.outcome is errors.AnswerLost, context.outcome


@behave.when("the {part} of an answer to the call {call} never ends")
def step_endless_platform(context, part, call):
    played = context.played = PlatformCall(call)
    context.transport = played.transport
    context.limit_bytes = gateway_endless.LIMITS_BYTES[part]
    if part.startswith("body"):
        context.limit_bytes = client.MAX_ANSWER_BYTES
        if call in PIECES:
            context.limit_bytes = servers.MAX_PIECE_ANSWER_BYTES
        elif call == "manifest":
            context.limit_bytes = servers.MAX_MANIFEST_BYTES
        elif call not in ("snapshot", "changes", "instances"):
            context.limit_bytes = client.MAX_SMALL_ANSWER_BYTES
        context.limit_bytes *= 1.1
    context.fed_bytes, context.peak_bytes = gateway_endless.feed_endless(
        played.protocol, played.transport, part, context.limit_bytes
    )


@behave.when("the {part} of an answer to the call {call} trickles")
def step_trickle_platform(context, part, call):
    played = context.played = PlatformCall(call)
    first, repeated = gateway_endless.ENDLESS[part]
    played.protocol.dataReceived(first) if first else None
    unit = repeated if len(repeated) < 100 else repeated[:1]
    for _ in range(round(LIMIT_S / gateway_steps.STEP_S)):
        played.reactor.advance(gateway_steps.STEP_S)
        if played.transport.disconnecting:
            return
        played.protocol.dataReceived(unit)


@behave.then("the call has failed as lost and its connection is broken off")
def step_lost_and_closed(context):
    assert context.played.outcome() is errors.AnswerLost
    assert context.played.transport.aborted


@behave.when("{count:d} answers of the store without end arrive at once")
def step_many_platform(context, count):
    reactor = testing.MemoryReactorClock()
    made = client.Client(reactor, "10.0.0.9:80")
    pending = []
    for number in range(count):
        pending.append(defer.Deferred.fromCoroutine(store.Store(made).snapshot("op")))
        pending[-1].addErrback(lambda lost: lost.trap(errors.AnswerLost))
        protocol = reactor.tcpClients[number][2].buildProtocol(None)
        protocol.makeConnection(gateway_steps.Transport())
        protocol.dataReceived(gateway_endless.ENDLESS["body with neither"][0])
        pending[-1].protocol = protocol
    block = b"x" * (1024 * 1024)
    tracemalloc.start()
    for _ in range(client.MAX_ANSWER_BYTES // len(block) - 1):
        for each in pending:
            if not each.protocol.transport.disconnecting:
                each.protocol.dataReceived(block)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
