"""Steps for resets that the event loop reports as a clean close."""

import socket
import struct
import time

import behave
from twisted.internet import defer, reactor, task, tcp, threads

from cicadaplank.external import errors, http
from cicadaplank.platform import client
from features import reactors

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
HALF = b"half"
# Time in which the kernel delivers a reset on loopback, and one in which a part of an
# answer has been read.
DELIVERY_S = 0.02
READ_S = 0.1


@behave.given("a server on a real port that answers without a length")
def step_server(context):
    context.server = socket.create_server((HOST, 0))
    context.cleanups.append(context.server.close)
    context.port = context.server.getsockname()[1]


async def call(context, way):
    """Send a call on a way and return status and body."""
    if way == "the gateway":
        return await client.Client(reactor, f"{HOST}:{context.port}").call("GET", "/x")
    answer = await http.Client(reactor, f"http://{HOST}:{context.port}").send(
        "GET", "/x"
    )
    return answer.status, answer.body


def take_call(server):
    """Accept a connection, and write half of an answer to its call."""
    accepted, _ = server.accept()
    accepted.recv(65536)
    accepted.sendall(HEAD + HALF)
    return accepted


def end_unread(accepted, port, is_reset):
    """End a connection, and report it as a poll does that saw no bytes to read.

    All of it happens in one turn, so that the event loop does not see it by itself.
    """
    if is_reset:
        linger = struct.pack("ii", 1, 0)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    accepted.close()
    time.sleep(DELIVERY_S)
    (transport,) = (
        reader
        for reader in reactor.getReaders()
        if isinstance(reader, tcp.Client) and reader.getPeer().port == port
    )
    reactor._doReadOrWrite(transport, transport.fileno(), reactor._POLL_DISCONNECTED)


async def play(context, way, is_reset):
    """Play a call; return its result or its error."""
    pending = defer.ensureDeferred(call(context, way))
    accepted = await threads.deferToThread(take_call, context.server)
    await task.deferLater(reactor, READ_S)
    end_unread(accepted, context.port, is_reset)
    try:
        return await pending
    except errors.PlatformError as error:
        return error


@behave.when("a call on {way} has half of an answer, and the connection {ends} unread")
def step_half(context, way, ends):
    context.result = reactors.run(play, context, way, ends == "is reset")


@behave.then("that answer counts as lost")
def step_lost(context):
    assert isinstance(context.result, errors.AnswerLost), context.result


@behave.then("that answer counts as complete")
def step_complete(context):
    assert context.result == (200, HALF), context.result
