"""Entry process for deployments in which endpoints are called without an agent.

Connects the :class:`cicadaplank.gateway.gateway.Gateway` to clients, other entry
instances, agents and the store, and serves the readiness and metrics pages.
"""

import dataclasses
import random
import signal
import typing

from twisted.internet import defer
from twisted.logger import LogLevel, globalLogPublisher

from cicadaplank.gateway import (
    block_keeping,
    clients,
    gateway,
    guarded_calls,
    memory_account,
    notices,
    peer_configurations,
    peers,
    registry_reads,
    reloading,
    reporting,
    staleness,
    status,
    sync,
    unreadable,
)
from cicadaplank.links import peer_limits, streams
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.reports import events, metrics
from cicadaplank.world import machines

# New connections are accepted for this time after the stop signal: a load balancer
# checks readiness every second and needs two failed checks.
ACCEPT_AFTER_STOP_S = 3.0
# Times before the end of the grace period, when the platform kills the process, at
# which it aborts calls in progress, and at which it exits although clients have not
# read their answers.
ABORT_MARGIN_S = 0.4
EXIT_MARGIN_S = 0.1
# A gap between two checks of a stopping process that shows that it was paused.
STOP_PAUSE_S = 0.3
# Longest delay of the handler of the stop signal that is allowed for. A process that
# stood still for longer was paused, most likely before the signal.
MAX_SIGNAL_DELAY_S = 0.5
# Interval at which endpoints are looked at whose records are missing just after an
# outage of the store. They are dropped when its grace period is over.
MISSING_CHECK_INTERVAL_S = 0.1
# Interval at which the instances are counted that share limits, while there is none.
MEMBERS_INTERVAL_S = 1.0
# Time in which what calls have written that were aborted just before the end is sent.
EXIT_DELAY_S = 0.01
# Interval at which a stopping process checks for calls in progress.
STOP_CHECK_INTERVAL_S = 0.05
# Delay of the event loop from which on it is logged. Each client then waits as long.
LATE_LOOP_S = 0.25
# Delay of a message on the path from a peer from which on it is logged, and the least
# interval of these lines.
LATE_PATH_S = 0.5
LATE_PATH_INTERVAL_S = 0.5
ENTRY = "entry"
AGENT = "agent"
# Metrics of what this process believes and how old that is. They come first, as
# collectors may keep only the beginning of a page.
BELIEF_METRICS = (
    "configuration_version",
    "configuration_outpaced_seconds",
    "store_age_seconds",
    "copies_confirmed_age_seconds",
    "peers",
    "weights_named",
    "weights_named_age_seconds",
    "weights_required",
    "store_era",
    "table_version",
    "table_version_age_seconds",
    "event_loop_largest_delay_seconds",
    "peer_path_largest_delay_seconds",
)
# Length of the listen backlog.
BACKLOG = 1024
# Share of the time within which a configuration has to be in force after which an
# instance whose peers decide by a newer one reads and applies it anew, and the interval
# at which it does so again.
OUTPACED_READ_SHARE = 0.2
OUTPACED_READ_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class Address:
    """TCP address of a listening socket.

    :param host: IP address.
    :param port: TCP port.
    """

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of an entry process.

    :param name: name of the instance in logs and metrics.
    :param region: region name.
    :param data_centre: data centre name.
    :param front: :class:`Address` for clients.
    :param ready: :class:`Address` of the readiness page for the load balancer.
    :param ready_path: HTTP path of the readiness page.
    :param peer: :class:`Address` for connections of other processes of the system.
    :param metrics: :class:`Address` of the metrics page.
    :param seeds: tuple of IP addresses of other entry instances.
    :param bounds: :class:`cicadaplank.gateway.gateway.Bounds`.
    :param grace_s: time from the stop signal until the process is killed, in seconds.
    :param in_force_s: time within which a configuration has to be in force, in seconds.
    :param machine: :class:`cicadaplank.gateway.memory_account.MachineLimits`.
    :param regions: dict from data centre to region.
    """

    name: str
    region: str
    data_centre: str
    front: Address
    ready: Address
    ready_path: str
    peer: Address
    metrics: Address
    seeds: tuple
    bounds: gateway.Bounds
    grace_s: float
    in_force_s: float = sync.DEFAULT_IN_FORCE_S
    machine: memory_account.MachineLimits = memory_account.MachineLimits()
    regions: dict = dataclasses.field(default_factory=dict)


class RecordDecoder(typing.Protocol):
    """Names of the store's tables, and the decoding of their records.

    A ``copy`` is a :class:`cicadaplank.gateway.records.RecordTable`.
    """

    operator_table: str
    endpoint_table: str

    def configuration(self, copy):
        """Return the newest configuration in a copy of the operator's table, or None.

        :raises ValueError: when the record cannot be decoded.
        """

    def named_weights(self, copy):
        """Return a dict from model name to the newest version that the operator named.

        :param copy: copy of the operator's table.
        """

    def evacuated(self, copy):
        """Return the names of the evacuated data centres as a frozenset.

        :param copy: copy of the operator's table.
        """

    def endpoints(self, copy, configuration):
        """Return a dict from name to endpoint, and the number of unreadable records.

        :param copy: copy of the table of endpoints.
        :param configuration: :class:`cicadaplank.gateway.routes.Configuration`.
        """

    def unreadable(self, name):
        """Return the records that could not be decoded, a dict from key to reason.

        :param name: name of the table.
        """


class InstanceRegistry(typing.Protocol):
    """Registry of instances in the store. Its methods are coroutines."""

    def register(self, instance):
        """Register an instance.

        :param instance: :class:`cicadaplank.world.machines.Instance`.
        """

    def instances(self):
        """Return the registered instances as a list."""


def stop_limits(grace_s):
    """Return the time limits of a planned stop.

    :param grace_s: time from the stop signal until the process is killed, in seconds.
    :returns: :class:`cicadaplank.members.draining.StopLimits`.
    """
    return draining.StopLimits(
        drain_limit_s=max(0.0, grace_s - ABORT_MARGIN_S),
        linger_s=ACCEPT_AFTER_STOP_S,
        accept_s=ACCEPT_AFTER_STOP_S,
        takes_work=True,
        end_s=max(0.0, grace_s - EXIT_MARGIN_S),
        pause_s=STOP_PAUSE_S,
    )


def _peer_limits(machine):
    """Return the limits of the peer port.

    :param machine: :class:`cicadaplank.gateway.memory_account.MachineLimits`.
    """
    return peer_limits.of_machine(
        machine.memory_mb,
        memory_account.RESERVED_MB,
        machine.max_fds - memory_account.RESERVED_FDS,
        peer_limits.ENTRY_FDS_SHARE,
    )


class EntryProcess:
    """Connects the gateway to clients, peers and the store.

    :param reactor: Twisted reactor with a monotonic clock.
    :param settings: :class:`Settings`.
    :param store: :class:`cicadaplank.gateway.sync.Store`.
    :param decoder: :class:`RecordDecoder`.
    :param members: :class:`InstanceRegistry`.
    :param dialect: :class:`cicadaplank.gateway.dialects.Dialect`.
    :param reload: callable that returns the settings read anew, or raises
        ``ValueError``.
    :param blocks: :class:`block_keeping.BlockRegistry`, or None when the blocked parts
        of prompts are not recorded.
    """

    def __init__(
        self, reactor, settings, store, decoder, members, dialect, reload, blocks=None
    ):
        self.reactor = reactor
        self.settings = settings
        self.events = events.Events(settings.name)
        self.metrics = metrics.Metrics(
            settings.name, "entry", settings.region, settings.data_centre
        )
        self._members = members
        self._decoder = decoder
        self.watch = reloading.SettingsWatch(
            reactor, settings, reload, self._settings_changed, self.events.log
        )
        self._guarded = guarded_calls.GuardedCalls(reactor, self._log)
        # Whether a read of the operator's record was not applied to the named versions,
        # and the time as of which the versions before it are confirmed.
        self._is_naming_pending = False
        self._named_confirmed_s = None
        self._front = None
        # Servers of the pages by the name of their port.
        self._pages = {}
        # Hosts of the endpoints, which name their agents.
        self._endpoint_hosts = frozenset()
        self._agents_notified_s = float("-inf")
        self._checks_missing = False
        self._registry_reads = registry_reads.RegistryReads()
        self._tick_due_s = None
        self._largest_loop_delay_s = 0.0
        self._members_set_s = float("-inf")
        self._late_path_logged_s = float("-inf")
        reporter = reporting.Reporter(self.events, self.metrics, reactor.seconds)
        self._reporter = reporter
        self._unreadable = unreadable.UnreadableRecords(decoder, self._log)
        store = sync.MeteredStore(store, reporter.count)
        self.gateway = gateway.Gateway(
            reactor,
            dialect,
            settings.data_centre,
            settings.bounds,
            random.Random(),
            reporter,
            draining.Draining(stop_limits(settings.grace_s)),
        )
        self.block_keeper = block_keeping.BlockKeeper(
            reactor, blocks, self.gateway.crash_causes, random.Random(), self._log
        )
        self.listener = clients.Listener(
            reactor, self.gateway, self._request_rejected, settings.machine
        )
        self.operator = sync.TableSync(
            reactor,
            store,
            decoder.operator_table,
            self._operator_changed,
            self._log,
            self._reads_operator,
            self._registry_reads.may_be_incomplete,
        )
        self.listed = sync.TableSync(
            reactor,
            store,
            decoder.endpoint_table,
            self._endpoints_changed,
            self._log,
            self._reads_store,
            self._endpoints_restored,
        )
        self.instance = machines.Instance(
            settings.peer.host,
            "entry",
            settings.peer.host,
            settings.peer.port,
            settings.region,
            settings.data_centre,
        )
        hello = types.Hello("entry", settings.region, settings.data_centre, 0)
        self.hub = streams.PeerHub(
            reactor,
            streams.Identity(self.instance.name, hello),
            self,
            lambda: max(0, self.gateway.configuration_version),
            self._log,
        )
        self.peers = peers.Peers(
            reactor,
            self.instance,
            self.hub,
            {each.table: each for each in (self.operator, self.listed)},
            self.gateway.loads,
            self.gateway.weights_requirement.ages_s,
        )
        self.peer_configurations = peer_configurations.PeerConfigurations()
        # Time in seconds at which the configuration was last read and applied anew;
        # None while no peer decides by a newer one.
        self._read_anew_s = None
        self.hub.is_known = self._is_known_peer
        self._stale_guard = staleness.StaleGuard(settings.in_force_s, reactor.seconds())
        self._apply_settings(settings)
        self.gateway.is_current = self.is_current
        self.gateway.stop_reason = self._stop_reason
        self.gateway.awaits_blocks = lambda: self.block_keeper.is_awaited
        self.gateway.broadcast = self.peers.broadcast
        self.block_keeper.broadcast = self.peers.broadcast
        self.gateway.send_to_peer = self.hub.send
        self._stop_handlers = {
            # Load balancers read the readiness page, which shows the stop.
            draining.Announce: lambda action: None,
            draining.StopAccepting: lambda action: self._front.stopListening(),
            draining.CloseIdle: lambda action: self.listener.close_idle(),
            draining.Abort: lambda action: self.gateway.abort(action.work),
            draining.Exit: self._exit,
        }

    def _log(self, event, **fields):
        self._reporter.state_event(event, **fields)

    # Start and stop.

    def start(self):
        """Open the ports, install signal handlers and start following the store."""
        settings = self.settings
        pages = {
            settings.ready_path: self._ready_page,
            "/metrics": self._metrics_page,
        }
        self._front = self._listen(settings.front, self.listener)
        for port, address in (("ready", settings.ready), ("metrics", settings.metrics)):
            self._pages[port] = status.Pages(self.reactor, pages)
            self._listen(address, self._pages[port])
        self.hub.listen(settings.peer.host, settings.peer.port)
        self.operator.start()
        self.listed.start()
        self._tick()
        self._read_members()
        self.watch.start()
        signal.signal(signal.SIGTERM, self._stop_signalled)
        signal.signal(signal.SIGINT, self._stop_signalled)
        globalLogPublisher.addObserver(self._report_twisted_error)
        self.events.log("started", front=f"{settings.front.host}:{settings.front.port}")

    def _listen(self, address, factory):
        return self.reactor.listenTCP(address.port, factory, BACKLOG, address.host)

    def _stop_signalled(self, number, frame):
        self.reactor.callFromThread(self.stop, self._earliest_signal_s())

    def _earliest_signal_s(self):
        """Return the earliest time of a signal whose handler runs now, in seconds.

        A process that waits for its processor runs the handler late. The signal had
        not come at the last tick.
        """
        now_s = self.reactor.seconds()
        if self._tick_due_s is None:
            return now_s
        ticked_s = self._tick_due_s - gateway.TIMEOUT_CHECK_INTERVAL_S
        return min(now_s, max(ticked_s, now_s - MAX_SIGNAL_DELAY_S))

    def _report_twisted_error(self, event):
        """Log and count exceptions that Twisted caught."""
        failure = event.get("log_failure")
        if failure is not None and event["log_level"] is LogLevel.critical:
            self._reporter.count("unexpected_errors")
            text = failure.getTraceback().strip().replace("\n", " | ")
            self._reporter.event("unexpected_error", "error", detail=text[-480:])

    def _settings_changed(self, settings):
        self.settings = settings
        self.gateway.draining.set_limits(stop_limits(settings.grace_s))
        self.gateway.set_bounds(settings.bounds)
        self._apply_settings(settings)

    def _apply_settings(self, settings):
        times = sync.poll_times(settings.in_force_s)
        for follower in (self.operator, self.listed, self.peers):
            follower.times = times
        self._stale_guard.in_force_s = settings.in_force_s
        self.listener.set_machine(settings.machine)
        self.hub.set_limits(_peer_limits(settings.machine))
        self.gateway.buffers.limit_bytes = settings.machine.answers_bytes
        for host in settings.seeds:
            self.peers.add_seed(host, settings.peer.port, "entry")

    def stop(self, signalled_s=None):
        """Begin a graceful shutdown.

        The process reports not ready at once, accepts connections for another
        :data:`ACCEPT_AFTER_STOP_S` and lets calls end within the grace period.

        :param signalled_s: time of the stop signal in seconds; None for now.
        """
        if self.gateway.draining.is_stopping:
            return
        now_s = self.reactor.seconds()
        if signalled_s is None:
            signalled_s = now_s
        late_s = now_s - signalled_s
        self.events.log("stopping", calls=self.gateway.open_calls, late_s=late_s)
        started = self.gateway.draining.stop_requested(signalled_s)
        self._carry_out_stop(started)
        self._guarded.call("stop_pauses", self.listener.stop_begun)
        self._check_stop()

    def _check_stop(self):
        """Apply the time limits of the stop until the process exits."""
        stop = self.gateway.draining
        self._guarded.call("stop_clients", self.listener.check_left)
        actions = stop.tick(self.reactor.seconds(), self.listener.open_count)
        if stop.state != "stopped":
            self.reactor.callLater(STOP_CHECK_INTERVAL_S, self._check_stop)
        aborted = [each for each in actions if isinstance(each, draining.Abort)]
        if aborted:
            self.events.log("calls_aborted", calls=len(aborted))
        for action in aborted:
            self._guarded.call(
                "stop_report", self._reporter.aborted_in_stop, action, stop.started_s
            )
        self._carry_out_stop(actions)

    def _carry_out_stop(self, actions):
        """Carry out actions of the stop; an error in one does not hold up the others.

        :param actions: iterable of actions of :mod:`cicadaplank.members.draining`.
        """
        for action in actions:
            self._guarded.call("stop", self._stop_handlers[type(action)], action)

    def _exit(self, action):
        self.reactor.callLater(EXIT_DELAY_S, self.reactor.stop)
        self.events.log("stopped", connections=self.listener.open_count)

    # Pages.

    @property
    def is_ready(self):
        """Whether calls can be served.

        Both tables and the blocked parts are known, the tables are not too old, and no
        shutdown has begun.
        """
        has_tables = self.gateway.route_index is not None and self.listed.copy.is_known
        is_stopping = self.gateway.draining.is_stopping
        if is_stopping or self.block_keeper.is_awaited:
            return False
        return has_tables and not self._stop_reason()

    def _ready_page(self):
        code = 200 if self.is_ready else 503
        return code, "text/plain", b"ready\n" if self.is_ready else b"not ready\n"

    def _metrics_page(self):
        now_s = self.reactor.seconds()
        metric = self.metrics
        metric.set_gauge("calls_in_progress", self.gateway.open_calls)
        metric.set_gauge("client_connections", self.listener.open_count)
        self.listener.update_metrics(metric)
        for port, pages in self._pages.items():
            pages.update_metrics(metric, port)
        metric.set_gauge("peers", self.peers.live_count)
        metric.set_gauge("store_age_seconds", self.peers.store_age_s(now_s))
        confirmed_age_s = self.peers.confirmed_age_s(now_s)
        metric.set_gauge("copies_confirmed_age_seconds", confirmed_age_s)
        version = self.gateway.configuration_version
        metric.set_gauge("configuration_version", version)
        outpaced_s = self._outpaced_s(now_s)
        metric.set_gauge("configuration_outpaced_seconds", outpaced_s)
        for table in (self.operator, self.listed):
            position = table.copy.position
            metric.set_gauge("store_era", position.era, table=table.table)
            metric.set_gauge("table_version", position.version, table=table.table)
            age_s = table.version_age_s(now_s)
            metric.set_gauge("table_version_age_seconds", age_s, table=table.table)
        for model, version in self._decoder.named_weights(self.operator.copy).items():
            metric.set_gauge("weights_named", version, model=model)
            age_s = self.gateway.weights_requirement.age_s(model, now_s)
            metric.set_gauge("weights_named_age_seconds", age_s, model=model)
            required = self.gateway.min_version(model)
            metric.set_gauge("weights_required", required, model=model)
        rejected = self.gateway.weights_requirement.rejected
        metric.set_gauge("weights_ages_rejected", rejected)
        rejected = self.peers.report_ages.rejected
        metric.set_gauge("report_echoes_rejected", rejected)
        metric.set_gauge("event_loop_largest_delay_seconds", self._largest_loop_delay_s)
        delay_s, _ = self.peers.path_delays.largest_s(now_s)
        metric.set_gauge("peer_path_largest_delay_seconds", delay_s)
        metric.set_gauge("peak_memory_bytes", metrics.peak_memory_bytes())
        self.gateway.update_metrics(metric)
        self.hub.update_metrics(metric)
        self.block_keeper.update_metrics(metric)
        self._unreadable.update_metrics(metric)
        for guarded in (self._guarded, self.operator.guarded, self.listed.guarded):
            guarded.update_metrics(metric)
        body, _ = metric.render(BELIEF_METRICS)
        return 200, "text/plain; version=0.0.4", body

    def _request_rejected(self, code, message):
        self._reporter.count("requests", outcome="rejected", status=code)
        self._reporter.event("request_rejected", status=code, reason=message)

    # Records of the store, read directly or received from peers.

    def is_current(self):
        """Tell whether the configuration is known to be the newest.

        It is when the store answered this instance or an up-to-date peer recently, so
        that a newer one need not be in force yet.
        """
        bound_s = staleness.MAX_CONFIRMED_SHARE * self.settings.in_force_s
        max_age_s = min(sync.MAX_CURRENT_AGE_S, bound_s)
        return self.peers.store_age_s(self.reactor.seconds()) < max_age_s

    def _stop_reason(self):
        """Return why this instance has stopped serving, or an empty string."""
        if self._stale_guard.was_frozen(self.reactor.seconds()):
            # Requests of clients may be read before the timers run.
            self._update_stale_guard()
        return self._stale_guard.reason

    def _update_stale_guard(self):
        now_s = self.reactor.seconds()
        guard = self._stale_guard
        age_s = self.peers.confirmed_age_s(now_s)
        is_behind, outpaced_s = self.peers.knows_newer(now_s), self._outpaced_s(now_s)
        if not guard.update(now_s, age_s, is_behind, outpaced_s):
            return
        if guard.reason:
            self._log("serving_stopped", reason=guard.reason, confirmed_age_s=age_s)
            self.gateway.check_calls()
        else:
            self._log("serving_resumed", confirmed_age_s=age_s)

    def _outpaced_s(self, now_s):
        """Return the seconds for which peers have decided by a newer configuration."""
        if self.gateway.route_index is None:
            return 0.0
        version = self.gateway.configuration_version
        return self.peer_configurations.newer_for_s(version, now_s)

    def _check_outpaced(self, now_s):
        """Read and apply the configuration anew when peers decide by a newer one."""
        outpaced_s = self._outpaced_s(now_s)
        if outpaced_s <= OUTPACED_READ_SHARE * self.settings.in_force_s:
            self._read_anew_s = None
            return
        if self._read_anew_s is None:
            newest, peer = self.peer_configurations.newest(now_s)
            self._log(
                "configuration_outpaced",
                version=self.gateway.configuration_version,
                newest=newest,
                peer=peer,
                known_for_s=outpaced_s,
                position=str(self.operator.copy.position),
                newest_change=str(self.operator.copy.newest_change),
                confirmed_age_s=self.peers.confirmed_age_s(now_s),
            )
        elif now_s - self._read_anew_s < OUTPACED_READ_INTERVAL_S:
            return
        self._read_anew_s = now_s
        self._guarded.call("configuration", self._take_configuration)
        self.operator.read_anew()

    def _reads_store(self):
        return self.peers.reads_store()

    def _reads_operator(self):
        # What peers send may lack the same records as the copy here.
        return self._read_anew_s is not None or self._reads_store()

    def _operator_changed(self, changed):
        """Apply the parts of a change of the operator's table, each by itself."""
        self._named_confirmed_s = self._naming_confirmed_s()
        self._is_naming_pending = True
        call = self._guarded.call
        call("evacuations", self._take_evacuations)
        call("configuration", self._take_configuration)
        call("named_versions", self._record_named_versions)
        call("agents", self._notify_agents)
        call("unreadable_operator", self._unreadable.report, self.operator)

    def _take_evacuations(self):
        now_s = self.reactor.seconds()
        was_restored = self.operator.availability.was_restored(now_s)
        listed = self._decoder.evacuated(self.operator.copy)
        self.gateway.set_evacuated(listed, was_restored)
        if was_restored and self.gateway.evacuated - listed:
            # The records that were lost are written again within this time.
            self.reactor.callLater(
                sync.RECOVERY_GRACE_S,
                self._guarded.call,
                "evacuations",
                self._take_evacuations,
            )

    def _take_configuration(self):
        try:
            configuration = self._decoder.configuration(self.operator.copy)
        except ValueError as error:
            self.events.log("configuration_rejected", "error", reason=str(error))
            return
        if configuration is not None:
            self._apply_configuration(configuration)

    def _naming_confirmed_s(self):
        """Return the time as of which no version was named beyond the known ones.

        Later confirmations of the copy hold for a change that was not applied yet, too.

        :returns: time in seconds, or None when neither the store has answered nor a
            peer has told of it.
        """
        if self._is_naming_pending:
            return self._named_confirmed_s
        times_s = (self.operator.confirmed_s, self.peers.dated_s)
        return max((time_s for time_s in times_s if time_s is not None), default=None)

    def _record_named_versions(self):
        now_s = self.reactor.seconds()
        named = self._decoder.named_weights(self.operator.copy)
        for model, version in named.items():
            found = self.gateway.weights_requirement.record_named_version(
                model, version, now_s, self._named_confirmed_s
            )
            self._log_named(model, found, now_s)
        self._is_naming_pending = False

    def _record_weights_ages(self, peer, report):
        now_s = self.reactor.seconds()
        learned = self.gateway.weights_requirement.record_reported_ages(
            report.weights_ages_s,
            now_s,
            self.peers.report_ages.max_age_s(peer, report.sent_s, now_s),
            self._naming_confirmed_s(),
        )
        for model, found in learned.items():
            self._log_named(model, found, now_s)

    def _log_named(self, model, found, now_s):
        for named in found:
            self._log(
                "weights_named",
                model=model,
                version=named.version,
                age_s=now_s - named.latest_s,
                max_age_s=now_s - named.earliest_s,
                source=named.source.value,
            )

    def _notify_agents(self):
        """Send the current notice to every connected agent."""
        self._agents_notified_s = self.reactor.seconds()
        message = self._build_notice()
        if message is None:
            return
        agents = [
            name
            for name in self.hub.peers
            if self.hub.connection(name).hello.role == AGENT
        ]
        self.hub.send_all(agents, message)

    def _build_notice(self):
        index = self.gateway.route_index
        if index is None or not self.listed.copy.is_known:
            return None
        operator = self.operator.copy
        endpoints = {s.endpoint.name: s.endpoint for s in self.gateway.endpoints.all()}
        return notices.notice(
            self._decoder.named_weights(operator),
            index.configuration,
            endpoints,
            self.listed.copy.position,
            self.gateway.weights_requirement.ages_s(self.reactor.seconds()),
        )

    def _apply_configuration(self, configuration):
        # After a restore the store may hold an older configuration, until the newer one
        # is written again, or another one under a version that was lost.
        index = self.gateway.route_index
        if index is not None:
            if configuration.version < index.configuration.version:
                return
            if configuration == index.configuration:
                return
        try:
            self.gateway.set_configuration(configuration)
            self.events.log(
                "configuration_in_force",
                version=configuration.version,
                routes=len(configuration.routes),
                store_age_s=self.peers.store_age_s(self.reactor.seconds()),
            )
        finally:
            self._endpoints_changed(set())

    def _endpoints_changed(self, changed):
        """Apply the parts of a change of the endpoints, each by itself."""
        if self.gateway.route_index is None:
            return
        call = self._guarded.call
        call("endpoints", self._take_endpoints)
        call("agents", self._notify_agents)
        call("unreadable_endpoints", self._unreadable.report, self.listed)

    def _take_endpoints(self):
        listed, _ = self._decoder.endpoints(
            self.listed.copy, self.gateway.route_index.configuration
        )
        self._endpoint_hosts = frozenset(endpoint.host for endpoint in listed.values())
        now_s = self.reactor.seconds()
        was_restored = self.listed.availability.was_restored(now_s)
        may_have_expired = (
            self.listed.availability.records_may_have_expired(now_s)
            or self.peers.records_may_have_expired()
        ) and not self.peers.store_has_served(now_s)
        self.gateway.set_endpoints(listed, may_have_expired, was_restored)
        is_missing = bool(set(self.gateway.endpoints.names()) - set(listed))
        is_due = was_restored or (may_have_expired and is_missing)
        if is_due and not self._checks_missing:
            self._checks_missing = True
            self.reactor.callLater(MISSING_CHECK_INTERVAL_S, self._check_missing)

    def _endpoints_restored(self):
        """Look at the endpoints again, also when the restored records are the same."""
        self.block_keeper.store_restored()
        self.reactor.callLater(0, self._endpoints_changed, set())

    def _check_missing(self):
        self._checks_missing = False
        self._endpoints_changed(set())

    def _read_members(self):
        self._registry_reads.started(self.reactor.seconds())
        registration = self._register_and_read()
        registration.addErrback(
            lambda f: self._log("members_unknown", reason=str(f.value))
        )
        self.reactor.callLater(registry_reads.INTERVAL_S, self._read_members_if_due)

    def _read_members_if_due(self):
        is_complete = not self.peers.has_unlisted()
        now_s, count = self.reactor.seconds(), self.peers.instance_count
        if self._registry_reads.is_due(now_s, count, is_complete):
            self._read_members()
            return
        self.reactor.callLater(registry_reads.INTERVAL_S, self._read_members_if_due)

    def _register_and_read(self):
        async def run():
            found = await self._members.instances()
            if self.instance not in found:
                await self._members.register(self.instance)
            self.peers.add_instances(found)
            self._registry_reads.finished()

        return defer.ensureDeferred(run())

    # Peers.

    def _is_known_peer(self, name):
        """Tell whether a name is that of an entry instance or of an endpoint's host."""
        return self.peers.is_listed(name) or name in self._endpoint_hosts

    def message_received(self, connection, envelope):
        """Process a message of a peer or an agent.

        :param connection: stream connection on which it came.
        :param envelope: envelope with the message.
        """
        message = envelope.message
        if isinstance(message, types.Hello) and message.role == AGENT:
            notice = self._build_notice()
            if notice is not None:
                connection.send(notice)
        if isinstance(message, types.Hello) and message.role == ENTRY:
            self._log("peer_connected", peer=connection.peer)
            self.peers.peer_connected(connection.peer)
            self._send_crash_causes(connection)
            for report in self.gateway.limit_reports():
                connection.send(report)
        if self.peers.message(connection.peer, message):
            if isinstance(message, types.GatewayReport):
                period_s = self.peers.report_period_s(connection.peer)
                self.gateway.set_peer_loads(connection.peer, message.loads, period_s)
                self.peer_configurations.record(
                    connection.peer, envelope.table_version, self.reactor.seconds()
                )
                self._record_weights_ages(connection.peer, message)
        elif isinstance(message, types.CrashReport):
            self.gateway.merge_crash(message)
        elif isinstance(message, types.SoundPartsReport):
            self.gateway.merge_sound(message)
        elif isinstance(message, types.BlockedPartsReport):
            self.block_keeper.receive(message)
        elif isinstance(message, types.LeavingReport):
            self.gateway.merge_leaving(connection.peer, message)
        elif isinstance(message, types.LimitReport):
            self.gateway.merge_limit(connection.peer, message)
        elif isinstance(message, types.PermitRequest):
            self.gateway.receive_permit_request(connection.peer, message)
        elif isinstance(message, types.PermitGrant):
            self.gateway.receive_permits(connection.peer, message)
        elif isinstance(message, types.SuspectReport):
            self._record_suspicion(connection.peer, message)

    def _send_crash_causes(self, connection):
        """Tell another entry instance, which may have restarted, of the crashes."""
        causes = self.gateway.crash_causes
        for message in causes.messages_for_new_peer(self.reactor.seconds()):
            connection.send(message)
        blocks = self.block_keeper.message_for_new_peer()
        if blocks is not None:
            connection.send(blocks)

    def _record_suspicion(self, peer, report):
        """Record a crash that a peer observed.

        Peers are connected to each other, so that a report reaches all of them from the
        instance that observed the crash. Only one that blocks a request is forwarded,
        for instances that are cut off from it.
        """
        unix_s = self.gateway.unix_s()
        suspects = self.gateway.suspects
        for action in suspects.merge_report(peer, report, unix_s):
            if suspects.blocked_for_s(report.digest, unix_s) > 0:
                self.peers.broadcast(action.message, action.exclude)

    def connection_lost(self, connection):
        """Drop what a peer has reported whose connection ended."""
        if connection.hello.role == ENTRY:
            self._log("peer_lost", peer=connection.peer)
            self.peer_configurations.forget(connection.peer)
        self.gateway.peer_lost(connection.peer)

    def _record_lateness(self, now_s):
        """Record how late the event loop runs and how long messages of peers take."""
        if self._tick_due_s is not None:
            late_s = now_s - self._tick_due_s
            self._largest_loop_delay_s = max(self._largest_loop_delay_s, late_s)
            if late_s > LATE_LOOP_S:
                self._log("event_loop_late", late_s=late_s)
        self._tick_due_s = now_s + gateway.TIMEOUT_CHECK_INTERVAL_S
        if now_s - self._late_path_logged_s >= LATE_PATH_INTERVAL_S:
            self._late_path_logged_s = now_s
            delay_s, peer = self.peers.path_delays.largest_s(now_s)
            if delay_s > LATE_PATH_S:
                self._log("peer_path_late", peer=peer, delay_s=delay_s)

    def _tick(self):
        self.reactor.callLater(gateway.TIMEOUT_CHECK_INTERVAL_S, self._tick)
        now_s = self.reactor.seconds()
        self._record_lateness(now_s)
        is_limited = len(self.gateway.endpoints.limits) > 0
        if is_limited or now_s - self._members_set_s >= MEMBERS_INTERVAL_S:
            self._members_set_s = now_s
            members, silent = self.peers.permit_members(now_s)
            self.gateway.set_permit_members(self.instance.name, members, silent)
        self.gateway.check_timeouts()
        self.block_keeper.tick()
        self.peers.tick()
        self._check_outpaced(now_s)
        self._update_stale_guard()
        now_s = self.reactor.seconds()
        # Registered instances that this one cannot reach still send retries, so they
        # count for the division of the retry budget.
        self.gateway.set_member_count(
            1 + self.peers.instance_count, self._registry_reads.has_read
        )
        if now_s - self._agents_notified_s >= notices.NOTICE_S:
            self._notify_agents()
