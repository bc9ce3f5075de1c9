"""Steps for requests to the HTTP port of a process whose body never ends."""

import behave
from twisted.internet import protocol, reactor
from twisted.web import resource

from cicadaplank.daemons import http_requests
from features import reactors
from features.steps import gateway as gateway_steps

MEBIBYTE = 1024 * 1024
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"


class Page(resource.Resource):
    """Page that notes how much of a body it has."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.kept_bytes = None

    def render_POST(self, request):
        """Note the size of the body."""
        self.kept_bytes = len(request.content.read())
        return b"answer"


class Caller(protocol.Protocol):
    """Caller that sends a block again and again while it is connected."""

    def connectionMade(self):
        """Begin to send."""
        self.received = b""
        self.sent_bytes = 0
        self.closed_s = None
        self.started_s = reactor.seconds()
        first, self.block, self.gap_s = self.factory.script
        self.transport.write(first)
        if self.block:
            self._more()

    def _more(self):
        if self.closed_s is None:
            self.transport.write(self.block)
            self.sent_bytes += len(self.block)
            reactor.callLater(self.gap_s, self._more)

    def dataReceived(self, data):
        """Keep an answer."""
        self.received += data

    def connectionLost(self, reason=protocol.connectionDone):
        """Note the time of the end."""
        self.closed_s = reactor.seconds() - self.started_s


async def listen(context, head_limit_s, body_limit_s):
    class Request(http_requests.BoundedRequest):
        body_timeout_s = body_limit_s

        def handleContentChunk(self, data):
            super().handleContentChunk(data)
            context.kept_bytes = self.content.tell()

    context.page = Page()
    site = http_requests.BoundedSite(context.page, head_limit_s, Request)
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    context.port = port.getHost().port


async def call(context, script, is_done):
    factory = protocol.ClientFactory.forProtocol(Caller)
    factory.noisy = False
    factory.script = script
    made = []
    build = factory.buildProtocol
    factory.buildProtocol = lambda address: made.append(build(address)) or made[0]
    reactor.connectTCP("127.0.0.1", context.port, factory)
    await reactors.eventually(lambda: made and is_done(made[0]), "the request ends")
    context.caller = made[0]
    context.caller.transport.abortConnection()


@behave.given(
    "the HTTP port of a process with a time limit of {limit_s:g} s for bodies"
)
def step_port(context, limit_s):
    reactors.run(listen, context, 5.0, limit_s)


@behave.given("the HTTP port of a process with a time limit of {limit_s:g} s for heads")
def step_port_heads(context, limit_s):
    reactors.run(listen, context, limit_s, 5.0)


@behave.when("a caller sends a head that {course}")
def step_endless_head(context, course):
    script = (HEAD, b"X-More: 1\r\n" * 5000, 0.0)
    if course == "trickles":
        script = (HEAD + b"X-Long: ", b"x", 0.02)
    reactors.run(call, context, script, lambda caller: caller.closed_s is not None)


@behave.then("it is cut off within {limit_s:g} s after at most {limit_mb:d} MB")
def step_head_cut_off(context, limit_s, limit_mb):
    assert context.caller.closed_s <= limit_s, context.caller.closed_s
    assert context.caller.sent_bytes <= limit_mb * MEBIBYTE, context.caller.sent_bytes
    assert context.page.kept_bytes is None


@behave.when("a caller sends {count:d} requests, one each {gap_s:g} s, on a connection")
def step_kept_open(context, count, gap_s):
    data = HEAD + b"Content-Length: 1\r\n\r\nx"

    def is_done(caller):
        return caller.received.count(b"answer") >= count or caller.closed_s is not None

    reactors.run(call, context, (b"", data, gap_s), is_done)


@behave.then("each of the {count:d} requests has an answer")
def step_each_answered(context, count):
    assert context.caller.received.count(b"HTTP/1.1 200") == count


@behave.when("a caller sends a body with {framing} that {course}")
def step_endless_body(context, framing, course):
    first = HEAD + b"Content-Length: 999999999\r\n\r\n"
    unit = b"x" * 65536
    if framing == "chunks":
        first = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        unit = gateway_steps.chunk(unit)
    if course == "trickles":
        unit = b"x" if framing == "a length" else gateway_steps.chunk(b"x")
    script = (first, unit, 0.02 if course == "trickles" else 0.0)
    reactors.run(call, context, script, lambda caller: caller.closed_s is not None)


@behave.then(
    "it is cut off within {limit_s:g} s after at most {limit_mb:d} MB,"
    " of which {kept_mb:d} MB was kept"
)
def step_cut_off(context, limit_s, limit_mb, kept_mb):
    assert context.caller.closed_s <= limit_s, context.caller.closed_s
    assert context.caller.sent_bytes <= limit_mb * MEBIBYTE, context.caller.sent_bytes
    assert context.kept_bytes <= kept_mb * MEBIBYTE + 1, context.kept_bytes
    assert context.page.kept_bytes is None


@behave.when("a caller sends a body of 2 MB")
def step_long_body(context):
    size = 2 * MEBIBYTE
    data = HEAD + b"Content-Length: %d\r\n\r\n" % size + bytes(size)
    is_answered = lambda caller: b"answer" in caller.received  # noqa: E731
    reactors.run(call, context, (data, b"", 0.0), is_answered)


@behave.then("the process has its first 1 MB and the caller an answer")
def step_first_part(context):
    assert context.page.kept_bytes == http_requests.MAX_KEPT_BYTES
    assert context.caller.received.startswith(b"HTTP/1.1 200")
