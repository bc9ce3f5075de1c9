"""Steps for requests that are read long after the stop signal."""

import contextlib
import select
import signal
import socket
import struct
import time

import behave
from twisted.internet import error

from cicadaplank.links import sockets
from features.steps import gateway as gateway_steps
from features.steps import gateway_grace

# Time of answers that outlast every stop.
LONG_WORK_S = 7.0
SHORT_WORK_S = 0.5
# Bytes that the event loop reads at once.
READ_BYTES = 65536
LIMIT_S = 5.0
WATCH_S = 0.01


class KernelBuffer(gateway_steps.Socket):
    """Socket whose bytes wait until the transport is read.

    :param transport: :class:`BufferedTransport` that it belongs to.
    """

    def __init__(self, transport):
        self._transport = transport

    def recv(self, size, flags):
        """Return waiting bytes without taking them, or raise like an empty socket."""
        if not self._transport.waiting and not self._transport.has_left:
            raise BlockingIOError
        return self._transport.waiting[:size]

    def getsockopt(self, level, option, size):
        """Return the state of the connection, as the kernel does."""
        assert (level, option, size) == (socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if self._transport.has_left:
            return gateway_steps.TCP_CLOSE_WAIT
        return gateway_steps.TCP_ESTABLISHED


class BufferedTransport(gateway_grace.ClientTransport):
    """Connection whose bytes wait in the kernel while the process does not read it."""

    def __init__(self, world):
        super().__init__(world)
        self.waiting = b""
        self.has_left = False

    def getHandle(self):
        """Return a socket that shows the bytes that wait."""
        return KernelBuffer(self)

    def resumeProducing(self):
        """Deliver what waits, in a later turn of the event loop."""
        super().resumeProducing()
        self._world.reactor.callLater(0, self.deliver)

    def offer(self, data):
        """Let the client send bytes."""
        self.waiting += data
        self.deliver()

    def deliver(self):
        """Let the process read what waits, unless it has paused."""
        if self.producerState == "producing" and not self.disconnecting:
            data = self.waiting[:READ_BYTES]
            self.waiting = self.waiting[READ_BYTES:]
            if data:
                self.protocol.dataReceived(data)
                if self.waiting or self.has_left:
                    self._world.reactor.callLater(0, self.deliver)
            elif self.has_left:
                self.end(error.ConnectionDone())


def connect(world):
    """Open a client connection with a buffer in the kernel."""
    world.client_transport = BufferedTransport(world)
    world.client = world.listener.buildProtocol(None)
    world.client_transport.protocol = world.client
    world.client.makeConnection(world.client_transport)


def pass_unattended(world, duration_s):
    """Let time pass in which the event loop is kept from its timers and sockets."""
    world.reactor.rightNow += duration_s


@behave.when(
    "it is signalled while its event loop is held up for {late_s:g} s, and a request is"
    " whole {whole_s:g} s after the signal"
)
def step_late_start(context, late_s, whole_s):
    world = context.world
    world.process._tick()
    world.stopped_s = world.reactor.seconds()
    pass_unattended(world, late_s)
    world.process._stop_signalled(signal.SIGTERM, None)
    # A part of the request is there before idle connections are closed.
    data = world.request(body=b"call")
    world.run_until(2.9)
    world.client.dataReceived(data[: gateway_grace.PART_BYTES])
    world.run_until(whole_s)
    world.client.dataReceived(data[gateway_grace.PART_BYTES :])


@behave.when(
    "it is signalled, and its event loop is held up from 2.95 s until a request is"
    " whole {whole_s:g} s after the signal"
)
def step_late_timer(context, whole_s):
    world = context.world
    world.process._tick()
    world.stopped_s = world.reactor.seconds()
    world.process._stop_signalled(signal.SIGTERM, None)
    world.run_until(2.95)
    pass_unattended(world, whole_s - world.since_stop_s)
    world.send()


@behave.then("the late caller has a whole answer or 503, though it takes 7 s")
def step_not_cut(context):
    world = context.world
    if world.has_call:
        world.work(LONG_WORK_S)
    world.run_until(gateway_grace.GRACE_S)
    got = world.client_transport.value()
    assert not world.client_transport.aborted, "the connection was reset"
    assert gateway_steps.status_of(got) == 503, got
    assert b"not run" in got, got


@behave.when(
    "it is stopped, its client sends a request 2 s later that takes {work_s:g} s, and "
    "another one {behind}"
)
def step_behind(context, work_s, behind):
    world = context.world
    connect(world)
    data = world.request(body=b"call")
    world.stop()
    world.run_until(2.0)
    world.client_transport.offer(data)
    sent = world.take_call()
    if behind == "behind its head":
        world.begin(sent)
    world.run_until(2.5)
    world.client_transport.offer(data)
    context.was_read = not world.client_transport.waiting
    if behind != "behind its head":
        world.begin(sent)
    world.run_until(2.0 + work_s)
    world.answer(sent)
    world.run(2 * gateway_steps.STEP_S)
    if world.has_call:
        world.work(SHORT_WORK_S)
    world.run_until(gateway_grace.GRACE_S)


@behave.then("the other request is answered or refused, or was never read")
def step_never_read(context):
    transport = context.world.client_transport
    got = transport.value()
    whole = got.count(gateway_steps.BODY) + got.count(b"0\r\n\r\n")
    answers = whole + got.count(b" 503 ") + got.count(b" 502 ")
    context.was_read |= not transport.waiting
    assert answers == 2 or not context.was_read, (answers, got)


@behave.then("the other request is answered or refused")
def step_both_answered(context):
    got = context.world.client_transport.value()
    whole = got.count(gateway_steps.BODY) + got.count(b"0\r\n\r\n")
    assert whole >= 1 and whole + got.count(b" 503 ") == 2, got


@behave.when("it is stopped while a call is in progress, whose client leaves 1 s later")
def step_leaves(context):
    world = context.world
    connect(world)
    world.client_transport.offer(world.request(body=b"call"))
    _, _, context.endpoint = world.take_call()
    world.stop()
    world.run_until(1.0)
    world.client_transport.has_left = True
    world.client_transport.deliver()
    world.run_until(1.2)


@behave.then("the call is cancelled at its endpoint within 0.2 s")
def step_cancelled(context):
    assert context.endpoint.aborted, "the endpoint still works on the call"
    assert context.world.gateway.open_calls == 0


@behave.when(
    "it is stopped while a call is in progress, whose client sends {sent} and leaves"
    " 1 s later"
)
def step_leaves_behind(context, sent):
    world = context.world
    connect(world)
    data = world.request(body=b"call")
    world.client_transport.offer(data)
    _, _, context.endpoint = world.take_call()
    world.stop()
    world.run_until(0.5)
    data = {
        "a part of a request": data[: gateway_grace.PART_BYTES],
        "another request": data,
        "more than one read takes": data * (2 * READ_BYTES // len(data)),
    }[sent]
    world.client_transport.offer(data)
    world.run_until(1.0)
    world.client_transport.has_left = True
    world.client_transport.deliver()
    world.run_until(1.2)


@behave.given("a loopback connection with unread bytes")
def step_loopback(context):
    with socket.create_server(("127.0.0.1", 0)) as server:
        context.peer = socket.create_connection(server.getsockname())
        context.socket, _ = server.accept()
    context.add_cleanup(context.socket.close)
    context.add_cleanup(context.peer.close)
    context.peer.sendall(b"unread")
    select.select([context.socket], [], [], LIMIT_S)
    context.was_ended = sockets.is_ended_by_peer(context.socket)


@behave.when("the other side {how}")
def step_ends(context, how):
    if how == "closes its sending side":
        context.peer.shutdown(socket.SHUT_WR)
        return
    if how == "resets it":
        no_linger = struct.pack("ii", 1, 0)
        context.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    else:
        assert how == "closes it", how
    context.peer.close()


@behave.then("it is known to be ended, and was not before")
def step_known_ended(context):
    assert not context.was_ended
    until_s = time.monotonic() + LIMIT_S
    while not sockets.is_ended_by_peer(context.socket):
        assert time.monotonic() < until_s, "the end is not seen"
        time.sleep(WATCH_S)


@behave.when(
    "it is stopped, and its event loop is held up for {late_s:g} s until a request is"
    " whole {whole_s:g} s later"
)
def step_read_late(context, late_s, whole_s):
    world = context.world
    data = world.request(body=b"call")
    world.stop()
    world.run_until(2.9)
    world.client.dataReceived(data[: gateway_grace.PART_BYTES])
    world.run_until(whole_s - late_s)
    pass_unattended(world, late_s)
    world.gateway.check_timeouts()
    context.whole_s = world.since_stop_s
    world.client.dataReceived(data[gateway_grace.PART_BYTES :])


@behave.then(
    "the late caller has a whole answer or 503, or is cut at its limit of {limit_s:g}"
    " s, though it takes 7 s"
)
def step_not_cut_early(context, limit_s):
    world = context.world
    transport = world.client_transport
    if world.has_call:
        world.work(LONG_WORK_S)
    world.run_until(gateway_grace.GRACE_S)
    if transport.aborted:
        lasted_s = transport.ended_s - context.whole_s
        assert lasted_s >= limit_s - 1e-6, f"cut after {lasted_s:.2f} s"
    else:
        assert gateway_steps.status_of(transport.value()) == 503, transport.value()


@behave.when("it is stopped while a call is in progress, and {part} raises an error")
def step_error(context, part):
    world = context.world
    owner, name = {
        "the pause of connections": (world.listener, "stop_begun"),
        "the check of connections": (world.listener, "check_left"),
        "the report of aborted calls": (world.process._reporter, "aborted_in_stop"),
    }[part]

    def fail(*args):
        raise ValueError(part)

    setattr(owner, name, fail)
    world.send()
    assert world.take_call()
    with contextlib.suppress(ValueError):
        world.stop()
    while world.since_stop_s < gateway_grace.GRACE_S and not world.reactor.hasStopped:
        with contextlib.suppress(ValueError):
            world.run(gateway_steps.STEP_S)


@behave.then(
    "the caller is told that its call may have run, and the process ends by itself"
)
def step_told(context):
    got = context.world.client_transport.value()
    assert got and gateway_steps.status_of(got) == 502, got
    assert context.world.reactor.hasStopped
