"""Steps for how client connections are closed, on real sockets where bytes matter."""

import random
import socket

import behave
from twisted.internet import reactor

from cicadaplank.gateway import clients, gateway, routes
from cicadaplank.platform import headers
from features import reactors
from features.steps import gateway as gateway_steps
from features.steps import gateway_pipelining

HOST = "127.0.0.1"
LIMIT_S = 5.0
BODY_BYTES = 2_000_000
EXTRA = b"x" * 300_000


def listen(context):
    """Start a gateway without endpoints on a port that the kernel gives."""
    served = gateway.Gateway(
        reactor,
        headers.PlatformDialect(),
        "a",
        gateway_steps.BOUNDS,
        random.Random(1),
        gateway_steps.Reporter(),
    )
    limits = routes.ClientLimits(1000, 2000, 3.0, 15.0)
    configuration = routes.Configuration(1, (), {}, limits, None)
    served.set_configuration(configuration)
    served.is_current = lambda: True
    context.listener = clients.Listener(reactor, served, lambda *args: None)
    port = reactor.listenTCP(0, context.listener, interface=HOST)
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    return port.getHost().port


@behave.given("a gateway on a real port")
def step_port(context):
    context.port = reactors.run(listen, context)


def request_bytes(kind):
    """Return a request that ends its connection, and bytes that follow it."""
    head = b"POST /x/1 HTTP/1.1\r\nHost: host.example\r\n"
    return {
        "a body over the limit": head
        + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        + b"x" * 3000,
        "headers over the limit": head + b"A: " + b"x" * 1200 + b"\r\n\r\n",
        "what is not HTTP": b"\x16\x03\x01 hello\r\n\r\n",
        "a request that closes": head
        + b"Content-Length: 0\r\nConnection: close\r\n\r\n",
        "a request of HTTP/1.0": head.replace(b"1.1", b"1.0") + b"\r\n",
    }[kind]


def read_all(sock):
    """Return what comes until the end of the connection."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


@behave.when("a caller goes on sending behind {kind} after the answer has ended")
def step_sends_on(context, kind):
    sock = socket.create_connection((HOST, context.port), LIMIT_S)
    context.cleanups.append(sock.close)
    sock.sendall(request_bytes(kind))
    context.got = read_all(sock)
    context.error = None
    try:
        for _ in range(6):
            sock.sendall(EXTRA)
    except ConnectionError as error:
        context.error = error
    sock.close()


@behave.then("it has the whole answer {status:d}, and its bytes meet no reset")
def step_whole_answer(context, status):
    assert gateway_steps.status_of(context.got) == status, context.got
    assert context.got.count(b"HTTP/1.1") == 1, context.got
    assert context.error is None, context.error


@behave.when("a caller with {buffer_kb:d} KB of buffer reads a long answer late")
def step_long_answer(context, buffer_kb):
    context.body = b"y" * (4 * 1024 * 1024)
    head = b"GET /x/1 HTTP/1.0\r\nHost: host.example\r\n\r\n"
    sock = socket.socket()
    sock.settimeout(LIMIT_S)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_kb * 1024)
    context.cleanups.append(sock.close)
    answer = dialect_head(context.body)

    def accept(client, request):
        client.reply(answer, context.body)

    reactors.run(setattr, context.listener.gateway, "accept", accept)
    sock.connect((HOST, context.port))
    sock.sendall(head)
    reactors.run(reactors.eventually, lambda: is_held(context), "the full buffers")
    context.got = read_all(sock)
    reactors.run(reactors.eventually, lambda: is_closing(context), "the close")


def is_held(context):
    """Tell whether the gateway waits until the client reads its answer."""
    return any(each._is_write_paused for each in context.listener._connections)


def is_closing(context):
    """Tell whether the gateway has closed the connection, or is about to."""
    return all(each._is_closing for each in context.listener._connections)


def dialect_head(body):
    """Return the head of an endpoint's answer."""
    length = b"%d" % len(body)
    fields = [(b"Content-Length", length), (b"X-Server-Signature", b"s.1")]
    return headers.PlatformDialect().read_response(200, fields)


@behave.then("it gets all of it and the end of the connection")
def step_all_of_it(context):
    body = context.got.partition(b"\r\n\r\n")[2]
    assert len(body) == len(context.body), len(body)


@behave.when("a client's request is answered and its connection is to be closed")
def step_closing(context):
    world = context.world
    world.served = []
    world.client.dataReceived(
        gateway_pipelining.request(world, 1, b"Connection: close\r\n")
    )
    gateway_pipelining.serve(world, 0.2)


@behave.then("only the sending side is closed, and the rest after {limit_s:f} s")
def step_half_closed(context, limit_s):
    world, transport = context.world, context.world.client_transport
    assert transport.half_closed and not transport.closed
    world.client.dataReceived(b"more bytes of the client")
    world.run(limit_s + 0.1)
    assert transport.closed
    assert gateway_pipelining.answers(world) == [(200, b"a-1")], (
        gateway_pipelining.answers(world)
    )


@behave.when("{count:d} clients are refused and none closes its connection")
def step_many_closing(context, count):
    world = context.world
    context.transports = []
    for _ in range(count):
        world.connect()
        world.client.dataReceived(b"\x16\x03\x01 hello\r\n\r\n")
        context.transports.append(world.client_transport)


@behave.then("the first {count:d} are closed in stages and the others at once")
def step_closed_at_once(context, count):
    assert count == clients.MAX_LINGERING
    states = [(t.half_closed, t.closed) for t in context.transports]
    assert set(states[:count]) == {(True, False)}, states[:count]
    assert set(states[count:]) == {(False, True)}, states[count:]
