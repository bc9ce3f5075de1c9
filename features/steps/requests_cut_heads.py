"""Steps for heads that are cut, on the way from an engine or service to a caller."""

import json
import re
import types as plain_types

import behave
import hypothesis
from hypothesis import strategies
from twisted.internet import address, protocol, reactor, task
from twisted.internet.testing import StringTransport

from cicadaplank.daemons import http_requests
from cicadaplank.external import engines, http, services
from cicadaplank.messages import types
from features import entry_daemons, reactors
from features.steps import external_endings, gateway_endings
from features.steps import requests_silences as silences

AGENT = entry_daemons.AGENTS[0]
DIGEST = entry_daemons.DIGEST
LIMIT_S = 5.0
ATTEMPT = b"ATTEMPT"
HEAD = b"HTTP/1.1 200 OK\r\nX-Cicadaplank-Attempt: %b\r\n" % ATTEMPT
HEAD += b"X-Cicadaplank-Manifest: %b\r\n" % DIGEST.encode()
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
END = {"attempt": ATTEMPT.decode(), "total": 1, "manifest_digest": DIGEST}
TOKEN = {"attempt": ATTEMPT.decode(), "offset": 0}
BODIES = {
    "service call": b"the answer of a service",
    "completion": json.dumps({**END, "text": "whole"}).encode(),
    "stream": b"event: token\ndata: %b\n\nevent: end\ndata: %b\n\n"
    % (json.dumps(TOKEN).encode(), json.dumps(END).encode()),
}
LOADED = {"row": entry_daemons.ROW, "manifest_digest": DIGEST}
ALIVE = json.dumps(
    {
        **external_endings.LOAD,
        **external_endings.STATE,
        "models": [{**external_endings.LOADED, **LOADED}],
    }
).encode()
CASES = strategies.tuples(
    strategies.sampled_from(gateway_endings.FRAMINGS),
    strategies.sampled_from(("a close", "a reset")),
    strategies.integers(0, 2**16),
)
SETTINGS = hypothesis.settings(gateway_endings.SETTINGS, max_examples=40)


class ServerConnection(external_endings.ScriptedConnection):
    """Answers a request with the script, in which it names the request's attempt."""

    def dataReceived(self, data):
        """Cut the script and send it."""
        found = re.search(rb"(?i)x-cicadaplank-attempt: (\S+)", data)
        if found is None:
            # A probe, which finds that the server still runs.
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(ALIVE), ALIVE)
            )
            return
        attempt = found.group(1)
        build, cut, ending = self.factory.script
        script = build(attempt)
        if cut is not None:
            start = script.index(b"HTTP/1.1 200")
            head_bytes = script.index(b"\r\n\r\n", start) + 4 - start
            script = script[: start + cut % head_bytes]
        self.factory.script = (script, ending)
        super().dataReceived(data)


class Server(protocol.Factory):
    """Engine or service that answers as a script says."""

    noisy = False
    protocol = ServerConnection


class CallerTransport(StringTransport):
    """Transport of a caller that stays connected."""

    is_aborted = False

    def getHandle(self):
        """Return a socket without waiting bytes."""

        def recv(size, flags):
            raise BlockingIOError

        return plain_types.SimpleNamespace(recv=recv)

    def abortConnection(self):
        """Note that the connection was reset."""
        self.is_aborted = True


class Path:
    """A server, its agent and an entry instance with its HTTP front.

    :param kind: ``service call``, ``completion`` or ``stream``.
    :param port: port of the server.
    """

    def __init__(self, kind, port):
        self.kind = kind
        self.client = http.Client(reactor, f"http://127.0.0.1:{port}")
        is_service = kind == "service call"
        make = services.ServiceClient if is_service else engines.EngineClient
        self.agent = silences.Agent(
            "service" if is_service else "engine", reactor, make(self.client)
        )
        self.entry = entry_daemons.Entry()
        self.entry.configure(entry_daemons.row(holders=(AGENT,)))
        self.agent.send = lambda message: self.entry.receive(AGENT, message)
        self.site = http_requests.BoundedSite(self.entry.daemon.app.resource())
        self._passed = 0

    def _request(self, caller):
        version, _, method = caller.partition(" ")
        fields = f"Host: x\r\nX-Cicadaplank-Client: {entry_daemons.CLIENT}\r\n"
        if self.kind == "service call":
            path = f"/services/{entry_daemons.ROW}/x"
            return f"{method or 'GET'} {path} {version}\r\n{fields}\r\n".encode()
        document = {"model": entry_daemons.ROW, "prompt": "p"}
        document["stream"] = self.kind == "stream"
        body = json.dumps(document)
        fields += f"Content-Length: {len(body)}\r\n"
        return f"POST /v1/completions {version}\r\n{fields}\r\n{body}".encode()

    async def ask(self, caller):
        """Send a request; return what the caller got and whether it was ended."""
        transport = CallerTransport()
        channel = self.site.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
        channel.makeConnection(transport)
        channel.dataReceived(self._request(caller))
        serving = self.entry.daemon.serving
        assert serving.open_count == 1, transport.value()
        for _ in range(round(LIMIT_S / reactors.POLL_S)):
            works = self.entry.connections[AGENT].of(types.Work)
            for work in works[self._passed :]:
                self.agent.receive(work)
            self._passed = len(works)
            if not serving.open_count:
                break
            await task.deferLater(reactor, reactors.POLL_S)
            self.entry.run(entry_daemons.STEP_S)
        assert not self.entry.uncaught, self.entry.uncaught
        got = transport.value()
        channel.connectionLost()
        return got


def is_whole(got, caller):
    """Tell whether the bytes are one whole answer."""
    head, _, body = got.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    if caller.endswith("HEAD"):
        return bool(head) and not body
    if length is not None:
        return int(length.group(1)) == len(body)
    return body.endswith(b"0\r\n\r\n") or b"HTTP/1.0" in head


def script_of(kind, framing, before):
    """Return a function from the attempt that a request names to its answer."""

    def build(attempt):
        data = gateway_endings.framed(BODIES[kind].replace(ATTEMPT, attempt), framing)
        data = HEAD.replace(ATTEMPT, attempt) + data.partition(gateway_endings.HEAD)[2]
        return INTERIM + data if before == "after an interim response" else data

    return build


async def play(context, kind, before, caller):
    path = Path(kind, context.port)
    cases = []

    @SETTINGS
    @hypothesis.given(CASES)
    def draw(case):
        cases.append(case)

    draw()
    context.answers = []
    for framing, ending, cut in dict.fromkeys(cases):
        script = script_of(kind, framing, before)
        if before == "after another answer":
            kept = script_of(kind, "a length", before)
            context.server.script = (kept, None, "nothing")
            assert b" 200 " in (await path.ask(caller)).partition(b"\r\n")[0]
        context.server.script = (script, cut, ending)
        got = await path.ask(caller)
        context.answers.append(((framing, ending, cut), got))
    context.server.script = (script_of(kind, "chunks", before), None, "a close")
    context.whole = await path.ask(caller)
    await path.client.close()


@behave.given(
    "an engine or service, its agent and an entry instance with an HTTP front"
)
def step_path(context):
    def listen():
        context.server = Server()
        port = reactor.listenTCP(0, context.server, interface="127.0.0.1")
        context.cleanups.append(lambda: reactors.run(port.stopListening))
        context.port = port.getHost().port

    reactors.run(listen)


@behave.when(
    "a {kind} is cut at drawn bytes of its head {before}, asked for with {caller}"
)
def step_cut(context, kind, before, caller):
    context.caller = caller
    reactors.run(play, context, kind, before, caller)


@behave.then("no caller got a success, and each got a whole answer")
def step_no_success(context):
    assert len(context.answers) >= 20, len(context.answers)
    for case, got in context.answers:
        status = got.split(b" ", 2)[1]
        assert status.startswith(b"5"), (case, got)
        assert is_whole(got, context.caller), (case, got)


@behave.then("an answer that is not cut is passed on")
def step_passed_on(context):
    assert context.whole.split(b" ", 2)[1] == b"200", context.whole
    assert is_whole(context.whole, context.caller), context.whole
