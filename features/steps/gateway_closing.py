"""Steps for how client connections are closed, on real sockets where bytes matter."""

import random
import socket

import behave
from twisted.internet import reactor

from cicadaplank.gateway import clients, gateway, routes
from cicadaplank.platform import headers
from features import reactors
from features.steps import gateway as gateway_steps

HOST = "127.0.0.1"
LIMIT_S = 5.0


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


def read_all(sock):
    """Return what comes until the end of the connection."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


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
    reactors.run(reactors.eventually, lambda: is_closing(context), "the close")
    context.got = read_all(sock)


def is_closing(context):
    """Tell whether the gateway has answered and closes the connection."""
    return any(each._is_closing for each in context.listener._connections)


def dialect_head(body):
    """Return the head of an endpoint's answer."""
    length = b"%d" % len(body)
    fields = [(b"Content-Length", length), (b"X-Server-Signature", b"s.1")]
    return headers.PlatformDialect().read_response(200, fields)


@behave.then("it gets all of it and the end of the connection")
def step_all_of_it(context):
    body = context.got.partition(b"\r\n\r\n")[2]
    assert len(body) == len(context.body), len(body)
