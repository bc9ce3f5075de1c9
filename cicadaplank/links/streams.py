"""Stream connections between the system's processes.

A process has one :class:`PeerHub`. It owns the listening port and every connection,
and delivers decoded messages to the tasks of the process.
"""

import collections
import dataclasses
import itertools
import struct
import typing

from twisted.internet import defer, endpoints, error, protocol
from twisted.protocols import basic

from cicadaplank.links import pacing
from cicadaplank.messages import codec, types

MAX_QUEUED_BYTES = 16 * 1024 * 1024
MAX_CONNECTIONS = 1024
CONNECT_TIMEOUT_S = 1.0
# From the start of a dial, or from the connection of a peer, to the peer's hello.
HELLO_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S
RECONNECT_DELAY_S = 0.5
_NUMBERS = itertools.count(1)


class Listener(typing.Protocol):
    """Receives what happens on the connections of a hub."""

    def message_received(self, connection, envelope):
        """Handle one message from a peer."""

    def connection_lost(self, connection):
        """Handle the end of a connection that had said hello."""


@dataclasses.dataclass(frozen=True)
class Identity:
    """What a process says about itself in its first message.

    :param name: instance name.
    :param hello: :class:`cicadaplank.messages.types.Hello`.
    """

    name: str
    hello: types.Hello


class PeerConnection(basic.Int32StringReceiver):
    """One connection; the first message in each direction is a ``Hello``.

    :param hub: the :class:`PeerHub` that owns the connection.
    :ivar name: unique in this process, also over reconnections of a peer.
    """

    MAX_LENGTH = codec.MAX_FRAME_BYTES

    def __init__(self, hub):
        self.hub = hub
        self.name = f"connection-{next(_NUMBERS)}"
        self.peer = ""
        self.hello = None
        self._paused = False
        self._is_pacing = False
        self._queue = collections.deque()
        self._queued_bytes = 0
        # Called once the transport has room again after the frames written so far.
        self._written = []
        self._hello_timer = None

    def connectionMade(self):
        """Announce this process to the peer."""
        self._hello_timer = self.hub.call_later(HELLO_TIMEOUT_S, self._expire)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.send(self.hub.identity.hello)

    def _expire(self):
        """Close a connection whose peer says nothing; it would take a place."""
        self.hub.counters["hello_timeouts"] += 1
        self.transport.abortConnection()

    def _stop_hello_timer(self):
        if self._hello_timer.active():
            self._hello_timer.cancel()

    @property
    def has_room(self):
        """Whether :meth:`send` takes a message of the largest size now."""
        if self.transport is None or self.transport.disconnecting:
            return False
        return self._queued_bytes + codec.MAX_FRAME_BYTES <= MAX_QUEUED_BYTES

    def send(self, message, done=None):
        """Send a message.

        :param message: one of :mod:`cicadaplank.messages.types`.
        :param done: called once the message is written and the transport has room
            again, or when it was given up. A link that is slower than the messages
            that are sent over it delays the call.
        :returns: False when the send queue is full or the connection is closing.
        """
        return self.send_frame(self.hub.encode(message), done)

    def send_frame(self, frame, done=None):
        """Send a message that is encoded already; see :meth:`send`."""
        if self.transport is None or self.transport.disconnecting:
            self._call(done)
            return False
        if not self._paused and not self._queue and not self._is_pacing:
            self._write(frame, done)
            return True
        if self._queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.hub.counters["send_queue_full"] += 1
            self._call(done)
            return False
        self._queue.append((frame, done))
        self._queued_bytes += len(frame)
        return True

    def _call(self, done):
        if done is not None:
            self.hub.call_later(0, done)

    def _write(self, frame, done):
        self.hub.counters["bytes_sent"] += len(frame)
        if done is not None:
            self._written.append(done)
        pacer = self.hub.pacer
        if pacer is None or len(frame) <= pacing.SMALL_BYTES:
            self.sendString(frame)
            self._report_written()
            return
        self._is_pacing = True
        whole = struct.pack(self.structFormat, len(frame)) + frame
        pacer.write(whole, self._write_slice, self._paced)

    def _write_slice(self, data):
        if self.transport is None or not self.transport.connected:
            return False
        self.transport.write(data)
        return True

    def _paced(self):
        self._is_pacing = False
        self._report_written()
        self._write_queued()

    def _report_written(self):
        if self._paused or self._is_pacing:
            return
        written, self._written = self._written, []
        for done in written:
            self._call(done)

    def pauseProducing(self):
        """Queue frames until the transport has room again."""
        self._paused = True

    def resumeProducing(self):
        """Write the queued frames until the transport is full."""
        self._paused = False
        self._report_written()
        self._write_queued()

    def _write_queued(self):
        while self._queue and not self._paused and not self._is_pacing:
            frame, done = self._queue.popleft()
            self._queued_bytes -= len(frame)
            self._write(frame, done)

    def stopProducing(self):
        """Drop the queued frames; the connection has ended."""
        for done in (*self._written, *(done for _, done in self._queue)):
            self._call(done)
        self._written.clear()
        self._queue.clear()

    def stringReceived(self, string):
        """Decode one frame and deliver it."""
        self.hub.counters["bytes_received"] += len(string)
        try:
            envelope = codec.decode(string)
        except codec.FrameError as fault:
            self._reject(fault)
            return
        if self.hello is not None:
            self.hub.deliver(self, envelope)
        elif isinstance(envelope.message, types.Hello):
            self._stop_hello_timer()
            self.peer, self.hello = envelope.sender, envelope.message
            self.hub.register(self, envelope)
        else:
            fault = codec.FrameFault.MALFORMED
            self._reject(codec.FrameError(fault, "the first message is not a Hello"))

    def lengthLimitExceeded(self, length):
        """Close the connection of a peer that announces a frame that is too long."""
        fault = codec.FrameFault.TOO_LONG
        self._reject(codec.FrameError(fault, f"{length} bytes announced"))

    def _reject(self, fault):
        self.hub.counters[f"frame_{fault.fault.value}"] += 1
        self.hub.log("frame_rejected", peer=self.peer or "?", reason=str(fault))
        self.transport.loseConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        """Report the end of the connection to the hub."""
        self._stop_hello_timer()
        self.transport.unregisterProducer()
        self.hub.unregister(self)


class _Connections(protocol.Factory):
    """Builds connections; a hub that is full builds none, which closes the socket."""

    def __init__(self, build):
        self._build = build

    def buildProtocol(self, addr):
        connection = self._build()
        if connection is not None:
            connection.factory = self
        return connection


class PeerHub:
    """Owns the peer port and the connections of a process.

    :param reactor: Twisted reactor.
    :param identity: :class:`Identity` of this process.
    :param listener: :class:`Listener`.
    :param table_version: callable that gives the highest configuration version held.
    :param log: callable ``log(event, **fields)``.
    :param pacer: :class:`pacing.PacedWriter` for large frames, or None to write them at
        once.
    """

    def __init__(self, reactor, identity, listener, table_version, log, pacer=None):
        self.pacer = pacer
        self.identity = identity
        self.counters = collections.Counter()
        self.log = log
        self._reactor = reactor
        self._listener = listener
        self._table_version = table_version
        self._connections = {}
        self._all = set()
        self._dialling = {}
        self._dial_timers = {}
        self._retry_after_s = {}
        self._port = None

    @property
    def peers(self):
        """Names of the connected peers."""
        return sorted(self._connections)

    def call_later(self, delay_s, function):
        """Call a function after a delay.

        :returns: the timer, with ``active`` and ``cancel``.
        """
        return self._reactor.callLater(delay_s, function)

    @property
    def open_count(self):
        """Number of open connections, also of peers that have not said hello."""
        return len(self._all)

    def encode(self, message):
        """Return the frame of a message in this process's envelope."""
        envelope = codec.Envelope(self.identity.name, self._table_version(), message)
        return codec.encode(envelope)

    def listen(self, host, port):
        """Open the peer port.

        :param host: IP address.
        :param port: TCP port, 0 for one that the kernel chooses.
        :returns: Deferred of the port number.
        """
        endpoint = endpoints.TCP4ServerEndpoint(self._reactor, port, interface=host)
        opened = endpoint.listen(_Connections(self._build))
        return opened.addCallback(self._opened)

    def _opened(self, port):
        self._port = port
        return port.getHost().port

    def _build(self):
        connection = PeerConnection(self)
        if len(self._all) >= MAX_CONNECTIONS:
            self.counters["connections_refused"] += 1
            return None
        self._all.add(connection)
        return connection

    def connection(self, name):
        """Return a live connection to a peer.

        :param name: instance name.
        :returns: :class:`PeerConnection` or None.
        """
        live = self._connections.get(name)
        return live[-1] if live else None

    def send(self, name, message):
        """Send a message to a connected peer.

        :param name: instance name.
        :param message: one of :mod:`cicadaplank.messages.types`.
        :returns: the :class:`PeerConnection` used, or None when nothing was sent.
        """
        connection = self.connection(name)
        if connection is None or not connection.send(message):
            return None
        return connection

    def send_all(self, names, message):
        """Send one message to several connected peers; it is encoded once.

        :param names: instance names; those without a connection are left out.
        :param message: one of :mod:`cicadaplank.messages.types`.
        """
        frame = self.encode(message)
        for name in names:
            connection = self.connection(name)
            if connection is not None:
                connection.send_frame(frame)

    def dial(self, instance):
        """Connect to a peer unless there is a connection or an attempt already.

        :param instance: :class:`cicadaplank.world.machines.Instance`.
        :returns: Deferred that fires with the connection, or with None when the peer
            cannot be reached now.
        """
        live = self.connection(instance.name)
        if live is not None:
            return defer.succeed(live)
        if self._reactor.seconds() < self._retry_after_s.get(instance.name, 0.0):
            return defer.succeed(None)
        waiting = defer.Deferred()
        queue = self._dialling.setdefault(instance.name, [])
        queue.append(waiting)
        if len(queue) == 1:
            self._connect(instance)
        return waiting

    def _connect(self, instance):
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, instance.host, instance.port, timeout=CONNECT_TIMEOUT_S
        )
        factory = _Connections(self._build)
        # A peer that accepts but never says hello would hold the callers back.
        self._dial_timers[instance.name] = self._reactor.callLater(
            HELLO_TIMEOUT_S, self._settle_dial, instance.name, None
        )
        opening = endpoint.connect(factory)
        opening.addErrback(self._connect_failed, instance.name)

    def _connect_failed(self, failure, name):
        failure.trap(error.ConnectError, error.NoProtocol, defer.CancelledError)
        self._retry_after_s[name] = self._reactor.seconds() + RECONNECT_DELAY_S
        self._settle_dial(name, None)

    def _settle_dial(self, name, connection):
        # A timer that is left would end the next dial to the peer too early.
        timer = self._dial_timers.pop(name, None)
        if timer is not None and timer.active():
            timer.cancel()
        for waiting in self._dialling.pop(name, ()):
            waiting.callback(connection)

    def register(self, connection, envelope):
        """Record a connection whose peer has said hello."""
        self._connections.setdefault(connection.peer, []).append(connection)
        self._settle_dial(connection.peer, connection)
        self.deliver(connection, envelope)

    def unregister(self, connection):
        """Forget a connection that has ended."""
        self._all.discard(connection)
        live = self._connections.get(connection.peer, [])
        if connection in live:
            live.remove(connection)
            if not live:
                del self._connections[connection.peer]
            self._listener.connection_lost(connection)

    def deliver(self, connection, envelope):
        """Pass a message on to the process."""
        self._listener.message_received(connection, envelope)

    def close(self):
        """Close the port and every connection.

        :returns: Deferred that fires when the port is closed.
        """
        closing = []
        if self._port is not None:
            closing.append(defer.maybeDeferred(self._port.stopListening))
        for connection in list(self._all):
            connection.transport.loseConnection()
        return defer.DeferredList(closing)
