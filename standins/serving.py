"""What every stand-in shares: faults, counters, replies and listening."""

import asyncio
import dataclasses
import json
import random
import sys
import time

import fire
import klein
from twisted.internet import defer, reactor, task
from twisted.protocols import policies
from twisted.web import server

LOOPBACK = "127.0.0.1"
SENDER_HEADER = "X-Cicadaplank-Sender"
MAX_FAULTS = 100


@dataclasses.dataclass
class Fault:
    """One fault that the stand-in shows.

    :param kind: name of the fault.
    :param path: only requests whose path starts with this text.
    :param senders: only requests of these senders; empty for all.
    :param text: only requests whose body contains this text.
    :param count: requests that it still affects, -1 for no end.
    :param share: probability that it affects a request, from 0 to 1.
    :param delay_s: duration, for faults that have one.
    """

    kind: str
    path: str = ""
    senders: tuple = ()
    text: str = ""
    count: int = -1
    share: float = 1.0
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Reply:
    """Reply of a route.

    :param status: HTTP status.
    :param body: bytes, or a value that is sent as JSON.
    :param headers: further headers.
    """

    status: int
    body: object
    headers: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Call:
    """One request to a stand-in."""

    request: object
    sender: str
    path: str
    body: bytes

    def json(self):
        """Return the body as a JSON object.

        :raises ValueError: when it is not one.
        """
        value = json.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("the body must be a JSON object")
        return value

    def header(self, name, default=""):
        """Return a request header as text."""
        value = self.request.getHeader(name)
        return default if value is None else value

    def argument(self, name, default=""):
        """Return a query argument as text."""
        values = self.request.args.get(name.encode(), [default.encode()])
        return values[0].decode()


class StandIn:
    """A stand-in that serves HTTP on one loopback port.

    Faults common to all: ``refuse`` (503, no effect), ``drop`` (connection closed, no
    effect), ``delay`` (``delay_s`` before the effect), ``lose_response`` (connection
    closed after the effect), ``hang`` (no response after the effect) and ``corrupt``
    (one byte of the body of the response is changed).

    :param kinds: names of further faults that the stand-in knows.
    :param seed: seed of the random choices.
    :param clock: function that returns the Unix time in seconds.
    """

    COMMON_KINDS = ("refuse", "drop", "delay", "lose_response", "hang", "corrupt")

    def __init__(self, kinds=(), seed=0, clock=time.time):
        self.app = klein.Klein()
        self.counters = {}
        self.port = None
        self.now = clock
        self._kinds = self.COMMON_KINDS + tuple(kinds)
        self._faults = []
        self._random = random.Random(seed)
        self._listener = None
        self._factory = None
        self.app.route("/faults", methods=["POST"], endpoint="faults")(self._set_faults)
        self.app.route("/faults", methods=["GET"], endpoint="shown")(self._show_faults)
        self.app.route("/counters", endpoint="counters")(self._show_counters)

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def route(self, method, path, handler):
        """Serve a route to which the faults apply.

        :param method: HTTP method.
        :param path: werkzeug rule.
        :param handler: called with :class:`Call` and the parts of the path; returns
            :class:`Reply`, a coroutine of one, or None when it has written itself.
        """

        async def serve(request, **parts):
            return await self._serve(request, handler, parts)

        endpoint = f"{method} {path}"
        self.app.route(path, methods=[method], endpoint=endpoint)(serve)

    def fault(self, kind, call):
        """Return the first fault of a kind that affects a request, and use it up.

        :param kind: name of the fault.
        :param call: :class:`Call`.
        :returns: :class:`Fault` or None.
        """
        for fault in self._faults:
            if fault.kind != kind or not call.path.startswith(fault.path):
                continue
            if fault.senders and call.sender not in fault.senders:
                continue
            if fault.text.encode() not in call.body or fault.count == 0:
                continue
            if self._random.random() >= fault.share:
                continue
            fault.count -= 1 if fault.count > 0 else 0
            self.count(f"fault_{kind}")
            return fault
        return None

    def act(self, fault):
        """Carry out a fault that happens at once; stand-ins override it.

        :param fault: :class:`Fault`.
        :returns: True when the fault needs no entry in the list.
        """
        return False

    def set_faults(self, document):
        """Replace the faults.

        :param document: ``{"faults": [{"kind": ...}, ...]}``.
        :raises ValueError: when the document names an unknown kind or field.
        """
        entries = document.get("faults")
        if not isinstance(entries, list) or len(entries) > MAX_FAULTS:
            raise ValueError(f"faults must be a list of at most {MAX_FAULTS}")
        faults = [self._parse(entry) for entry in entries]
        self._faults = [fault for fault in faults if not self.act(fault)]

    def listen(self, port=0):
        """Listen on loopback.

        :param port: TCP port, 0 for one from the kernel.
        :returns: the port.
        """
        self._factory = policies.WrappingFactory(server.Site(self.app.resource()))
        self._factory.noisy = False
        self._listener = reactor.listenTCP(port, self._factory, interface=LOOPBACK)
        self.port = self._listener.getHost().port
        return self.port

    def stop(self):
        """Stop listening and close every connection.

        :returns: Deferred that fires when the port is free.
        """
        listener, self._listener = self._listener, None
        if listener is None:
            return defer.succeed(None)
        for protocol in list(self._factory.protocols):
            protocol.transport.abortConnection()
        return defer.maybeDeferred(listener.stopListening)

    def _parse(self, entry):
        if not isinstance(entry, dict) or entry.get("kind") not in self._kinds:
            raise ValueError(f"kind must be one of {', '.join(self._kinds)}")
        try:
            fault = Fault(**entry)
        except TypeError as error:
            raise ValueError(str(error)) from error
        fault.senders = tuple(fault.senders)
        return fault

    def _set_faults(self, request):
        try:
            document = json.loads(request.content.read())
            self.set_faults(document if isinstance(document, dict) else {})
        except ValueError as error:
            return _send(request, Reply(400, {"error": str(error)}))
        return self._show_faults(request)

    def _show_faults(self, request):
        faults = [dataclasses.asdict(fault) for fault in self._faults]
        return _send(request, Reply(200, {"faults": faults}))

    def _show_counters(self, request):
        return _send(request, Reply(200, self.counters))

    async def _serve(self, request, handler, parts):
        sender = request.getHeader(SENDER_HEADER) or ""
        call = Call(request, sender, request.path.decode(), request.content.read())
        self.count("requests")
        if self.fault("drop", call):
            return await _close(request)
        if self.fault("refuse", call):
            return _send(request, unavailable("refused by a fault"))
        delay = self.fault("delay", call)
        if delay:
            await sleep(delay.delay_s)
        try:
            reply = handler(call, **parts)
            if asyncio.iscoroutine(reply):
                reply = await reply
        except (ValueError, KeyError, TypeError) as error:
            reply = Reply(400, {"error": f"bad request: {error}"})
        if self.fault("lose_response", call):
            return await _close(request)
        if self.fault("hang", call):
            return await defer.Deferred()
        if reply is None:
            return None
        return _send(request, self._corrupted(reply, call))

    def _corrupted(self, reply, call):
        if not isinstance(reply.body, bytes) or not reply.body:
            return reply
        if not self.fault("corrupt", call):
            return reply
        body = bytearray(reply.body)
        body[self._random.randrange(len(body))] ^= 0xFF
        return dataclasses.replace(reply, body=bytes(body))


def unavailable(reason, retry_after_s=1.0):
    """Return the reply of a stand-in that did nothing.

    :param reason: short text.
    :param retry_after_s: seconds.
    :returns: :class:`Reply`.
    """
    headers = {"Retry-After": f"{retry_after_s:g}"}
    return Reply(503, {"error": "unavailable", "reason": reason}, headers)


def _send(request, reply):
    request.setResponseCode(reply.status)
    for name, value in reply.headers.items():
        request.setHeader(name, value)
    if isinstance(reply.body, bytes):
        return reply.body
    request.setHeader("Content-Type", "application/json")
    return json.dumps(reply.body).encode()


async def _close(request):
    close_connection(request)
    await defer.Deferred()


def close_connection(request):
    """Close the connection of a request without a further byte.

    :param request: Twisted request.
    """
    request.channel.loseConnection()


async def sleep(delay_s):
    """Wait, also when the caller has gone: what it asked for still takes effect.

    :param delay_s: seconds.
    """
    end_s = time.monotonic() + delay_s
    while (left_s := end_s - time.monotonic()) > 0:
        try:
            await task.deferLater(reactor, left_s)
        except defer.CancelledError:
            continue


def named_ports(text):
    """Read ``name:port,...``.

    :param text: text, or the tuple that ``fire`` makes of a list with commas.
    :returns: list of ``(name, port)``.
    :raises ValueError: when an element has no port.
    """
    if not isinstance(text, str):
        text = ",".join(text)
    pairs = []
    for element in text.split(","):
        name, colon, port = element.rpartition(":")
        if not colon or not port.isdigit():
            raise ValueError(f"{element!r} is not name:port")
        pairs.append((name, int(port)))
    return pairs


def run(standins):
    """Serve stand-ins until the process is stopped.

    Prints one line ``standin=NAME port=PORT`` for each when all listen.

    :param standins: list of ``(name, stand-in, port)``.
    """
    for name, standin, port in standins:
        standin.listen(port)
        print(f"standin={name} port={standin.port}")
    sys.stdout.flush()
    reactor.run()


def start(main):
    """Run a stand-in's ``main`` with the arguments of the command line.

    :param main: function; a ValueError that it raises ends the process with exit code
        2 and its message.
    """
    try:
        fire.Fire(main)
    except ValueError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(2)
