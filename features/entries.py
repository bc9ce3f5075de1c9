"""Entry processes without sockets, whose reads and reports a scenario plays."""

import types as plain_types

from cicadaplank.gateway import gateway, positions, process, routes
from cicadaplank.messages import codec, types
from cicadaplank.platform import headers

MODEL = "m"
PEER = "10.0.0.9"
BOUNDS = gateway.Bounds(0.2, 100, 10, 8.0)


class Log:
    """Keeps log lines."""

    def __init__(self):
        self.lines = []

    def log(self, event, level="info", **fields):
        """Keep a line."""
        self.lines.append((event, fields))

    def of(self, event):
        """Return the fields of each line of an event."""
        return [fields for name, fields in self.lines if name == event]


class Hub:
    """Keeps what is sent to one peer."""

    peers = (PEER,)

    def __init__(self):
        self.sent = []
        self.refused = {PEER}

    def connection(self, name):
        """Return a connection of an entry instance."""
        transport = plain_types.SimpleNamespace(abortConnection=lambda: None)
        hello = types.Hello("entry", "r", "a", 0)
        return plain_types.SimpleNamespace(hello=hello, peer=name, transport=transport)

    def has_refused(self, name):
        """Tell whether no process listens at a peer's host."""
        return name in self.refused

    def send(self, name, message):
        """Send a message that no scenario reads."""

    def send_all(self, names, message):
        """Keep a message as a frame."""
        self.sent.append(codec.encode(codec.Envelope(PEER, 0, message)))


class Entry:
    """An entry process without sockets.

    :param reactor: clock.
    :param name: IP address.
    :param store: :class:`cicadaplank.gateway.sync.Store`, or None when the scenario
        plays the reads.
    """

    def __init__(self, reactor, name, store=None):
        address = process.Address(name, 1)
        settings = process.Settings(
            name=name,
            region="r",
            data_centre="a",
            front=address,
            ready=address,
            ready_path="/ready",
            peer=address,
            metrics=address,
            seeds=(),
            bounds=BOUNDS,
            grace_s=8,
        )
        self.row = {}
        self.evacuated = frozenset()
        self.decoder = plain_types.SimpleNamespace(
            operator_table="op",
            endpoint_table="servers",
            configuration=lambda copy: None,
            named_weights=lambda copy: dict(self.row),
            evacuated=lambda copy: self.evacuated,
            unreadable=lambda name: {},
        )
        self.log = Log()
        self.process = process.EntryProcess(
            reactor,
            settings,
            store,
            self.decoder,
            None,
            headers.PlatformDialect(),
            None,
        )
        self.process.events.log = self.log.log
        self.hub = self.process.peers._hub = Hub()
        self.process._tick()

    def read(self, version, confirmed_s=None):
        """Read the operator's record with a version of the weights.

        :param version: version number.
        :param confirmed_s: time as of which the store held no newer version than the
            one before, by default now.
        """
        if self.row:
            now_s = self.process.reactor.seconds()
            known_s = now_s if confirmed_s is None else confirmed_s
            self.process.operator.confirmed_s = known_s
        self.row = {MODEL: version}
        self.process._operator_changed({"op/version/m"})

    def hear_store(self):
        """Get an answer of the store without changes."""
        now_s = self.process.reactor.seconds()
        for table in (self.process.operator, self.process.listed):
            table.availability.record_answer(now_s)

    def hear_echo(self):
        """Get an echo of a report that was sent just now, by a clock that agrees."""
        now_s = self.process.reactor.seconds()
        echo = types.ReportEcho(now_s, now_s)
        self.receive(codec.encode(codec.Envelope(PEER, 0, echo)))

    def report(self):
        """Return a report to peers as a frame."""
        self.process.peers._report(self.process.reactor.seconds(), True)
        return self.hub.sent[-1]

    def receive(self, frame):
        """Process a report of a peer."""
        connection = self.hub.connection(PEER)
        self.process.message_received(connection, codec.decode(frame))

    def unix_s(self):
        """Return the time of day of the process."""
        return self.process.gateway.unix_s()

    @property
    def min_version(self):
        """Oldest version that calls may run on now."""
        return self.process.gateway.min_version(MODEL)

    def notice(self):
        """Return the message of the notice to agents."""
        configuration = routes.Configuration(1, (), {}, routes.ClientLimits(), None)
        self.process.gateway.set_configuration(configuration)
        self.process.listed.copy.position = positions.Position(0, 1)
        message = self.process._build_notice()
        frame = codec.encode(codec.Envelope(PEER, 0, message))
        return codec.decode(frame).message
