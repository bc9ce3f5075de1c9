"""Steps for peers whose messages never end, on transports in memory."""

import tracemalloc

import behave
from twisted.internet import testing

from cicadaplank.links import streams
from cicadaplank.messages import codec, types
from features.steps import gateway as gateway_steps
from features.steps import streams as stream_steps

STEP_S = 0.05
MEBIBYTE = 1024 * 1024
MESSAGE = types.WorkCancel("attempt-1")


class MemoryHub:
    """A hub on a stepped clock that records what it receives."""

    def __init__(self):
        self.received = []
        self.reactor = testing.MemoryReactorClock()
        identity = streams.Identity("alpha", stream_steps.HELLO)
        self.hub = streams.PeerHub(
            self.reactor, identity, self, lambda: 1, lambda event, **fields: None
        )

    def message_received(self, connection, envelope):
        """Record a message other than the hello."""
        if not isinstance(envelope.message, types.Hello):
            self.received.append(envelope.message)

    def connection_lost(self, connection):
        """Ignore the end of a connection."""

    def connect(self, name="", announced_bytes=0):
        """Connect a peer that has sent its hello if it has a name.

        :param name: name of the peer, or empty.
        :param announced_bytes: size of a frame that the peer then announces.
        """
        connection = self.hub._build_connection()
        transport = gateway_steps.Transport()
        transport.connected = True
        connection.makeConnection(transport)
        if name:
            connection.dataReceived(stream_steps.framed(name, stream_steps.HELLO))
        if announced_bytes:
            connection.dataReceived(announced_bytes.to_bytes(4, "big"))
        return connection


def closed_after_s(context, connection, data, limit_s=100.0):
    """Send data byte by byte, and return the time after which a peer is cut off."""
    clock = context.memory_hub.reactor
    start_s = clock.seconds()
    position = 0
    while clock.seconds() - start_s <= limit_s:
        if connection.transport.disconnecting:
            return clock.seconds() - start_s
        if position < len(data):
            connection.dataReceived(data[position : position + 1])
            position += 1
        clock.advance(STEP_S)
    return None


@behave.given("a stream hub in memory")
def step_memory_hub(context):
    context.memory_hub = MemoryHub()


@behave.when("a peer announces a hello of 1 MB")
def step_long_hello(context):
    context.peer = context.memory_hub.connect("", MEBIBYTE)
    context.closed_s = closed_after_s(context, context.peer, b"")


@behave.when("a peer sends its hello byte by byte")
def step_slow_hello(context):
    context.peer = context.memory_hub.connect("", 4000)
    context.closed_s = closed_after_s(context, context.peer, bytes(4000))


@behave.when("a peer stops inside its hello")
def step_short_hello(context):
    context.peer = context.memory_hub.connect("", 4000)
    context.closed_s = closed_after_s(context, context.peer, bytes(10))


@behave.when("a peer announces a frame of 3 MB")
def step_long_frame(context):
    context.peer = context.memory_hub.connect("beta", 3 * MEBIBYTE)
    context.closed_s = closed_after_s(context, context.peer, b"")


@behave.when("a peer sends a frame of 2 MB byte by byte")
def step_slow_frame(context):
    context.peer = context.memory_hub.connect("beta", codec.MAX_FRAME_BYTES)
    context.closed_s = closed_after_s(
        context, context.peer, bytes(codec.MAX_FRAME_BYTES)
    )


@behave.when("a peer stops inside a frame of 2 MB")
def step_short_frame(context):
    context.peer = context.memory_hub.connect("beta", codec.MAX_FRAME_BYTES)
    context.peer.dataReceived(bytes(MEBIBYTE))
    context.closed_s = closed_after_s(context, context.peer, b"")


@behave.then("the stream hub disconnects it within {limit_s:g} s")
def step_disconnected(context, limit_s):
    assert context.closed_s is not None
    assert context.closed_s <= limit_s + STEP_S, context.closed_s


@behave.then("the stream hub holds nothing of it")
def step_nothing_held(context):
    gateway_steps.reset(context.peer)
    assert context.memory_hub.hub.incomplete.total_bytes == 0
    assert not context.memory_hub.hub.peers
    assert not context.memory_hub.reactor.getDelayedCalls()


@behave.when("a peer sends {count:d} messages byte by byte")
def step_slow_messages(context, count):
    context.peer = context.memory_hub.connect("beta")
    data = stream_steps.framed("beta", MESSAGE) * count
    assert closed_after_s(context, context.peer, data, len(data) * STEP_S) is None


@behave.then("the stream hub has received {count:d} messages and keeps the peer")
def step_received(context, count):
    assert context.memory_hub.received == [MESSAGE] * count
    assert not context.peer.transport.disconnecting


@behave.when(
    "{count:d} peers stop inside frames of 2 MB and another one sends a message"
)
def step_many_frames(context, count):
    context.peer = context.memory_hub.connect("small")
    frame = stream_steps.framed("small", MESSAGE)
    context.peer.dataReceived(frame[:-1])
    block = bytes(codec.MAX_FRAME_BYTES - 1)
    tracemalloc.start()
    peers = [
        context.memory_hub.connect(f"peer-{number}", codec.MAX_FRAME_BYTES)
        for number in range(count)
    ]
    for peer in peers:
        peer.dataReceived(block)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    context.peer.dataReceived(frame[-1:])


@behave.then(
    "of {count:d} messages, cut at any byte, just the whole ones are delivered"
)
def step_cut_messages(context, count):
    frame = stream_steps.framed("beta", MESSAGE)
    data = frame * count
    for cut in range(len(data) + 1):
        played = MemoryHub()
        peer = played.connect("beta")
        peer.dataReceived(data[:cut])
        gateway_steps.reset(peer)
        assert played.received == [MESSAGE] * (cut // len(frame)), cut
        assert played.hub.incomplete.total_bytes == 0
