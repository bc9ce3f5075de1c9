"""Base of the entry and the agent process: peers, membership, configuration, stop."""

import dataclasses
import json
import random
import signal
import sys

import klein
from twisted import logger
from twisted.internet import defer, task
from twisted.web import server

from cicadaplank.daemons import tablecalls
from cicadaplank.external import errors, http, instances, tables
from cicadaplank.links import streams
from cicadaplank.members import draining, membership
from cicadaplank.messages import actions, types
from cicadaplank.reports import events, metrics
from cicadaplank.table import distribution, records

TICK_S = 0.1
# How long closed connections may take to flush their last answers at a planned stop.
CLOSE_WAIT_S = 0.5
# A list that lacks this instance or a connected peer lags and is read again after
# this time, not at the next regular time.
LAGGING_LIST_S = 0.5


class Daemon:
    """One process of the system.

    A subclass adds the tasks of its role: it extends :attr:`handlers`, and overrides
    the methods marked below. The reactor's clock is Unix time; every decision object
    gets it as ``now_s``.

    :param reactor: Twisted reactor.
    :param settings: :class:`cicadaplank.world.settings.Settings`.
    """

    def __init__(self, reactor, settings):
        self.reactor = reactor
        self.settings = settings
        self.name = settings.name
        self.incarnation = int(reactor.seconds() * 1000)
        self.rng = random.Random(f"{settings.name}/{self.incarnation}")
        self.events = events.Events(settings.name)
        self.metrics = metrics.Metrics(
            settings.name,
            settings.role,
            settings.region,
            settings.data_centre,
            settings.objectives,
            reactor.seconds(),
        )
        self.app = klein.Klein()
        self.distribution = distribution.Distribution(settings.name, self.rng)
        self.draining = draining.Draining(settings.drain_limit_s)
        self.membership = None
        self.instance = None
        self.peers = {}
        self._list_timer = None
        self.view = membership.View((), (), ())
        self.alerts = {}
        self.table_calls = {"reads": 0, "writes": 0}
        hello = types.Hello(
            settings.role, settings.region, settings.data_centre, self.incarnation
        )
        self.hub = streams.PeerHub(
            reactor,
            streams.Identity(settings.name, hello),
            self,
            lambda: self.distribution.version,
            self.events.log,
        )
        self.tables = tables.TablesClient(self.client(settings.platform.table_url))
        self._instances = instances.InstancesClient(
            self.client(settings.platform.instances_url)
        )
        self.handlers = {
            actions.Send: lambda action: self.send(action.peer, action.message),
            actions.Alert: lambda action: self.alert(action.kind, action.detail),
            membership.MembersChanged: self._members_changed,
            membership.ReadInstances: self._read_instances,
            membership.RejectPeer: self._reject_peer,
            distribution.InForce: self._in_force,
            distribution.Announce: self._announce_version,
            records.ReadKeys: self._read_for_distribution,
            draining.Announce: self._announce_leaving,
            draining.Exit: self._exit,
        }
        self._routes()

    @property
    def now_s(self):
        """Current Unix time in seconds."""
        return self.reactor.seconds()

    @property
    def is_ready(self):
        """Whether the process may take work."""
        ready = self.distribution.ready(self.now_s)
        return ready and self.draining.state == "serving"

    def client(self, url, timeout_s=http.TIMEOUT_S):
        """Return an HTTP client that carries this instance's name."""
        return http.Client(self.reactor, url, self.name, timeout_s)

    # Overridden by the roles.

    def message_from(self, connection, message):
        """Take a message of the role from a peer."""

    def peer_connected(self, connection):
        """Take a new connection."""

    def connection_ended(self, connection):
        """Take the end of a connection."""

    def configuration_changed(self, configuration):
        """Take a configuration that is in force from now on."""

    def members_changed(self, view):
        """Take a changed :class:`cicadaplank.members.membership.View`."""

    def tick(self):
        """Let time pass."""

    def leaving(self):
        """Take the start of a planned stop."""

    def closing(self):
        """Take the end of a planned stop."""

    def status(self):
        """Return what ``/status`` shows, as JSON values."""
        return {
            "name": self.name,
            "role": self.settings.role,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
            "ready": self.is_ready,
            "state": self.draining.state,
            "table_version": self.distribution.version,
            "poll": self.distribution.poll_state,
            "peers": len(self.hub.peers),
            "streams": dict(self.hub.counters),
            "table_calls": self.table_calls,
            "alerts": self.alerts,
        }

    # Start and stop.

    def start(self):
        """Open the ports and join the other processes.

        :returns: Deferred that fires when the process listens.
        """
        return defer.Deferred.fromCoroutine(self._start())

    async def _start(self):
        listen = self.settings.listen
        peer_port = await self.hub.listen(listen.host, listen.peer_port)
        site = server.Site(self.app.resource())
        site.noisy = False
        http_port = self.reactor.listenTCP(
            listen.http_port, site, interface=listen.host
        )
        self.instance = dataclasses.replace(self.settings.instance(), port=peer_port)
        self.membership = membership.Membership(
            self.instance, self.incarnation, self.rng
        )
        self.events.log(
            "started",
            peer_port=peer_port,
            http_port=http_port.getHost().port,
            incarnation=self.incarnation,
        )
        known = [membership.Listed(peer) for peer in self.settings.peers]
        self.carry_out(self.distribution.start(self.now_s))
        self.carry_out(self.membership.listed(known, self.now_s))
        self.carry_out(self.membership.start(self.now_s))
        task.LoopingCall(self._tick).start(TICK_S, now=False).addErrback(
            self.report_failure
        )
        self._catch_signals()
        logger.globalLogPublisher.addObserver(self._observe_log)

    def _observe_log(self, event):
        """Report errors that Twisted caught, which nobody would see otherwise."""
        failure = event.get("log_failure")
        if failure is not None and event["log_level"] is logger.LogLevel.critical:
            self.report_failure(failure)

    def _catch_signals(self):
        def stop(number, frame):
            self.reactor.callFromThread(self.stop)

        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)

    def stop(self):
        """Begin the planned stop."""
        self.events.log("stopping", in_progress=self.draining.in_progress)
        self.carry_out(self.draining.stop_requested(self.now_s))

    def _exit(self, action):
        self.closing()
        self.events.log("stopped")
        self.reactor.callLater(CLOSE_WAIT_S, self.reactor.stop)
        self.hub.close()

    def _announce_leaving(self, action):
        if self.membership.state != "leaving":
            self.carry_out(self.membership.leave(self.now_s))
        self.leaving()

    def _tick(self):
        now_s = self.now_s
        if self.membership.state == "starting" and self.distribution.ready(now_s):
            self.carry_out(self.membership.ready(now_s))
            self.events.log("ready", table_version=self.distribution.version)
        self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
        self.carry_out(self.membership.tick(now_s))
        self.carry_out(self.distribution.tick(now_s))
        self.carry_out(self.draining.tick(now_s))
        self.tick()

    # Actions and messages.

    def carry_out(self, wanted):
        """Carry out the actions of a decision object in order.

        :param wanted: iterable of actions.
        """
        for action in wanted:
            self.handlers[type(action)](action)

    def send(self, peer, message):
        """Send a message to a peer and connect first when needed.

        :param peer: instance name.
        :param message: one of :mod:`cicadaplank.messages.types`.
        """
        if self.hub.send(peer, message) is not None:
            return
        instance = self.peers.get(peer)
        if instance is not None and self.hub.connection(peer) is None:
            self.hub.dial(instance).addCallback(self._send_on, message)

    def _send_on(self, connection, message):
        if connection is not None:
            connection.send(message)

    def message_received(self, connection, envelope):
        """Take a message of a peer; see :class:`cicadaplank.links.streams.Listener`."""
        peer, message, now_s = connection.peer, envelope.message, self.now_s
        if isinstance(message, types.Hello):
            self.peer_connected(connection)
            if peer not in self.peers and message.role in ("entry", "agent"):
                self._read_list_soon()
        self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
        self.carry_out(self.membership.heard(peer, now_s))
        self.carry_out(self.distribution.heard(peer, envelope.table_version, now_s))
        self.carry_out(self.membership.message(peer, message, now_s))
        self.carry_out(self.distribution.message(peer, message, now_s))
        if isinstance(message, types.StatusRequest):
            status = self.distribution.status(now_s, self.membership.state)
            connection.send(status)
        elif isinstance(message, types.MetricsRequest):
            self.update_metrics()
            connection.send(types.MetricsReply(self.metrics.render()[0].decode()))
        self.message_from(connection, message)

    def connection_lost(self, connection):
        """Take the end of a connection."""
        self.connection_ended(connection)

    def alert(self, kind, detail):
        """Log and count something that an operator has to look at.

        :param kind: short name.
        :param detail: what was found and what to do.
        """
        self.alerts[kind] = self.alerts.get(kind, 0) + 1
        self.metrics.count("alerts", kind=kind)
        self.events.log("alert", "error", kind=kind, detail=detail)

    def report_failure(self, failure):
        """Log an unexpected error of the program with its traceback.

        :param failure: :class:`twisted.python.failure.Failure`.
        """
        self.metrics.count("internal_errors")
        text = failure.getErrorMessage()
        self.events.log("internal_error", "error", error=text)
        failure.printTraceback(sys.stderr)

    def _members_changed(self, change):
        self.view = change.view
        self.peers = {
            member.instance.name: member.instance for member in change.view.members
        }
        self.carry_out(self.distribution.view_changed(change.view, self.now_s))
        self.members_changed(change.view)

    def _read_instances(self, action):
        reading = self._instances.list()
        reading.addCallbacks(self._instances_listed, self._instances_failed)
        reading.addErrback(self.report_failure)

    def _instances_listed(self, listed):
        entries = [
            membership.Listed(entry.instance, entry.state == "leaving")
            for entry in listed
        ]
        self.carry_out(self.membership.listed(entries, self.now_s))
        names = {entry.instance.name for entry in listed}
        if self.name not in names or not names.issuperset(self._member_connections()):
            self._read_list_soon()

    def _member_connections(self):
        """Return the names of connected entry instances and agents."""
        connections = map(self.hub.connection, self.hub.peers)
        return {
            each.peer for each in connections if each.hello.role in ("entry", "agent")
        }

    def _read_list_soon(self):
        if self._list_timer is None or not self._list_timer.active():
            delay_s = LAGGING_LIST_S * self.rng.uniform(1.0, 2.0)
            self._list_timer = self.reactor.callLater(
                delay_s, self._read_instances, None
            )

    def _instances_failed(self, failure):
        failure.trap(errors.PlatformError)
        self.events.log("instance_list_unavailable", reason=failure.getErrorMessage())

    def _reject_peer(self, action):
        connection = self.hub.connection(action.peer)
        self.events.log("peer_rejected", peer=action.peer, reason=action.reason)
        if connection is not None:
            connection.transport.loseConnection()

    def _in_force(self, action):
        configuration = action.configuration
        self.events.log(
            "table_in_force",
            version=configuration.version,
            change_id=configuration.change_id,
            previous=action.previous.version,
        )
        self.configuration_changed(configuration)

    def _announce_version(self, action):
        self.membership.poll_age_s = self.distribution.poll_age_s(self.now_s)
        self.carry_out(self.membership.announce(self.now_s))

    def _read_for_distribution(self, action):
        self.call_table(action).addCallback(self._distribution_answered)

    def _distribution_answered(self, event):
        self.carry_out(self.distribution.answered(event, self.now_s))

    def call_table(self, action):
        """Carry out and count one request to the table service.

        :param action: :class:`cicadaplank.table.records.ReadKeys` or ``Transact``.
        :returns: Deferred with a result class of :mod:`cicadaplank.table.records`.
        """
        kind = "reads" if isinstance(action, records.ReadKeys) else "writes"
        self.table_calls[kind] += 1
        return tablecalls.perform(self.tables, action)

    # Health, metrics and status.

    def _routes(self):
        for path, handler in (
            ("/health", self._show_health),
            ("/ready", self._show_ready),
            ("/status", self._show_status),
            ("/metrics", self._show_metrics),
        ):
            self.app.route(path, methods=["GET"], endpoint=path)(handler)

    def _show_health(self, request):
        return b"ok\n"

    def _show_ready(self, request):
        if not self.is_ready:
            request.setResponseCode(503)
            return b"not ready\n"
        return b"ready\n"

    def _show_status(self, request):
        request.setHeader("Content-Type", "application/json")
        return json.dumps(self.status(), sort_keys=True).encode()

    def _show_metrics(self, request):
        self.update_metrics()
        data, headers = self.metrics.render()
        for name, value in headers.items():
            request.setHeader(name, value)
        return data

    def update_metrics(self):
        """Set the gauges that show the state of the process."""
        gauge = self.metrics.set_gauge
        gauge("table_version", self.distribution.version)
        gauge("ready", int(self.is_ready))
        gauge("peers", len(self.hub.peers))
        gauge("in_progress", self.draining.in_progress)
        for name, value in self.hub.counters.items():
            gauge("stream_counter", value, counter=name)
        for name, value in self.table_calls.items():
            gauge("table_service_calls", value, kind=name)

    @property
    def configuration(self):
        """Configuration in force."""
        return self.distribution.configuration


def entry_names(view):
    """Return the names of the usable entry instances.

    :param view: :class:`cicadaplank.members.membership.View`.
    """
    return [
        member.instance.name
        for member in view.members
        if member.instance.role == "entry" and member.usable
    ]


def instances_of(view):
    """Return every usable instance.

    :param view: :class:`cicadaplank.members.membership.View`.
    :returns: tuple of :class:`cicadaplank.world.machines.Instance`.
    """
    return tuple(member.instance for member in view.members if member.usable)
