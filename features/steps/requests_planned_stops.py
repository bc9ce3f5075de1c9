"""Steps for answers that are not sent yet when a planned stop ends."""

import json
import socket

import behave
from twisted.internet import reactor, task

from cicadaplank.daemons import base, http_requests
from cicadaplank.messages import types
from features import entry_daemons, reactors

AGENT = entry_daemons.AGENTS[0]
PART = bytes(1024 * 1024)
PARTS = 7
STEP_S = 0.1
READ_BYTES = 65536


async def listen(context):
    context.entry = entry = entry_daemons.Entry()
    entry.configure(entry_daemons.row(holders=(AGENT,)))
    entry.clock.stop = lambda: setattr(context, "stopped_s", entry.now_s)
    site = http_requests.BoundedSite(entry.daemon.app.resource())
    entry.daemon._site = site
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    context.site = site
    return port.getHost().port


async def write_answer(context):
    entry = context.entry
    serving = entry.daemon.serving
    await reactors.eventually(lambda: serving.open_count, "the request is read")
    entry.run(STEP_S)
    ((_, work),) = entry.works()
    for number in range(PARTS):
        offset = number * len(PART)
        entry.receive(AGENT, types.WorkData(work.attempt, offset, PART))
    entry.receive(AGENT, types.WorkEnd(work.attempt, 200, PARTS * len(PART), 0))
    assert not serving.open_count


async def run(context, duration_s):
    """Let the process run, with turns of the real event loop for its sockets."""
    for _ in range(round(duration_s / STEP_S)):
        if context.stopped_s is None:
            context.entry.run(STEP_S)
        for _ in range(3):
            await task.deferLater(reactor, 0)


def read_all(sock):
    """Read to the end of the connection."""
    received = bytearray()
    sock.settimeout(reactors.LIMIT_S)
    while data := sock.recv(READ_BYTES):
        received += data
    return bytes(received)


@behave.given("an entry process with an HTTP port and a caller that does not read")
def step_listen(context):
    context.stopped_s = None
    port = reactors.run(listen, context)
    context.sock = socket.socket()
    context.cleanups.append(context.sock.close)
    context.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    context.sock.connect(("127.0.0.1", port))
    reactors.run(reactors.eventually, lambda: context.site.protocols, "a connection")


@behave.when("its large answer was written and the process is stopped")
def step_stopped(context):
    body = json.dumps({"model": entry_daemons.ROW, "prompt": "p"})
    context.sock.sendall(
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        f"X-Cicadaplank-Client: {entry_daemons.CLIENT}\r\n\r\n{body}".encode()
    )
    reactors.run(write_answer, context)
    step_stop(context)


@behave.when("the process is stopped without a request")
def step_stop(context):
    context.stop_s = context.entry.now_s
    reactors.run(context.entry.daemon.stop)


@behave.then("the process runs on while the answer is not sent")
def step_runs_on(context):
    reactors.run(run, context, 4.0)
    assert context.stopped_s is None, context.stopped_s - context.stop_s


@behave.when("the caller reads")
def step_reads(context):
    context.read_s = context.entry.now_s
    context.received = read_all(context.sock)


@behave.then("it gets the whole answer and the process ends within {limit:g} s")
def step_whole(context, limit):
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert len(body) == PARTS * len(PART), len(body)
    reactors.run(run, context, limit)
    assert context.stopped_s is not None


@behave.then("the process ends by its drain limit")
def step_limit(context):
    reactors.run(run, context, 9.0)
    assert context.stopped_s is not None
    after_s = context.stopped_s - context.stop_s
    limit_s = context.entry.daemon.settings.drain_limit_s
    # Connections to peers are closed after the limit.
    assert after_s <= limit_s + base.CLOSE_FLUSH_S + 2 * STEP_S, after_s


@behave.then("the process ends within {limit:g} s of the stop")
def step_ends(context, limit):
    reactors.run(run, context, limit)
    assert context.stopped_s is not None
