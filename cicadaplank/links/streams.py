"""TCP connections that carry message frames between the system's processes.

A process has one :class:`PeerHub`. It owns the listening port and every
:class:`PeerConnection`, and delivers decoded messages to the process.
"""

import collections
import dataclasses
import itertools
import struct
import traceback
import typing

from twisted.internet import defer, endpoints, error, protocol
from twisted.protocols import basic

from cicadaplank.links import (
    connection_order,
    held_bytes,
    pacing,
    peer_limits,
    sockets,
)
from cicadaplank.messages import codec, types

MAX_QUEUED_BYTES = 16 * 1024 * 1024
# Connections of one peer; both sides may dial at the same time.
MAX_PER_PEER = 4
CONNECT_TIMEOUT_S = 1.0
# Time from the start of a dial, or from an accepted connection, to the peer's hello.
HELLO_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S
RECONNECT_DELAY_S = 0.5
# Maximum size of the first message of a peer, which has a few short names.
MAX_HELLO_BYTES = 4 * 1024
# Time in which a frame has to arrive. The largest takes 14 s on a link of 1.2 Mbit/s.
FRAME_TIMEOUT_S = 30.0
# Length of the end of a traceback that is logged.
MAX_DETAIL_CHARS = 480
_CONNECTION_NUMBERS = itertools.count(1)


class Listener(typing.Protocol):
    """Receives the messages and the ends of the connections of a hub."""

    def message_received(self, connection, envelope):
        """Handle one message from a peer."""

    def connection_lost(self, connection):
        """Handle the end of a connection whose peer had sent its hello."""


@dataclasses.dataclass(frozen=True)
class Identity:
    """Name and first message of a process.

    :param name: instance name.
    :param hello: :class:`cicadaplank.messages.types.Hello` that it sends first.
    """

    name: str
    hello: types.Hello


class PeerConnection(basic.Int32StringReceiver):
    """Connection to a peer; the first message in each direction is a ``Hello``.

    Frames that the transport or the pacer cannot take now wait in a bounded queue.

    :param hub: the :class:`PeerHub` that owns the connection.
    :param is_dialled: whether this process opened it.
    :ivar name: unique in this process; a reconnection of the peer gets a new name.
    :ivar peer: instance name of the peer, empty before its hello.
    :ivar hello: the peer's :class:`cicadaplank.messages.types.Hello`, None before.
    """

    MAX_LENGTH = codec.MAX_FRAME_BYTES

    def __init__(self, hub, is_dialled=False):
        self.hub = hub
        self._is_dialled = is_dialled
        self.name = f"connection-{next(_CONNECTION_NUMBERS)}"
        self.peer = ""
        self.hello = None
        self._paused = False
        self._is_pacing = False
        self._queue = collections.deque()
        self._queued_bytes = 0
        # Called once the transport has room again after the frames written so far.
        self._done_callbacks = []
        self._hello_timer = None
        self._frame_timer = None
        # Bytes of frames that are not complete, and a count of complete ones.
        self._received = bytearray()
        self._frame_count = 0
        # Time in seconds at which the first bytes of the frame being received came.
        self._frame_began_s = 0.0

    def connectionMade(self):
        """Send the hello of this process and start the time limit for the peer's."""
        self._hello_timer = self.hub.call_later(
            HELLO_TIMEOUT_S, self._abort_without_hello
        )
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.send(self.hub.identity.hello)

    def _abort_without_hello(self):
        """Abort a connection without a hello; it counts towards the limit."""
        self.hub.counters["hello_timeouts"] += 1
        self.transport.abortConnection()

    def _stop_hello_timer(self):
        if self._hello_timer.active():
            self._hello_timer.cancel()

    @property
    def standing(self):
        """What is known of the peer: a :class:`connection_order.Standing`."""
        if self._is_dialled:
            return connection_order.Standing.KNOWN
        if self.hello is None:
            return connection_order.Standing.SILENT
        if self.hub.is_known(self.peer):
            return connection_order.Standing.KNOWN
        return connection_order.Standing.STRANGER

    @property
    def unread_bytes(self):
        """Number of bytes that wait to be read by the peer."""
        return self._queued_bytes + sockets.unsent_bytes(self.transport)

    @property
    def frame_receive_s(self):
        """Seconds from the first bytes to the last of the frame that is delivered."""
        return self.hub.seconds() - self._frame_began_s

    @property
    def has_room(self):
        """Whether :meth:`send` would accept a message of the maximum size now."""
        if self.transport is None or self.transport.disconnecting:
            return False
        return self._queued_bytes + codec.MAX_FRAME_BYTES <= MAX_QUEUED_BYTES

    def send(self, message, done=None):
        """Send a message.

        :param message: one of :mod:`cicadaplank.messages.types`.
        :param done: called once the message is written and the transport has room
            again, or when the message is dropped. A link that is slower than the
            sender delays the call.
        :returns: False when the send queue is full or the connection is closing.
        """
        return self.send_frame(self.hub.encode(message), done)

    def send_frame(self, frame, done=None):
        """Send an encoded message; see :meth:`send`."""
        if self.transport is None or self.transport.disconnecting:
            self._schedule(done)
            return False
        if not self._paused and not self._queue and not self._is_pacing:
            self._write(frame, done)
            return True
        if self._queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.hub.counters["send_queue_full"] += 1
            self._schedule(done)
            return False
        self._queue.append((frame, done))
        self._queued_bytes += len(frame)
        self.hub.unread.set_held(self, self.unread_bytes)
        return True

    def _schedule(self, done):
        if done is not None:
            self.hub.call_later(0, done)

    def _write(self, frame, done):
        self.hub.counters["bytes_sent"] += len(frame)
        if done is not None:
            self._done_callbacks.append(done)
        pacer = self.hub.pacer
        if pacer is None or len(frame) <= pacing.MAX_UNPACED_BYTES:
            self.sendString(frame)
            self._schedule_done_callbacks()
            self.hub.unread.set_held(self, self.unread_bytes)
            return
        self._is_pacing = True
        prefixed_frame = struct.pack(self.structFormat, len(frame)) + frame
        pacer.write(prefixed_frame, self._write_slice, self._slices_written)

    def _write_slice(self, data):
        if self.transport is None or not self.transport.connected:
            return False
        self.transport.write(data)
        return True

    def _slices_written(self):
        self._is_pacing = False
        self._schedule_done_callbacks()
        self._write_queued()

    def _schedule_done_callbacks(self):
        if self._paused or self._is_pacing:
            return
        callbacks, self._done_callbacks = self._done_callbacks, []
        for done in callbacks:
            self._schedule(done)

    def pauseProducing(self):
        """Queue frames until the transport has room again."""
        self._paused = True

    def resumeProducing(self):
        """Write the queued frames until the transport is full."""
        self._paused = False
        self._schedule_done_callbacks()
        self._write_queued()

    def _write_queued(self):
        while self._queue and not self._paused and not self._is_pacing:
            frame, done = self._queue.popleft()
            self._queued_bytes -= len(frame)
            self._write(frame, done)

    def stopProducing(self):
        """Drop the queued frames, because the connection has ended."""
        for done in (*self._done_callbacks, *(done for _, done in self._queue)):
            self._schedule(done)
        self._done_callbacks.clear()
        self._queue.clear()
        self._queued_bytes = 0

    def dataReceived(self, data):
        """Deliver the frames that the data completes."""
        if self.transport.disconnecting:
            return
        if not self._received:
            self._frame_began_s = self.hub.seconds()
        self._received += data
        while len(self._received) >= self.prefixLength:
            (length,) = struct.unpack_from(self.structFormat, self._received)
            if length > (MAX_HELLO_BYTES if self.hello is None else self.MAX_LENGTH):
                self.lengthLimitExceeded(length)
                return
            end = self.prefixLength + length
            if len(self._received) < end:
                break
            frame = bytes(self._received[self.prefixLength : end])
            del self._received[:end]
            self._frame_count += 1
            self.stringReceived(frame)
            if self.transport.disconnecting:
                return
            self._frame_began_s = self.hub.seconds()
        self.hub.incomplete.set_held(self, len(self._received))
        if self._received and self._frame_timer is None:
            self._start_frame_timer()

    def _start_frame_timer(self):
        self._frame_timer = self.hub.call_later(
            FRAME_TIMEOUT_S, self._check_frame, self._frame_count
        )

    def _check_frame(self, frame_count):
        """Abort the connection if no frame was completed since the timer's start."""
        self._frame_timer = None
        if not self._received:
            return
        if self._frame_count == frame_count:
            self.hub.counters["frame_timeouts"] += 1
            reason = f"{len(self._received)} bytes of a frame in {FRAME_TIMEOUT_S} s"
            self.hub.log("frame_rejected", peer=self.peer or "?", reason=reason)
            self.transport.abortConnection()
            return
        self._start_frame_timer()

    def drop_buffer(self, reason):
        """Abort the connection, as all together hold too much memory."""
        event = "incomplete_frames_dropped" if self._received else "unread_dropped"
        self._received.clear()
        # The transport reports the end of the connection later.
        self.stopProducing()
        self.hub.counters[event] += 1
        self.hub.log("frame_rejected", peer=self.peer or "?", reason=reason)
        self.transport.abortConnection()

    def give_way(self):
        """Abort the connection, as there are too many."""
        self.hub.counters["connections_cut"] += 1
        self.transport.abortConnection()

    def stringReceived(self, string):
        """Decode one frame and deliver it."""
        self.hub.counters["bytes_received"] += len(string)
        try:
            envelope = codec.decode(string)
        except codec.FrameError as fault:
            if fault.fault is codec.FrameFault.INVALID_VALUE and self.hello:
                self._skip(fault)
            else:
                self._reject(fault)
            return
        if self.hello is not None:
            if isinstance(envelope.message, types.Hello):
                fault = codec.FrameFault.MALFORMED
                self._reject(codec.FrameError(fault, "a second Hello"))
                return
            self.hub.count_received(self.hello, envelope.message, len(string))
            self.hub.used(self)
            self.hub.deliver(self, envelope)
        elif isinstance(envelope.message, types.Hello):
            self._stop_hello_timer()
            self.peer, self.hello = envelope.sender, envelope.message
            self.hub.register(self, envelope)
        else:
            fault = codec.FrameFault.MALFORMED
            self._reject(codec.FrameError(fault, "the first message is not a Hello"))

    def lengthLimitExceeded(self, length):
        """Close the connection: the peer announced a frame that is too long."""
        fault = codec.FrameFault.TOO_LONG
        self._reject(codec.FrameError(fault, f"{length} bytes announced"))

    def _skip(self, fault):
        self.hub.counters[f"frame_{fault.fault.value}"] += 1
        self.hub.log("frame_skipped", peer=self.peer, reason=str(fault))

    def _reject(self, fault):
        self.hub.counters[f"frame_{fault.fault.value}"] += 1
        self.hub.log("frame_rejected", peer=self.peer or "?", reason=str(fault))
        self.transport.loseConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        """Stop the hello timer and remove the connection from the hub."""
        self._stop_hello_timer()
        if self._frame_timer is not None:
            self._frame_timer.cancel()
            self._frame_timer = None
        self._received.clear()
        self.hub.incomplete.release(self)
        self.hub.unread.release(self)
        self.transport.unregisterProducer()
        self.hub.unregister(self)


class _ConnectionFactory(protocol.Factory):
    """Twisted factory of connections.

    A hub that is full builds none, on which Twisted closes the socket.
    """

    def __init__(self, build):
        self._build_connection = build

    def buildProtocol(self, addr):
        connection = self._build_connection()
        if connection is not None:
            connection.factory = self
        return connection


class PeerHub:
    """Owns the peer port and the connections of a process.

    :param reactor: Twisted reactor.
    :param identity: :class:`Identity` of this process.
    :param listener: :class:`Listener` that receives the messages.
    :param table_version: callable that returns the version of the configuration that
        this process holds or, where it may hold one that is not in force, decides by.
    :param log: callable ``log(event, **fields)``.
    :param pacer: :class:`pacing.PacedWriter` for large frames, or None to write them
        at once.
    :ivar is_known: callable that tells whether a name is that of a real peer. Others
        give way to them.
    """

    def __init__(self, reactor, identity, listener, table_version, log, pacer=None):
        self.pacer = pacer
        self.identity = identity
        self.counters = collections.Counter()
        limits = peer_limits.PeerLimits()
        self.incomplete = held_bytes.HeldBytes(limits.incomplete_bytes)
        self.unread = held_bytes.HeldBytes(
            limits.unread_bytes, lambda connection: connection.unread_bytes
        )
        self._order = connection_order.ConnectionOrder(limits.max_connections)
        self.is_known = lambda name: True
        # Bytes of received messages by type and whether they came from another region.
        self.received_bytes = collections.Counter()
        self.log = log
        self._reactor = reactor
        self._listener = listener
        self._table_version = table_version
        self._connections = {}
        self._open_connections = set()
        self._dial_waiters = {}
        self._dial_timers = {}
        self._retry_after_s = {}
        # Names of the peers at whose host no process listened at the last dial.
        self._refused = set()
        self._port = None

    def set_limits(self, limits):
        """Apply other limits from now on.

        :param limits: :class:`peer_limits.PeerLimits`.
        """
        self.incomplete.limit_bytes = limits.incomplete_bytes
        self.unread.limit_bytes = limits.unread_bytes
        self._order.limit = limits.max_connections

    @property
    def peers(self):
        """Sorted instance names of the connected peers."""
        return sorted(self._connections)

    def seconds(self):
        """Return the time of the reactor's clock in seconds."""
        return self._reactor.seconds()

    def call_later(self, delay_s, function, *args):
        """Call a function with arguments after a delay.

        :returns: the timer, with ``active`` and ``cancel``.
        """
        return self._reactor.callLater(delay_s, function, *args)

    @property
    def open_count(self):
        """Number of open connections, including those without a hello yet."""
        return len(self._open_connections)

    def encode(self, message):
        """Return the frame of a message, in an envelope with this process as sender."""
        envelope = codec.Envelope(self.identity.name, self._table_version(), message)
        return codec.encode(envelope)

    def listen(self, host, port):
        """Open the peer port.

        :param host: IP address.
        :param port: TCP port, 0 to let the kernel choose one.
        :returns: Deferred of the port number.
        """
        endpoint = endpoints.TCP4ServerEndpoint(self._reactor, port, interface=host)
        opened = endpoint.listen(_ConnectionFactory(self._build_connection))
        return opened.addCallback(self._port_opened)

    def _port_opened(self, port):
        self._port = port
        return port.getHost().port

    def _build_connection(self, is_dialled=False):
        connection = PeerConnection(self, is_dialled)
        for other in self._order.take_excess(self.seconds()):
            other.give_way()
        if self._order.is_full:
            self.counters["connections_refused"] += 1
            return None
        self._open_connections.add(connection)
        self.used(connection)
        return connection

    def used(self, connection):
        """Record that a connection was opened, or that a message came on it."""
        if connection in self._open_connections:
            self._order.used(connection, connection.standing, self.seconds())

    def connection(self, name):
        """Return the newest open connection to a peer.

        :param name: instance name.
        :returns: :class:`PeerConnection` or None.
        """
        connections = self._connections.get(name)
        return connections[-1] if connections else None

    def has_refused(self, name):
        """Tell whether no process listened at a peer's host at the last dial.

        :param name: instance name.
        """
        return name in self._refused

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
        """Send one message to several connected peers, encoding it once.

        :param names: instance names; those without a connection are skipped.
        :param message: one of :mod:`cicadaplank.messages.types`.
        """
        frame = self.encode(message)
        for name in names:
            connection = self.connection(name)
            if connection is not None:
                connection.send_frame(frame)

    def dial(self, instance):
        """Connect to a peer, or use its open connection or a dial in progress.

        :param instance: :class:`cicadaplank.world.machines.Instance`.
        :returns: Deferred that fires with the :class:`PeerConnection`, or with None
            when the peer cannot be reached, or a dial has failed less than
            ``RECONNECT_DELAY_S`` ago.
        """
        connection = self.connection(instance.name)
        if connection is not None:
            return defer.succeed(connection)
        if self._reactor.seconds() < self._retry_after_s.get(instance.name, 0.0):
            return defer.succeed(None)
        waiter = defer.Deferred()
        waiters = self._dial_waiters.setdefault(instance.name, [])
        waiters.append(waiter)
        if len(waiters) == 1:
            self._connect(instance)
        return waiter

    def _connect(self, instance):
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, instance.host, instance.port, timeout=CONNECT_TIMEOUT_S
        )
        factory = _ConnectionFactory(lambda: self._build_connection(is_dialled=True))
        # Without this limit, a peer that accepts the connection but never sends its
        # hello would leave the callers waiting.
        self._dial_timers[instance.name] = self._reactor.callLater(
            HELLO_TIMEOUT_S, self._settle_dial, instance.name, None
        )
        opening = endpoint.connect(factory)
        opening.addErrback(self._connect_failed, instance.name)

    def _connect_failed(self, failure, name):
        failure.trap(error.ConnectError, error.NoProtocol, defer.CancelledError)
        self._retry_after_s[name] = self._reactor.seconds() + RECONNECT_DELAY_S
        if failure.check(error.ConnectionRefusedError):
            self._refused.add(name)
        else:
            self._refused.discard(name)
        self._settle_dial(name, None)

    def _settle_dial(self, name, connection):
        # A timer that is not cancelled would end the next dial to the peer too early.
        timer = self._dial_timers.pop(name, None)
        if timer is not None and timer.active():
            timer.cancel()
        for waiter in self._dial_waiters.pop(name, ()):
            waiter.callback(connection)

    def register(self, connection, envelope):
        """Register a connection by its peer, and deliver the peer's hello.

        :param connection: :class:`PeerConnection`.
        :param envelope: envelope that carries the ``Hello``.
        """
        connections = self._connections.setdefault(connection.peer, [])
        connections.append(connection)
        self.used(connection)
        if len(connections) > MAX_PER_PEER:
            connections[0].give_way()
        self._refused.discard(connection.peer)
        self._settle_dial(connection.peer, connection)
        self.deliver(connection, envelope)

    def unregister(self, connection):
        """Remove a connection that has ended.

        The listener is told only when the peer had sent its hello.
        """
        self._open_connections.discard(connection)
        self._order.remove(connection)
        connections = self._connections.get(connection.peer, [])
        if connection in connections:
            connections.remove(connection)
            if not connections:
                del self._connections[connection.peer]
            self._listener.connection_lost(connection)

    def count_received(self, hello, message, size_bytes):
        """Count the bytes of a message by its type and the sender's region.

        :param hello: :class:`types.Hello` of the sender.
        :param message: message that was received.
        :param size_bytes: length of its frame.
        """
        is_remote = hello.region != self.identity.hello.region
        self.received_bytes[type(message).__name__, is_remote] += size_bytes

    def update_metrics(self, metrics):
        """Set the gauges of the received bytes and of the connections' events.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        """
        for (name, is_remote), size_bytes in self.received_bytes.items():
            region = "other" if is_remote else "own"
            metrics.set_gauge(
                "peer_bytes_received", size_bytes, message=name, region=region
            )
        for event, count in self.counters.items():
            metrics.set_gauge("peer_connections", count, event=event)
        metrics.set_gauge("peer_connections_open", self.open_count)
        metrics.set_gauge("peer_connections_limit", self._order.limit)
        for kind, held in ("incomplete", self.incomplete), ("unread", self.unread):
            metrics.set_gauge("peer_memory_bytes", held.total_bytes, kind=kind)
            metrics.set_gauge("peer_memory_limit_bytes", held.limit_bytes, kind=kind)

    def deliver(self, connection, envelope):
        """Pass a message to the listener; an error costs the message only."""
        try:
            self._listener.message_received(connection, envelope)
        except Exception:
            self.counters["messages_failed"] += 1
            detail = traceback.format_exc().strip().replace("\n", " | ")
            self.log(
                "message_failed",
                peer=connection.peer,
                message=type(envelope.message).__name__,
                detail=detail[-MAX_DETAIL_CHARS:],
            )

    def close(self):
        """Stop listening and close every connection.

        :returns: Deferred that fires when the port is closed; connections may still
            be flushing data.
        """
        closing = []
        if self._port is not None:
            closing.append(defer.maybeDeferred(self._port.stopListening))
        for connection in list(self._open_connections):
            connection.transport.loseConnection()
        return defer.DeferredList(closing)
