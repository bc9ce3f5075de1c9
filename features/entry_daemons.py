"""An entry process of the way through agents, without sockets, on a stepped clock."""

import types as plain_types

from twisted.internet import defer, task

from cicadaplank.entry import frontend, process
from cicadaplank.members import membership
from cicadaplank.messages import codec, types
from cicadaplank.table import distribution
from cicadaplank.world import contracts, machines, settings

ROW, CLIENT, DIGEST = "m", "client", "digest-1"
AGENTS = ("agent-1", "agent-2")
REPORT_INTERVAL_S = 2.0
STEP_S = 0.05
URL = "http://127.0.0.1:1"


class Caller:
    """Twisted request of a caller, whose answer is kept.

    :ivar fault: exception that the next write raises, or None.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_finished = self.is_aborted = False
        self.fault = None
        self.ended = defer.Deferred()
        self.startedWriting = False
        handle = plain_types.SimpleNamespace(recv=self._recv)
        self.transport = plain_types.SimpleNamespace(
            getHandle=lambda: handle, abortConnection=self._abort
        )

    def _recv(self, size, flags):
        raise BlockingIOError

    def _abort(self):
        self.is_aborted = True

    def setResponseCode(self, status):
        """Keep the status."""
        self.status = status

    def setHeader(self, name, value):
        """Keep a header."""
        self.headers[name] = value

    def write(self, data):
        """Keep a part of the body, or raise the fault."""
        fault, self.fault = self.fault, None
        if fault is not None:
            raise fault
        assert not self.is_finished, "a write after the end"
        self.startedWriting = True
        self.body += data

    def finish(self):
        """End the answer."""
        assert not self.is_finished, "a second end"
        self.is_finished = True

    def notifyFinish(self):
        """Return a Deferred that never fires: the caller stays."""
        return self.ended


class Connection:
    """Connection to a peer that keeps what is sent on it."""

    has_room = True

    def __init__(self, name, role):
        self.peer = self.name = name
        self.hello = types.Hello(role, "r", "d", 1)
        self.sent = []

    def send(self, message, done=None):
        """Keep a message."""
        self.sent.append(message)
        return True

    def of(self, message_type):
        """Return the messages of a type."""
        return [each for each in self.sent if isinstance(each, message_type)]


def row(client=contracts.ANY_CLIENT, holders=AGENTS):
    """Return the row that the agents serve, granted to a client."""
    limits = (contracts.ClientLimit(client, 1000.0),)
    return contracts.Row(ROW, "model", "1", DIGEST, 1, holders=holders, limits=limits)


class Entry:
    """An entry process, two agents and another entry process.

    :ivar paused: names of the peers that send nothing.
    :ivar uncaught: exceptions that only Twisted or the hub would catch.
    :ivar is_confirmed: whether the others have not heard from a paused peer either.
    """

    def __init__(self):
        self.clock = task.Clock()
        self.clock.advance(1000.0)
        configured = settings.Settings(
            name="entry-1",
            role="entry",
            region="r",
            data_centre="d",
            listen=settings.Listen("127.0.0.1", 1, 1),
            platform=settings.Platform(URL, URL, URL, URL, "r"),
            drain_limit_s=8.0,
        )
        self.daemon = process.EntryDaemon(self.clock, configured)
        self.lines = []
        self.daemon.events.log = lambda event, level="info", **fields: (
            self.lines.append((event, fields))
        )
        self.connections = {
            name: Connection(name, "agent" if name in AGENTS else "entry")
            for name in (*AGENTS, "entry-2")
        }
        self.paused = set()
        self.is_confirmed = True
        self.is_frozen = False
        self._waiting = []
        self._heartbeat_s = dict.fromkeys(self.connections, 0.0)
        self._report_s = dict.fromkeys(self.connections, 0.0)
        self._answered = set()
        self.uncaught = []
        self._start()

    def _start(self):
        daemon = self.daemon
        daemon.handlers[membership.ReadInstances] = lambda action: None
        daemon.distribution.ready = lambda now_s: True
        daemon.distribution.tick = lambda now_s: ()
        daemon.membership = membership.Membership(
            daemon.settings.instance(), daemon.incarnation, daemon.rng
        )
        daemon.membership.ready(self.now_s)
        for name, connection in self.connections.items():
            daemon.hub._connections[name] = [connection]
        listed = [
            membership.InstanceListEntry(
                machines.Instance(name, each.hello.role, "127.0.0.1", 1, "r", "d")
            )
            for name, each in self.connections.items()
        ]
        daemon.hub.send = self._send
        daemon.hub._connect = lambda instance: daemon.hub._settle_dial(
            instance.name, None
        )
        daemon.carry_out(daemon.membership.listed(listed, self.now_s))
        daemon.carry_out(daemon.membership.start(self.now_s))
        self.configure(row())
        for connection in self.connections.values():
            self.receive(connection.peer, connection.hello)
        self.run(2.5)

    @property
    def now_s(self):
        """Time of the clock in seconds."""
        return self.clock.seconds()

    def _send(self, peer, message):
        self.connections[peer].send(message)
        return True

    def configure(self, *rows):
        """Put a table in force."""
        held = self.daemon.distribution.configuration
        table = contracts.Table(rows)
        found = contracts.Configuration(held.version + 1, "change", table)
        self.daemon.distribution.configuration = found
        self.daemon._apply_configuration(distribution.ApplyConfiguration(found, held))

    def receive(self, peer, message):
        """Deliver a message of a peer, or keep it while this process is frozen."""
        if self.is_frozen:
            self._waiting.append((peer, message))
            return
        envelope = codec.Envelope(peer, 1, message)
        connection = self.connections[peer]
        self._catch(self.daemon.message_received, connection, envelope)

    def _catch(self, function, *arguments):
        try:
            function(*arguments)
        except Exception as error:
            self.uncaught.append(error)

    def lose(self, name):
        """Lose the connection to a peer."""
        connection = self.daemon.hub._connections.pop(name)[0]
        self.paused.add(name)
        self._catch(self.daemon.connection_lost, connection)

    def connect_again(self, name):
        """Get a second connection to a peer; return the first one."""
        first = self.connections[name]
        self.connections[name] = Connection(name, first.hello.role)
        self.daemon.hub._connections[name].append(self.connections[name])
        self.receive(name, first.hello)
        return first

    def lose_one(self, connection):
        """Lose one of the connections to a peer."""
        self.daemon.hub._connections[connection.peer].remove(connection)
        self._catch(self.daemon.connection_lost, connection)

    def reconnect(self, name):
        """Get a new connection to a peer, which reports at once."""
        role = self.connections[name].hello.role
        sent = self.connections[name].sent
        self.connections[name] = Connection(name, role)
        self.connections[name].sent = sent
        self.daemon.hub._connections[name] = [self.connections[name]]
        self.paused.discard(name)
        self.receive(name, self.connections[name].hello)
        self._report_s[name] = 0.0

    def _peers_send(self):
        for name, connection in self.connections.items():
            if name in self.paused:
                continue
            if self.now_s - self._heartbeat_s[name] >= membership.HEARTBEAT_INTERVAL_S:
                self._heartbeat_s[name] = self.now_s
                self.receive(name, types.Heartbeat(1, "ready", 0.1))
            is_due = self.now_s - self._report_s[name] >= REPORT_INTERVAL_S
            if name in AGENTS and is_due:
                self._report_s[name] = self.now_s
                self.receive(name, types.EndpointReport({ROW: DIGEST}, 0, 8, "ready"))
            for query in connection.of(types.MemberQuery):
                if id(query) not in self._answered and query.name in self.paused:
                    self._answered.add(id(query))
                    age_s = 60.0 if self.is_confirmed else 0.1
                    self.receive(name, types.MemberReply(query.name, 1, age_s))

    def run(self, duration_s):
        """Let time pass; a frozen process gets its timers first when it goes on."""
        for _ in range(round(duration_s / STEP_S)):
            if self.is_frozen:
                self.clock.rightNow += STEP_S
            else:
                self._catch(self.clock.advance, STEP_S)
                self._catch(self.daemon._tick)
            self._peers_send()

    def resume(self):
        """Go on after a freeze: the timers run before the sockets are read."""
        self.is_frozen = False
        self.clock.advance(0.0)
        self.daemon._tick()
        waiting, self._waiting = self._waiting, []
        for peer, message in waiting:
            self.receive(peer, message)

    def call(self, is_stream=False, deadline_s=20.0):
        """Send a request; return its :class:`Caller`."""
        caller = Caller()
        path = frontend.MODEL_PATHS[0]
        call = frontend.Call(
            ROW, CLIENT, "POST", path, b"{}", is_stream, None, deadline_s
        )
        self._catch(self.daemon.serving.accept_request, caller, call)
        return caller

    def works(self):
        """Return each agent's name with a work message that it got, by attempt."""
        found = [
            (name, work)
            for name in AGENTS
            for work in self.connections[name].of(types.Work)
        ]
        return sorted(found, key=lambda each: each[1].attempt)

    def answer(self, name, work, data=b"whole", offset=0):
        """Answer work of a request that is no stream."""
        self.receive(name, types.WorkData(work.attempt, offset, data))
        self.receive(name, types.WorkEnd(work.attempt, 200, offset + len(data), 0))
