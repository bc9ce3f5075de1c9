"""Steps for how answers to the clients of engines, services and stores end."""

import json
import socket
import struct
import tracemalloc

import behave
from twisted.internet import defer, protocol, reactor

from cicadaplank.cli import calls
from cicadaplank.external import errors, http
from cicadaplank.gateway import connections
from cicadaplank.platform import headers
from features import reactors
from features.steps import gateway as gateway_steps
from features.steps import gateway_endings
from features.steps import platform_clients as clients

LIMIT_S = 5.0
# Time-out of calls whose server falls silent.
SILENCE_S = 0.4
BLOCK_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nX-Cicadaplank-Attempt: %b\r\n" % clients.ATTEMPT.encode()
COMPLETION = {"attempt": clients.ATTEMPT, "total": 3, "manifest_digest": "d"}
LOADED = {"row": "m", "kind": "model", "version": "1", "base": ""}
LOADED |= {"manifest_digest": "d", "content_digest": "c"}
STATE = {"role": "both", "highest_token": 1, "models": [], "staged": {}}
STATE |= {"commands": []}
LOAD = {"running": 1, "waiting": 0, "capacity": 2, "measured_unix_s": 5.0}
STREAM = b"".join(clients.scripted_stream("all tokens and end"))
# Body of the answer to each call, and whether a part of it is told from the whole when
# it has neither a length nor chunks and its connection is closed.
BODIES = {
    "service call": (b"the answer of a service", False),
    "completion": (json.dumps(COMPLETION).encode(), True),
    "stream": (STREAM, True),
    "load weights": (json.dumps(LOADED).encode(), True),
    "engine state": (json.dumps(STATE).encode(), True),
    "engine load": (json.dumps(LOAD).encode(), True),
    "get chunk": (clients.CHUNK[:200], False),
    "get object": (b"value", False),
}
LOST = (errors.AnswerLost, errors.Unavailable)


class ScriptedConnection(protocol.Protocol):
    """Sends scripted bytes after the first bytes of a request, and ends as told."""

    def dataReceived(self, data):
        """Send the script."""
        script, self.factory.script = self.factory.script, None
        if script is None:
            return
        sent, ending = script
        self.transport.write(sent)
        if ending == "a close":
            self.transport.loseConnection()
        elif ending == "a reset":
            # A reset that takes no sent bytes back: they have to arrive first.
            reactor.callLater(0.001, self._reset)

    def _reset(self):
        linger = struct.pack("ii", 1, 0)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abortConnection()


class ScriptedServer(protocol.Factory):
    """Server of one connection at a time."""

    noisy = False
    protocol = ScriptedConnection
    script = None


def framed(body, framing):
    data = gateway_endings.framed(body, framing)
    return HEAD + data.partition(gateway_endings.HEAD)[2]


async def listen(context):
    context.server = ScriptedServer()
    port = reactor.listenTCP(0, context.server, interface="127.0.0.1")
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    context.address = f"http://127.0.0.1:{port.getHost().port}"


async def play(context, call, data, ending, timeout_s=LIMIT_S):
    """Return the result of a call, or the class of its error."""
    context.server.script = (data, ending)
    client = http.Client(reactor, context.address, timeout_s=timeout_s)
    kind, send, _ = clients.CALLS[call]
    try:
        return await send(clients.STANDINS[kind][1](client), timeout_s)
    except errors.PlatformError as error:
        return type(error)
    finally:
        await client.close()


async def check_cuts(context, call):
    body, is_told = BODIES[call]
    for framing in gateway_endings.FRAMINGS:
        data = framed(body, framing)
        whole = await play(context, call, data, "a close")
        assert not isinstance(whole, type), (framing, whole)
        for ending in ("a close", "a reset"):
            for cut in range(len(data)):
                got = await play(context, call, data[:cut], ending)
                case = (framing, ending, cut, data[:cut][-20:], got)
                _, separator, arrived = data[:cut].partition(b"\r\n\r\n")
                may_be_part = framing == "neither" and ending == "a close" and separator
                if may_be_part and not is_told:
                    found = getattr(got, "body", got)
                    assert found == arrived or got in LOST, case
                else:
                    # The end event of a stream may be complete before its framing.
                    is_ended = call == "stream" and arrived.count(b"\n\n") >= 4
                    assert got in LOST or (is_ended and got == whole), case


@behave.given("a server that answers as a script says")
def step_scripted(context):
    reactors.run(listen, context)


@behave.then(
    "an answer to the external call {call}, cut at any byte, fails or is whole"
)
def step_cut_external(context, call):
    reactors.run(check_cuts, context, call)


@behave.when("the answer to the external call {call}, with {framing}, ends by {ending}")
def step_external_ends(context, call, framing, ending):
    data = framed(BODIES[call][0], framing)
    if ending == "a time limit":
        data = data[:-3]
    context.result = reactors.run(play, context, call, data, ending, SILENCE_S)


@behave.then("the external call is {outcome}")
def step_external_outcome(context, outcome):
    is_lost = context.result in LOST
    assert is_lost == (outcome == "lost"), context.result


class EndlessConnection(protocol.Protocol):
    """Sends the same bytes as long as its client reads."""

    def dataReceived(self, data):
        """Begin to send."""
        if self.factory.is_sending:
            return
        self.factory.is_sending = True
        first, block, gap_s = self.factory.script
        self.block, self.gap_s = block, gap_s
        self.transport.write(first)
        self._more()

    def _more(self):
        if not self.transport.connected or self.factory.is_gone:
            return
        self.transport.write(self.block)
        self.factory.sent_bytes += len(self.block)
        reactor.callLater(self.gap_s, self._more)

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop sending."""
        self.factory.is_gone = True


class EndlessServer(protocol.Factory):
    """Server whose one answer never ends."""

    noisy = False
    protocol = EndlessConnection

    def __init__(self, script):
        self.script = script
        self.is_sending = self.is_gone = False
        self.sent_bytes = 0


def endless_script(part):
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "status line": (b"HTTP/1.1 200 ", b"O"),
        "header value": (HEAD + b"X-Long: ", b"x"),
        "headers": (HEAD, b"X-More: 1\r\n"),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "chunk extension": (chunked + b"5;", b"x"),
        "trailers": (chunked + b"5\r\n12345\r\n0\r\n", b"X-T: 1\r\n"),
        "body with a length": (HEAD + b"Content-Length: 9999999999\r\n\r\n", b"x"),
        "body in chunks": (chunked, gateway_steps.chunk(b"x" * 1000)),
        "body with neither": (HEAD + b"\r\n", b"x"),
        "error body": (b"HTTP/1.1 500 Failed\r\n\r\n", b"x"),
        "event": (HEAD + b"\r\nevent: token\ndata: ", b"x"),
        "comment": (HEAD + b"\r\n: ", b"x"),
    }[part]


async def play_endless(context, call, part, trickles):
    first, unit = endless_script(part)
    size = 1 if trickles else max(1, BLOCK_BYTES // len(unit))
    gap_s = 0.02 if trickles else 0.0
    server = context.server = EndlessServer((first, unit * size, gap_s))
    port = reactor.listenTCP(0, server, interface="127.0.0.1")
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    address = f"http://127.0.0.1:{port.getHost().port}"
    timeout_s = SILENCE_S if trickles else LIMIT_S
    options = {"max_answer_bytes": context.limit_bytes}
    client = http.Client(reactor, address, timeout_s=timeout_s, **options)
    kind, send, _ = clients.CALLS[call]
    start_s = reactor.seconds()
    tracemalloc.start()
    pending = defer.ensureDeferred(send_call(clients.STANDINS[kind][1](client), send))
    # Agents end a call at its deadline by cancelling it.
    pending.addTimeout(timeout_s, reactor, lambda result, _: errors.AnswerLost)
    context.result = await pending
    context.duration_s = reactor.seconds() - start_s
    await reactors.eventually(lambda: server.is_gone, "the connection ends")
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await client.close()


async def send_call(client, send):
    try:
        return await send(client, LIMIT_S)
    except errors.PlatformError as error:
        return type(error)


@behave.when("the external call {call} is answered by a {part} that {course}")
def step_external_endless(context, part, call, course):
    context.limit_bytes = 512 * 1024
    reactors.run(play_endless, context, call, part, course == "trickles")


@behave.then(
    "the endless answer is given up within the limits of bytes, time and memory"
)
def step_external_bounded(context):
    assert context.result in LOST, context.result
    assert context.duration_s <= LIMIT_S, context.duration_s
    # What lies in the sockets' buffers was sent and is never read.
    allowed_bytes = 2 * 1024 * 1024 + 8 * 1024 * 1024
    assert context.server.sent_bytes <= allowed_bytes, context.server.sent_bytes
    assert context.peak_bytes <= 3 * allowed_bytes, context.peak_bytes


CLI_STREAM = (
    b'data: {"token": "t"}\n\nevent: end\ndata: {"total": 1}\n\ndata: [DONE]\n\n'
)


async def play_command(context, data, ending):
    context.server.script = (data, ending)
    document = {"model": "m", "prompt": "p", "stream": True, "max_tokens": 1}
    return await calls._send(context.address, "client", document)


async def check_command_cuts(context):
    for framing in gateway_endings.FRAMINGS:
        data = framed(CLI_STREAM, framing)
        start = data.index(b"\r\n\r\n") + 4
        whole = await play_command(context, data, "a close")
        assert (whole["status"], whole["error"]) == (200, False), (framing, whole)
        for ending in ("a close", "a reset"):
            for cut in range(start, len(data)):
                try:
                    got = await play_command(context, data[:cut], ending)
                except errors.AnswerLost as fault:
                    # The reset came before the head of the answer was read.
                    assert ending == "a reset", (framing, cut, fault)
                    continue
                assert got["error"], (framing, ending, cut, got)


@behave.then("the request command takes no part of a stream for the whole")
def step_command_cuts(context):
    reactors.run(check_command_cuts, context)


class Receiver:
    """Receiver of an answer on a connection of the gateway."""

    def __init__(self):
        self.ended = defer.Deferred()
        self.body = b""

    def response_started(self, head):
        """Take the answer."""
        return True

    def response_data(self, data):
        """Keep a part of the body."""
        self.body += data

    def response_ended(self, end):
        """Note a complete answer."""
        self.ended.callback(end)

    def response_failed(self, end, reason):
        """Note a broken answer."""
        self.ended.callback(end)


async def receive(context, data, ending):
    context.server.script = (data, ending)
    host, _, port = context.address.removeprefix("http://").rpartition(":")
    pool = connections.ConnectionPool(
        reactor, headers.PlatformDialect(), host, int(port), 2
    )
    receiver = Receiver()
    pool.acquire(
        lambda connection: connection.send(b"GET / HTTP/1.1\r\n\r\n", receiver), print
    )
    context.end = await receiver.ended
    context.body = receiver.body
    pool.close()


@behave.when("{count:d} bytes of a body with {framing} are followed by {ending}")
def step_real_end(context, count, framing, ending):
    data = framed(b"x" * 100_000, framing)
    start = data.index(b"x" * 10)
    reactors.run(receive, context, data[: start + count], ending)


@behave.then("the gateway's connection has all of them and reports {termination}")
def step_real_termination(context, termination):
    assert context.end.termination.value == termination, context.end
    assert context.end.body_bytes == len(context.body) > 0, context.end
