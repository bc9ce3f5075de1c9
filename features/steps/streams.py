"""Steps for stream connections, over real sockets on loopback."""

import collections
import time

import behave
from twisted.internet import defer, endpoints, protocol, reactor, task, testing

from cicadaplank.links import streams
from cicadaplank.messages import codec, types
from cicadaplank.reports import metrics
from cicadaplank.world import machines
from features import reactors

HOST = "127.0.0.1"
MEBIBYTE = 1024 * 1024
AT_ONCE = 32


class Process:
    """A hub on a port from the kernel that records what it receives."""

    def __init__(self, name):
        self.received = []
        self.name = name
        hello = types.Hello("agent", "north", "dc1", 1)
        identity = streams.Identity(name, hello)
        self.hub = streams.PeerHub(
            reactor, identity, self, lambda: 1, lambda event, **fields: None
        )
        self.port = None

    async def start(self):
        """Open the port."""
        self.port = await self.hub.listen(HOST, 0)

    @property
    def instance(self):
        """This process as it stands in the list of instances."""
        return instance_at(self.name, self.port)

    def message_received(self, connection, envelope):
        """Record a message other than the hello."""
        if not isinstance(envelope.message, types.Hello):
            self.received.append((envelope.sender, envelope.message))

    def connection_lost(self, connection):
        """Ignore the end of a connection."""


class Raw(protocol.Protocol):
    """A peer that does what a scenario tells it to."""

    def connectionMade(self):
        """Tell the scenario."""
        self.data = b""
        self.is_closed = False
        self.factory.made(self)

    def dataReceived(self, data):
        """Keep the bytes."""
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):
        """Note the end."""
        self.is_closed = True


def instance_at(name, port):
    """Return an instance on a loopback port."""
    return machines.Instance(name, "agent", HOST, port, "north", "dc1")


def framed(sender, message):
    """Return a message as bytes on the wire."""
    frame = codec.encode(codec.Envelope(sender, 1, message))
    return len(frame).to_bytes(4, "big") + frame


async def open_raw(context, made):
    """Listen as a raw peer; return the port."""
    factory = protocol.Factory.forProtocol(Raw)
    factory.made = made
    endpoint = endpoints.TCP4ServerEndpoint(reactor, 0, interface=HOST)
    port = await endpoint.listen(factory)
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    return port


@behave.given('a stream hub "{name}"')
def step_hub(context, name):
    if not hasattr(context, "hubs"):
        context.hubs = {}
    process = context.hubs[name] = Process(name)
    reactors.run(process.start)
    context.cleanups.append(lambda: reactors.run(process.hub.close))


HELLO = types.Hello("agent", "north", "dc1", 1)
# What the peer sends when it is connected to; None closes the connection.
PEERS = {
    "the peer answers": lambda: framed("beta", HELLO),
    "the peer never says hello": lambda: b"",
    "the peer closes before its hello": lambda: None,
    "the peer sends something else as hello": lambda: framed(
        "beta", types.WorkCancel("attempt")
    ),
    "the peer is another instance": lambda: framed("gamma", HELLO),
}


@behave.when('the stream hub dials a peer in the case "{case}"')
def step_dial(context, case):
    hub = context.hubs["alpha"].hub

    async def run():
        def made(peer):
            data = PEERS[case]()
            if data is None:
                peer.transport.loseConnection()
            else:
                peer.transport.write(data)

        port = await open_raw(context, made)
        number = port.getHost().port
        if case == "the port refuses":
            await port.stopListening()
        began_s = time.monotonic()
        connection = await hub.dial(instance_at("beta", number))
        context.dial = (connection, time.monotonic() - began_s)

    reactors.run(run)


@behave.then("the stream dial ends with {result} within {limit_s:d} s")
def step_dialled(context, result, limit_s):
    connection, elapsed_s = context.dial
    assert (connection is not None) == (result == "a connection"), connection
    assert elapsed_s < limit_s, elapsed_s


@behave.then("the stream hub keeps {count:d} connections")
def step_kept(context, count):
    hub = context.hubs["alpha"].hub
    condition = reactors.eventually(lambda: hub.open_count == count, "connections")
    reactors.run(lambda: condition)


@behave.when("the stream hub dials a silent peer 1.8 s after a refused dial")
def step_second_dial(context):
    hub = context.hubs["alpha"].hub

    async def run():
        def made(peer):
            reactor.callLater(0.5, peer.transport.write, framed("beta", HELLO))

        port = await open_raw(context, made)
        refusing = await open_raw(context, made)
        number = refusing.getHost().port
        await refusing.stopListening()
        assert await hub.dial(instance_at("beta", number)) is None
        await task.deferLater(reactor, 1.8)
        connection = await hub.dial(instance_at("beta", port.getHost().port))
        context.dial = (connection, 0.0)

    reactors.run(run)


@behave.when('both stream dials of "alpha" go to "beta" at once')
def step_two_dials(context):
    alpha, beta = context.hubs["alpha"], context.hubs["beta"]

    async def run():
        dials = [alpha.hub.dial(beta.instance) for _ in range(2)]
        context.dials = [await dial for dial in dials]

    reactors.run(run)


@behave.then("both stream dials give the same connection")
def step_same(context):
    first, second = context.dials
    assert first is not None and first is second, context.dials
    assert context.hubs["alpha"].hub.open_count == 1


@behave.when("the stream hubs dial each other at once")
def step_dial_each_other(context):
    alpha, beta = context.hubs["alpha"], context.hubs["beta"]

    async def run():
        dials = [alpha.hub.dial(beta.instance), beta.hub.dial(alpha.instance)]
        assert all([await dial for dial in dials])

    reactors.run(run)


@behave.when("each stream hub sends {count:d} messages")
def step_send_each(context, count):
    def run():
        for number in range(count):
            message = types.WorkCancel(f"attempt {number}")
            assert context.hubs["alpha"].hub.send("beta", message)
            assert context.hubs["beta"].hub.send("alpha", message)

    reactors.run(run)
    context.count = count


@behave.then("each stream hub received the messages that were sent, each once")
def step_received(context):
    expected = sorted(f"attempt {number}" for number in range(context.count))

    def arrived(name):
        return sorted(m.attempt for _, m in context.hubs[name].received) == expected

    async def run():
        for name in ("alpha", "beta"):
            await reactors.eventually(lambda name=name: arrived(name), name)

    reactors.run(run)


@behave.given("a connected peer that reads nothing")
def step_reads_nothing(context):
    hub = context.hubs["alpha"].hub

    async def run():
        def made(peer):
            context.peer = peer
            peer.transport.write(framed("slow", HELLO))
            peer.transport.pauseProducing()

        port = await open_raw(context, made)
        context.slow = await hub.dial(instance_at("slow", port.getHost().port))

    reactors.run(run)


@behave.when("the stream hub sends 1 MB messages until one is refused")
def step_fill(context):
    def run():
        context.accepted = 0
        context.reported = collections.Counter()

        def send(number):
            message = types.WorkData("a", number, bytes(MEBIBYTE))
            return context.slow.send(message, lambda: context.reported.update([number]))

        while send(context.accepted):
            context.accepted += 1
            assert context.accepted < 100, "the queue has no bound"
        # Later the kernel may take more bytes, which makes room.
        context.had_room = context.slow.has_room

    reactors.run(run)


@behave.then("the stream queue holds at most its bound and the refusal is counted")
def step_queue(context):
    # The transport and the kernel hold a few messages beyond the queue.
    most = streams.MAX_QUEUED_BYTES // MEBIBYTE + 8
    assert 0 < context.accepted <= most, context.accepted
    assert context.hubs["alpha"].hub.counters["send_queue_full"] == 1
    assert not context.had_room


class FullTransport(testing.StringTransport):
    """A transport whose buffer is full after each write."""

    def write(self, data):
        """Take data and report the buffer as full."""
        super().write(data)
        if self.producer is not None:
            self.producer.pauseProducing()

    def setTcpNoDelay(self, enabled):
        """Take the option and do nothing."""


@behave.given("a stream connection whose transport is full after each message")
def step_full_connection(context):
    context.clock = task.Clock()
    hello = types.Hello("agent", "north", "dc1", 1)
    hub = streams.PeerHub(
        context.clock,
        streams.Identity("alpha", hello),
        None,
        lambda: 1,
        lambda event, **fields: None,
    )
    context.slow = streams.PeerConnection(hub)
    context.slow.makeConnection(FullTransport())
    context.slow.resumeProducing()
    context.reported = []


@behave.when("{count:d} messages are sent over the full connection")
def step_send_full(context, count):
    for number in range(count):
        message = types.WorkData("a", number, b"data")
        assert context.slow.send(message, lambda n=number: context.reported.append(n))


@behave.when("the transport of the full connection has room again")
def step_room(context):
    context.slow.resumeProducing()


@behave.then("{count:d} {unit} reported as sent")
def step_reported(context, count, unit):
    context.clock.advance(0)
    assert context.reported == list(range(count)), context.reported


@behave.then("every accepted message is reported as sent")
def step_all_reported(context):
    expected = dict.fromkeys(range(context.accepted + 1), 1)

    async def run():
        await reactors.eventually(lambda: context.reported == expected, "reports")

    reactors.run(run)


@behave.when("the stream peer closes the connection")
def step_peer_closes(context):
    reactors.run(context.peer.transport.abortConnection)


@behave.when("the stream peer reads again")
def step_read_again(context):
    reactors.run(context.peer.transport.resumeProducing)


@behave.then("the stream peer gets every accepted message in order")
def step_in_order(context):
    def offsets():
        data, found = context.peer.data, []
        while len(data) >= 4:
            size = int.from_bytes(data[:4], "big")
            if len(data) < 4 + size:
                break
            message = codec.decode(data[4 : 4 + size]).message
            found += [message.offset] if isinstance(message, types.WorkData) else []
            data = data[4 + size :]
        return found

    expected = list(range(context.accepted))

    async def run():
        size = context.accepted * MEBIBYTE
        await reactors.eventually(lambda: len(context.peer.data) > size, "messages")

    reactors.run(run)
    assert offsets() == expected, offsets()


@behave.when("{count:d} connections to the stream hub are opened")
def step_many(context, count):
    async def run():
        factory = protocol.Factory.forProtocol(Raw)
        factory.made = lambda peer: None
        port = context.hubs["alpha"].port
        endpoint = endpoints.TCP4ClientEndpoint(reactor, HOST, port)
        hub, context.raw = context.hubs["alpha"].hub, []

        def taken():
            total = hub.open_count + hub.counters["connections_refused"]
            return total == len(context.raw)

        # The kernel's queue of a listening port holds fewer than all of them.
        while len(context.raw) < count:
            number = min(AT_ONCE, count - len(context.raw))
            opening = [endpoint.connect(factory) for _ in range(number)]
            for _, peer in await defer.DeferredList(opening):
                peer.transport.write(framed(f"peer {len(context.raw)}", HELLO))
                context.raw.append(peer)
            await reactors.eventually(taken, "connections taken")

    reactors.run(run)


@behave.then("the stream hub held {bound:d} connections and counted {rest:d} refused")
def step_refused(context, bound, rest):
    hub = context.hubs["alpha"].hub

    async def run():
        assert hub.counters["connections_refused"] == rest, hub.counters
        assert hub.open_count == bound, hub.open_count
        for peer in context.raw:
            peer.transport.abortConnection()
        await reactors.eventually(lambda: hub.open_count == 0, "closed connections")

    reactors.run(run)


@behave.when(
    "the stream hub receives {count:d} messages of {size:d} bytes from region"
    ' "{region}"'
)
def step_received_bytes(context, count, size, region):
    hello = types.Hello("agent", region, "dc", 1)
    for _ in range(count):
        hub = context.hubs["alpha"].hub
        hub.count_received(hello, types.ProgressRequest(), size)


@behave.then(
    "its metrics show {other:d} bytes from other regions and {own:d} bytes from its own"
)
def step_shown_bytes(context, other, own):
    made = metrics.Metrics("alpha", "agent", "north", "dc1")
    context.hubs["alpha"].hub.update_metrics(made)
    lines = made.render()[0].decode().splitlines()
    for region, size_bytes in (("other", other), ("own", own)):
        (line,) = [
            each
            for each in lines
            if "peer_bytes_received{" in each and f'region="{region}"' in each
        ]
        assert 'message="ProgressRequest"' in line, line
        assert float(line.split()[-1]) == size_bytes, line
