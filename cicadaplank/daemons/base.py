"""Base class of the entry and agent processes.

It connects the decisions on membership, configuration and planned stops with peer
connections, the table service, the list of instances, and HTTP pages for health,
readiness, status and metrics.
"""

import contextlib
import dataclasses
import json
import random
import signal
import sys

import klein
from twisted import logger
from twisted.internet import defer, task
from twisted.python import failure

from cicadaplank.daemons import http_requests, table_requests
from cicadaplank.external import errors, http, instances, tables
from cicadaplank.links import streams
from cicadaplank.members import draining, membership
from cicadaplank.messages import actions, types
from cicadaplank.reports import events, metrics
from cicadaplank.table import distribution, records

TICK_S = 0.1
# Time for connections to peers to flush their last messages at a planned stop, and the
# limit for callers to read their last answers.
CLOSE_FLUSH_S = 0.5
MAX_CLOSE_FLUSH_S = 5.0
# A list of instances that lacks this instance or a connected peer is out of date. It is
# read again after one to two times this delay instead of at the next regular read.
LIST_REREAD_DELAY_S = 0.5


class Daemon:
    """Base class of a long-running process of the system.

    A subclass adds the tasks of its role: it extends :attr:`handlers` and overrides
    the hook methods marked below. The state machines do no I/O: this class passes them
    events with the reactor's time (Unix time) as ``now_s`` and carries out the actions
    that they return.

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
        self.draining = draining.Draining(draining.StopLimits(settings.drain_limit_s))
        self.membership = None
        self.instance = None
        self.peers = {}
        self._list_read_timer = None
        self._site = http_requests.BoundedSite(self.app.resource())
        self.view = membership.MembershipView((), (), ())
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
        self.tables = tables.TableServiceClient(
            self.client(settings.platform.table_url)
        )
        self._instances_client = instances.InstanceListClient(
            self.client(settings.platform.instances_url)
        )
        self.handlers = {
            actions.Send: lambda action: self.send(action.peer, action.message),
            actions.Alert: lambda action: self.alert(action.kind, action.detail),
            actions.ReportError: lambda action: self.report_failure(
                failure.Failure(action.error)
            ),
            membership.MembersChanged: self._members_changed,
            membership.ReadInstances: self._read_instances,
            membership.RejectPeer: self._reject_peer,
            distribution.ApplyConfiguration: self._apply_configuration,
            distribution.AnnounceVersion: self._announce_version,
            records.ReadKeys: self._read_for_distribution,
            draining.Announce: self._announce_leaving,
            draining.Exit: self._exit,
        }
        self._register_routes()

    @property
    def now_s(self):
        """Current Unix time in seconds."""
        return self.reactor.seconds()

    @property
    def is_ready(self):
        """Whether the process may take new work."""
        ready = self.distribution.ready(self.now_s)
        return ready and not self.draining.is_stopping

    def client(self, url, timeout_s=http.TIMEOUT_S):
        """Return an HTTP client that identifies itself with this instance's name."""
        return http.Client(self.reactor, url, self.name, timeout_s)

    # Hook methods, overridden by the subclasses.

    @property
    def unfinished(self):
        """Number of answers for which a planned stop waits, besides the work."""
        return 0

    def peer_message_received(self, connection, message):
        """Handle any message from a peer, after the base class did."""

    def peer_connected(self, connection):
        """Handle a new peer connection."""

    def connection_ended(self, connection):
        """Handle the end of a peer connection."""

    def configuration_changed(self, configuration):
        """Apply a configuration that is in force from now on."""

    def members_changed(self, view):
        """Handle a changed :class:`cicadaplank.members.membership.MembershipView`."""

    def tick(self):
        """Do periodic work; called every ``TICK_S``."""

    def closing(self):
        """Handle the end of a planned stop, just before connections are closed."""

    def action_failed(self, action):
        """Handle an action whose handler raised an exception."""

    def status(self):
        """Return the content of ``/status`` as a dict of JSON values."""
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
        """Open the ports and start membership and configuration distribution.

        :returns: Deferred that fires when the process listens and its timers run.
        """
        return defer.Deferred.fromCoroutine(self._start())

    async def _start(self):
        listen = self.settings.listen
        peer_port = await self.hub.listen(listen.host, listen.peer_port)
        http_port = self.reactor.listenTCP(
            listen.http_port, self._site, interface=listen.host
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
        known = [membership.InstanceListEntry(peer) for peer in self.settings.peers]
        self.carry_out(self.distribution.start(self.now_s))
        self.carry_out(self.membership.listed(known, self.now_s))
        self.carry_out(self.membership.start(self.now_s))
        task.LoopingCall(self._tick).start(TICK_S, now=False).addErrback(
            self.report_failure
        )
        self._install_signal_handlers()
        logger.globalLogPublisher.addObserver(self._report_logged_failure)

    def _report_logged_failure(self, event):
        """Report errors that Twisted caught and would only pass to its own log."""
        failure = event.get("log_failure")
        if failure is not None and event["log_level"] is logger.LogLevel.critical:
            self.report_failure(failure)

    def _install_signal_handlers(self):
        def stop(number, frame):
            self.reactor.callFromThread(self.stop)

        signal.signal(signal.SIGTERM, stop)
        signal.signal(signal.SIGINT, stop)

    def stop(self):
        """Start the planned stop."""
        self.events.log("stopping", in_progress=self.draining.in_progress)
        self.carry_out(self.draining.stop_requested(self.now_s))

    def _exit(self, action):
        self.closing()
        self.events.log("stopped")
        self.hub.close()
        self._site.close()
        self.reactor.callLater(CLOSE_FLUSH_S, self._end, self.now_s + MAX_CLOSE_FLUSH_S)

    def _end(self, latest_s):
        """End the process when the callers have read their answers.

        :param latest_s: time in seconds at which it ends in any case.
        """
        if self._site.open_count and self.now_s < latest_s:
            self.reactor.callLater(TICK_S, self._end, latest_s)
        else:
            self.reactor.stop()

    def _announce_leaving(self, action):
        if self.membership.state != "leaving":
            self.carry_out(self.membership.leave(self.now_s))

    def _tick(self):
        for step in (
            self._tick_membership,
            lambda: self.carry_out(self.distribution.tick(self.now_s)),
            lambda: self.carry_out(self.draining.tick(self.now_s, self.unfinished)),
            self.tick,
        ):
            self.guarded(step)

    def _tick_membership(self):
        now_s = self.now_s
        if self.membership.state == "starting" and self.distribution.ready(now_s):
            self.carry_out(self.membership.ready(now_s))
            self.events.log("ready", table_version=self.distribution.version)
        self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
        self.carry_out(self.membership.tick(now_s))

    # Actions and messages.

    def carry_out(self, wanted):
        """Carry out actions in order, each with its handler in :attr:`handlers`.

        An action whose handler fails does not keep the later ones from being carried
        out, as these may belong to other requests.

        :param wanted: iterable of actions that a state machine returned.
        """
        for action in wanted:
            if not self.guarded(self._handle, action):
                self.guarded(self.action_failed, action)

    def _handle(self, action):
        self.handlers[type(action)](action)

    def guarded(self, function, *arguments):
        """Call a function; an error is reported and costs this call only.

        :param function: callable.
        :param arguments: its arguments.
        :returns: False after an error.
        """
        try:
            function(*arguments)
        except Exception:
            self.report_failure(failure.Failure())
            return False
        return True

    def send(self, peer, message):
        """Send a message to a peer, after dialling it when there is no connection.

        The message is dropped when the peer is unknown or cannot be reached.

        :param peer: instance name.
        :param message: message of :mod:`cicadaplank.messages.types`.
        """
        if self.hub.send(peer, message) is not None:
            return
        instance = self.peers.get(peer)
        if instance is not None and self.hub.connection(peer) is None:
            self.hub.dial(instance).addCallback(self._send_if_connected, message)

    def _send_if_connected(self, connection, message):
        if connection is not None:
            connection.send(message)

    def message_received(self, connection, envelope):
        """Handle a peer's message; see :class:`cicadaplank.links.streams.Listener`."""
        peer, message = connection.peer, envelope.message
        if isinstance(message, types.Hello):
            self.peer_connected(connection)
            if peer not in self.peers and message.role in ("entry", "agent"):
                self._schedule_list_read()
        self.guarded(self._process_message, connection, envelope)
        self.peer_message_received(connection, message)

    def _process_message(self, connection, envelope):
        """Pass a message to the tasks that entry processes and agents share."""
        peer, message, now_s = connection.peer, envelope.message, self.now_s
        self.membership.poll_age_s = self.distribution.poll_age_s(now_s)
        self.carry_out(self.membership.heard(peer, now_s))
        self.carry_out(
            self.distribution.version_received(peer, envelope.table_version, now_s)
        )
        self.carry_out(self.membership.message(peer, message, now_s))
        self.carry_out(self.distribution.message(peer, message, now_s))
        if isinstance(message, types.StatusRequest):
            status = self.distribution.status(now_s, self.membership.state)
            connection.send(status)
        elif isinstance(message, types.MetricsRequest):
            self.update_metrics()
            connection.send(types.MetricsReply(self.metrics.render()[0].decode()))

    def connection_lost(self, connection):
        """Handle the end of a connection; see ``streams.Listener``."""
        self.connection_ended(connection)

    def alert(self, kind, detail):
        """Log and count a condition that needs an operator's attention.

        :param kind: short name of the condition.
        :param detail: description and recommended action.
        """
        self.alerts[kind] = self.alerts.get(kind, 0) + 1
        self.metrics.count("alerts", kind=kind)
        self.events.log("alert", "error", kind=kind, detail=detail)

    def report_failure(self, reason):
        """Log and count an unexpected error, and print its traceback to stderr.

        Does not fail, also when the error came from the log or the metrics.

        :param reason: :class:`twisted.python.failure.Failure`.
        """
        text = reason.getErrorMessage()
        with contextlib.suppress(Exception):
            self.metrics.count("internal_errors")
        with contextlib.suppress(Exception):
            self.events.log("internal_error", "error", error=text)
        with contextlib.suppress(Exception):
            reason.printTraceback(sys.stderr)

    def _members_changed(self, change):
        self.view = change.view
        self.peers = {
            member.instance.name: member.instance for member in change.view.members
        }
        self.carry_out(self.distribution.view_changed(change.view, self.now_s))
        self.members_changed(change.view)

    def _read_instances(self, action):
        deferred = self._instances_client.list()
        deferred.addCallbacks(self._instances_listed, self._instances_failed)
        deferred.addErrback(self.report_failure)

    def _instances_listed(self, listed):
        entries = [
            membership.InstanceListEntry(entry.instance, entry.state == "leaving")
            for entry in listed
        ]
        self.carry_out(self.membership.listed(entries, self.now_s))
        names = {entry.instance.name for entry in listed}
        if self.name not in names or not names.issuperset(self._connected_members()):
            self._schedule_list_read()

    def _connected_members(self):
        """Return the set of names of connected entry instances and agents."""
        connections = map(self.hub.connection, self.hub.peers)
        return {
            connection.peer
            for connection in connections
            if connection.hello.role in ("entry", "agent")
        }

    def _schedule_list_read(self):
        if self._list_read_timer is None or not self._list_read_timer.active():
            delay_s = LIST_REREAD_DELAY_S * self.rng.uniform(1.0, 2.0)
            self._list_read_timer = self.reactor.callLater(
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

    def _apply_configuration(self, action):
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
        """Send one request to the table service and count it.

        :param action: :class:`cicadaplank.table.records.ReadKeys` or ``Transact``.
        :returns: Deferred with a result class of :mod:`cicadaplank.table.records`.
        """
        kind = "reads" if isinstance(action, records.ReadKeys) else "writes"
        self.table_calls[kind] += 1
        return table_requests.send_request(self.tables, action)

    # HTTP pages for health, readiness, status and metrics.

    def _register_routes(self):
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
        """Set the gauges to the current state of the process."""
        gauge = self.metrics.set_gauge
        gauge("table_version", self.distribution.version)
        gauge("ready", int(self.is_ready))
        gauge("peers", len(self.hub.peers))
        gauge("in_progress", self.draining.in_progress)
        for kind, count in self.draining.counts.items():
            gauge("stop_decisions", count, kind=kind)
        for name, value in self.hub.counters.items():
            gauge("stream_counter", value, counter=name)
        for name, value in self.table_calls.items():
            gauge("table_service_calls", value, kind=name)

    @property
    def configuration(self):
        """Configuration in force."""
        return self.distribution.configuration


def usable_entry_names(view):
    """Return the names of the usable entry instances.

    :param view: :class:`cicadaplank.members.membership.MembershipView`.
    :returns: list of names.
    """
    return [
        member.instance.name
        for member in view.members
        if member.instance.role == "entry" and member.usable
    ]


def usable_instances(view):
    """Return the usable instances of all roles.

    :param view: :class:`cicadaplank.members.membership.MembershipView`.
    :returns: tuple of :class:`cicadaplank.world.machines.Instance`.
    """
    return tuple(member.instance for member in view.members if member.usable)
