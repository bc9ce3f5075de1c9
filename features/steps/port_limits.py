"""Steps for the limits of a peer port, on transports in memory."""

import behave

from cicadaplank.links import peer_limits
from cicadaplank.messages import types
from features.steps import endless_frames, gateway
from features.steps import streams as stream_steps


class _Transport(gateway.Transport):
    """Transport that reports the end of an aborted connection on the next turn."""

    reactor = None
    protocol = None

    def abortConnection(self):
        """End the connection."""
        if not self.disconnecting:
            self.disconnecting = True
            self.reactor.callLater(0, self.protocol.connectionLost)


def _connect(context, name=""):
    """Connect a peer that says hello if it has a name; None when it is refused."""
    hub = context.port.hub
    connection = hub._build_connection()
    if connection is None:
        return None
    transport = _Transport()
    transport.connected = True
    transport.reactor, transport.protocol = context.port.reactor, connection
    connection.makeConnection(transport)
    if name:
        connection.dataReceived(stream_steps.framed(name, stream_steps.HELLO))
    return connection


def _advance(context, delay_s):
    context.port.reactor.advance(delay_s)


@behave.given(
    "a stream hub in memory that takes {count:d} connections and knows the peer"
    ' "{name}"'
)
def step_hub(context, count, name):
    context.port = endless_frames.MemoryHub()
    context.limits = {"max_connections": count}
    context.port.hub.set_limits(peer_limits.PeerLimits(**context.limits))
    context.port.hub.is_known = lambda peer: peer == name


@behave.given("it may hold {count:d} bytes of incomplete messages")
def step_incomplete(context, count):
    context.limits["incomplete_bytes"] = count
    context.port.hub.set_limits(peer_limits.PeerLimits(**context.limits))


@behave.given("it may hold {count:d} bytes that are not read")
def step_unread(context, count):
    context.limits["unread_bytes"] = count
    context.port.hub.set_limits(peer_limits.PeerLimits(**context.limits))


@behave.when("{count:d} strangers connect, one every {interval_s:g} s")
def step_strangers(context, count, interval_s):
    for number in range(count):
        _connect(context, f"stranger-{number}")
        _advance(context, interval_s)


@behave.when("{count:d} connections without a hello are opened")
def step_silent(context, count):
    for _ in range(count):
        _connect(context)


@behave.when('the peer "{name}" connects {delay_s:g} s later')
def step_real(context, name, delay_s):
    _advance(context, delay_s)
    _connect(context, name)
    _advance(context, 0)


@behave.then('the stream hub in memory has {count:d} connections, one of them to "{n}"')
def step_count(context, count, n):
    hub = context.port.hub
    assert hub.open_count == count, hub.open_count
    assert hub.connection(n) is not None, hub.peers


@behave.then("it has refused {count:d} connections and cut none")
def step_refused(context, count):
    counters = context.port.hub.counters
    assert counters["connections_refused"] == count, counters
    assert not counters["connections_cut"], counters


@behave.when('the peer "{name}" stops inside a message after {count:d} bytes')
def step_stops(context, name, count):
    connection = _connect(context, name)
    connection.dataReceived((100_000).to_bytes(4, "big") + bytes(count - 4))


@behave.when("{peers:d} strangers stop inside a message after {count:d} bytes")
def step_strangers_stop(context, peers, count):
    for number in range(peers):
        step_stops(context, f"stranger-{number}", count)
    _advance(context, 0)


@behave.then(
    'the peer "{name}" is still connected and at most {count:d} bytes are held'
)
def step_still(context, name, count):
    hub = context.port.hub
    assert hub.connection(name) is not None, hub.peers
    assert 0 < hub.incomplete.total_bytes <= count, hub.incomplete.total_bytes


@behave.when(
    "{small:d} bytes are sent to {peers:d} strangers and {large:d} bytes to"
    ' "{name}", and nobody reads'
)
def step_send(context, small, peers, large, name):
    sizes = {name: large} | {f"stranger-{number}": small for number in range(peers)}
    for peer, size in sizes.items():
        connection = _connect(context, peer)
        connection.pauseProducing()
        connection.send(types.WorkData("a", 0, bytes(size - 40)))
    _advance(context, 0)


@behave.then(
    'the peer "{name}" is still connected and at most {count:d} bytes are not read'
)
def step_still_unread(context, name, count):
    hub = context.port.hub
    assert hub.connection(name) is not None, hub.peers
    assert 0 < hub.unread.total_bytes <= count, hub.unread.total_bytes
