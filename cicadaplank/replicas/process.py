"""Agent process of an engine whose weights come from an origin.

The agent copies the pieces of a version of weights from the origin and from other
agents, stages them at its engine and orders the engine to load them. The origin and the
engine call a chunk of weights a piece.
"""

import collections
import dataclasses
import random
import signal
import typing

from twisted.internet import defer
from twisted.logger import LogLevel, globalLogPublisher

from cicadaplank.external import errors
from cicadaplank.gateway import (
    guarded_calls,
    memory_account,
    named_versions,
    notices,
    positions,
    registry_reads,
    reloading,
    status,
    sync,
    unreadable,
)
from cicadaplank.links import pacing, peer_limits, streams
from cicadaplank.messages import types
from cicadaplank.replicas import entry_links, loading, manifest_search, staging
from cicadaplank.reports import events, metrics
from cicadaplank.weights import chunks, effects, manifests, transfers
from cicadaplank.world import backoff, machines

TICK_S = 0.1
# Interval at which missing connections to entry instances are opened.
CONNECT_INTERVAL_S = 0.5
ENTRY = "entry"
# Memory for the pieces of two versions of the size that the origin's manifests state.
CHUNK_MEMORY_BYTES = 64 * 1024 * 1024
# Share of the machine's link that transfers may use while its engine has calls, and
# while it can have none. The rest is left to the engine and to messages.
LINK_SHARE = 0.8
IDLE_LINK_SHARE = 0.95
# Limits on concurrent transfers to this machine: a chunk takes 84 ms on a link of
# 4.7 Mbit/s, and requests for the engine on this machine queue behind it. Weights are
# due within 8 s, so owners that do not deliver are replaced, and a failing origin is
# retried, within 1 s.
TRANSFER_LIMITS = transfers.TransferLimits(
    max_in_flight=3,
    max_origin_in_flight=1,
    max_remote_in_flight=1,
    max_queued=3,
    stall_timeout_s={"time": 1.0, "origin_bytes": 2.0},
    max_origin_back_off_s=1.0,
    # Equals 3 chunks at 0.8 of 4.7 Mbit/s, the rate at which a source sends, or 1 chunk
    # on a link throttled to 1.2 Mbit/s.
    receive_queue_s=0.3,
    origin_spread_s=0.4,
)
# Bounds of the delay after a failed request for the newest version.
NEWEST_RETRY_S = 0.3
MAX_NEWEST_RETRY_S = 1.0
# Number of corrupt pieces from the origin after which the manifest is fetched again, as
# it may be the cause.
CORRUPT_PIECES_LIMIT = 3
# Intervals at which the engine's state is read: while it has to change its weights, and
# while it serves the target.
BUSY_CHECK_INTERVAL_S = 0.15
IDLE_CHECK_INTERVAL_S = 0.6
# Least delay of a timer, so that the event loop also runs other work.
MIN_TIMER_DELAY_S = 0.002
# Source of a manifest in logs, in place of a peer's name.
ORIGIN = "origin"
# Limit on the peers that are sent a manifest that replaces an earlier one.
MAX_INFORMED = 64


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of an agent process.

    :param name: name of the instance in logs and metrics.
    :param host: IP address of this instance, also its name among the agents.
    :param peer_port: port for connections of other processes of the system.
    :param metrics_port: port of the metrics page.
    :param region: region name.
    :param data_centre: data centre name.
    :param regions: dict from data centre to its region.
    :param service: service to which the engine belongs.
    :param link_bytes_per_s: bandwidth of this machine's link.
    :param weights_s: time from the naming of a version until older ones must no longer
        be served, in seconds.
    :param machine: :class:`cicadaplank.gateway.memory_account.MachineLimits`.
    """

    name: str
    host: str
    peer_port: int
    metrics_port: int
    region: str
    data_centre: str
    regions: dict
    service: str
    link_bytes_per_s: float
    weights_s: float
    machine: memory_account.MachineLimits = memory_account.MachineLimits()


class Origin(typing.Protocol):
    """Client of an origin of weights.

    Its methods are coroutines that raise ``errors.PlatformError``.
    """

    def manifest(self, model, version):
        """Return a :class:`cicadaplank.weights.manifests.Manifest`.

        :param model: model name.
        :param version: version number, or 0 for the newest.
        """

    def piece(self, model, version, number):
        """Return the bytes of a piece.

        :param model: model name.
        :param version: version number.
        :param number: index of the piece in the manifest.
        """


def _peer_limits(machine):
    """Return the limits of the peer port.

    :param machine: :class:`cicadaplank.gateway.memory_account.MachineLimits`.
    """
    return peer_limits.of_machine(
        machine.memory_mb,
        memory_account.RESERVED_MB,
        machine.max_fds - memory_account.RESERVED_FDS,
        peer_limits.AGENT_FDS_SHARE,
    )


class AgentProcess:
    """Connects transfers, the loading of weights, the engine and the store.

    :param reactor: Twisted reactor with a monotonic clock.
    :param settings: :class:`Settings`.
    :param store: :class:`cicadaplank.gateway.sync.Store`.
    :param decoder: :class:`cicadaplank.gateway.process.RecordDecoder`.
    :param members: :class:`cicadaplank.gateway.process.InstanceRegistry`.
    :param engine: :class:`cicadaplank.replicas.staging.Engine`.
    :param origin_at: callable that returns an :class:`Origin` for ``host:port``.
    :param reload: callable that returns the settings read anew, or raises
        ``ValueError``.
    """

    def __init__(
        self, reactor, settings, store, decoder, members, engine, origin_at, reload
    ):
        self.reactor = reactor
        self.settings = settings
        self.events = events.Events(settings.name)
        self.metrics = metrics.Metrics(
            settings.name, "agent", settings.region, settings.data_centre
        )
        self.watch = reloading.SettingsWatch(
            reactor, settings, reload, self._settings_changed, self.events.log
        )
        self._pages = status.Pages(reactor, {"/metrics": self._metrics_page})
        self.counts = collections.Counter()
        store = sync.MeteredStore(store, self.metrics.count)
        self.loading = loading.LoadScheduler(settings.host, settings.weights_s)
        self._decoder = decoder
        self._guarded = guarded_calls.GuardedCalls(reactor, self._log)
        self._unreadable = unreadable.UnreadableRecords(decoder, self._log)
        # Newest configuration that could be decoded.
        self._configuration = None
        self._members = members
        self._engine = engine
        self._origin_at = origin_at
        self._origin = None
        self._origin_address = ""
        # Copies of the version to load next and of the newest version that was named.
        self._next_copy = None
        self._newest_copy = None
        self._is_requesting_newest = False
        self._newest_retry_s = float("-inf")
        self._rng = random.Random()
        self._newest_backoff = backoff.Backoff(
            NEWEST_RETRY_S, MAX_NEWEST_RETRY_S, self._rng
        )
        self._entries = []
        self._registry_reads = registry_reads.RegistryReads()
        self._entry_links = entry_links.EntryLinks(settings.host, settings.data_centre)
        self._models = []
        self._configuration_version = -1
        self._list_position = positions.NOWHERE
        self._data_centres = {}
        self._last_entry_message_s = float("-inf")
        self._connect_attempted_s = float("-inf")
        self._engine_state = None
        self._manifest_waiters = manifest_search.Waiters()
        self._is_checking = False
        self._checked_s = float("-inf")
        # Time at which the engine's known state was requested.
        self._reported_s = float("-inf")
        self._agent_names = (settings.host,)
        self._transfers_timer = None
        self._me = machines.Instance(
            settings.host,
            "agent",
            settings.host,
            settings.peer_port,
            settings.region,
            settings.data_centre,
        )
        self.store = chunks.ChunkStore(CHUNK_MEMORY_BYTES)
        self._link_share = LINK_SHARE
        rate = self._transfer_rate()
        self.transfers = transfers.Transfers(
            self._me,
            self.store,
            transfers.LinkRates(rate, rate),
            # Every region fetches a part of the chunks from the origin, so that the one
            # copy that the origin sends is out early and the links of all machines
            # share the rest of the distribution.
            None,
            self._rng,
            reactor.seconds(),
            TRANSFER_LIMITS,
        )
        self.operator = sync.TableSync(
            reactor,
            store,
            decoder.operator_table,
            self._operator_changed,
            self._log,
            self._entries_are_silent,
            self._registry_reads.may_be_incomplete,
        )
        self.listed = sync.TableSync(
            reactor,
            store,
            decoder.endpoint_table,
            self._table_changed,
            self._log,
            self._entries_are_silent,
        )
        hello = types.Hello("agent", settings.region, settings.data_centre, 0)
        self.hub = streams.PeerHub(
            reactor,
            streams.Identity(settings.host, hello),
            self,
            lambda: 0,
            self._log,
            pacing.PacedWriter(reactor, rate),
        )
        self.hub.is_known = self._is_known_peer
        self.hub.set_limits(_peer_limits(settings.machine))
        self._handlers = {
            effects.Send: self._send,
            effects.FetchManifest: self._provide_manifest,
            effects.FetchChunk: self._fetch_chunk,
            effects.CopyComplete: self._copy_complete,
            effects.MemoryTooSmall: self._memory_too_small,
            effects.PeerExcluded: self._peer_excluded,
        }

    def _is_known_peer(self, name):
        """Tell whether a name is that of an agent's host or of an entry instance."""
        return name in self._data_centres or self._entry_links.is_listed(name)

    @property
    def now_s(self):
        """Monotonic time in seconds."""
        return self.reactor.seconds()

    def _log(self, event, **fields):
        self.events.log(event, **fields)

    def start(self):
        """Open the ports, install signal handlers and start the periodic tasks."""
        settings = self.settings
        self.reactor.listenTCP(settings.metrics_port, self._pages, 50, settings.host)
        self.hub.listen(settings.host, settings.peer_port)
        self.operator.start()
        self.listed.start()
        self._read_members()
        self._tick()
        self.watch.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        globalLogPublisher.addObserver(self._report_twisted_error)
        self._log("started", peer_port=settings.peer_port)

    def _settings_changed(self, settings):
        self.settings = settings
        self._apply_rate()
        self.hub.set_limits(_peer_limits(settings.machine))
        self.loading.allowed_s = settings.weights_s

    def _transfer_rate(self):
        return self._link_share * self.settings.link_bytes_per_s

    def _apply_rate(self):
        rate = self._transfer_rate()
        self.hub.pacer.bytes_per_s = rate
        self._carry_out(
            self.transfers.rates_changed(transfers.LinkRates(rate, rate), self.now_s)
        )

    def _update_link_share(self):
        has_calls = self.loading.may_have_calls(self._engine_state, self.now_s)
        share = LINK_SHARE if has_calls else IDLE_LINK_SHARE
        if share != self._link_share:
            self._link_share = share
            self._log("link_share_changed", share=share)
            self._apply_rate()

    def _signalled(self, number, frame):
        self.reactor.callFromThread(self.stop)

    def stop(self):
        """Stop without draining: the engine serves on without its agent."""
        self._log("stopped")
        self.reactor.callLater(TICK_S, self.reactor.stop)

    def _report_twisted_error(self, event):
        failure = event.get("log_failure")
        if failure is not None and event["log_level"] is LogLevel.critical:
            text = failure.getTraceback().strip().replace("\n", " | ")
            self.events.log("unexpected_error", "error", detail=text[-480:])

    def _metrics_page(self):
        metric = self.metrics
        metric.set_gauge("pieces_bytes", self.store.held_bytes)
        metric.set_gauge("notice_age_seconds", self.now_s - self._last_entry_message_s)
        target = self.loading.target
        metric.set_gauge("weights_wanted", target.version if target else 0)
        if target:
            age_s = self.now_s - target.named_s
            metric.set_gauge("weights_wanted_age_seconds", age_s)
        metric.set_gauge("peak_memory_bytes", metrics.peak_memory_bytes())
        state = self._engine_state
        served = max(state.versions.values(), default=0) if state else 0
        metric.set_gauge("weights_served", served)
        metric.set_gauge("weights_unverified", int(self.loading.is_unverified))
        self._pages.update_metrics(metric, "metrics")
        self.hub.update_metrics(metric)
        self._unreadable.update_metrics(metric)
        for guarded in (self._guarded, self.operator.guarded, self.listed.guarded):
            guarded.update_metrics(metric)
        for name, count in (*self.counts.items(), *self.transfers.counts.items()):
            metric.set_gauge(f"transfers_{name}", count)
        body, _ = metric.render()
        return 200, "text/plain; version=0.0.4", body

    # Information from entry instances or the store.

    def _entries_are_silent(self):
        """Tell whether no entry instance sent a message recently.

        After :data:`notices.SILENCE_S` without one the agent reads the store itself.
        """
        return self.now_s - self._last_entry_message_s > notices.SILENCE_S

    def _read_members(self):
        self.reactor.callLater(registry_reads.INTERVAL_S, self._read_members_if_due)
        self._registry_reads.started(self.now_s)
        request = _start_coroutine(self._members.instances())
        request.addCallbacks(self._members_received, self._members_failed)

    def _read_members_if_due(self):
        is_complete = self._entry_links.is_complete
        if self._registry_reads.is_due(self.now_s, len(self._entries), is_complete):
            self._read_members()
            return
        self.reactor.callLater(registry_reads.INTERVAL_S, self._read_members_if_due)

    def _members_received(self, found):
        self._registry_reads.finished()
        entries = [instance for instance in found if instance.role == ENTRY]
        self._entries = entries
        self._entry_links.instances_changed(entries)

    def _members_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._log("members_unknown", reason=str(failure.value))

    def _connect_entries(self):
        """Connect to a few entry instances, and close the other connections."""
        connected = {
            instance.name
            for instance in self._entries
            if self.hub.connection(instance.name) is not None
        }
        dialled, closed = self._entry_links.update(connected, self.now_s)
        for name in closed:
            self.hub.connection(name).transport.abortConnection()
        for instance in dialled:
            self.hub.dial(instance).addCallback(self._entry_dialled, instance.name)

    def _entry_dialled(self, connection, name):
        if connection is None:
            self._entry_links.failed(name, self.now_s)

    def _operator_changed(self, changed):
        self._table_changed(changed, self.operator.confirmed_s)

    def _table_changed(self, changed, confirmed_s=None):
        """Use the store's tables while entry instances are silent."""
        self._guarded.call("tables", self._take_tables, confirmed_s)
        for table_sync in (self.operator, self.listed):
            name = f"unreadable_{table_sync.table}"
            self._guarded.call(name, self._unreadable.report, table_sync)

    def _take_tables(self, confirmed_s):
        try:
            found = self._decoder.configuration(self.operator.copy)
            self._configuration = found or self._configuration
        except ValueError as error:
            self.events.log("configuration_rejected", "error", reason=str(error))
        if self._configuration is None:
            return
        notice = notices.build(
            self._decoder, self._configuration, self.operator.copy, self.listed.copy
        )
        if self._entries_are_silent():
            self._apply_notice(notice, confirmed_s)

    def _apply_notice(self, notice, confirmed_s=None):
        """Apply the parts of a notice, each by itself.

        :param notice: :class:`types.WeightsNotice`.
        :param confirmed_s: time in seconds before which no version was named that this
            agent does not know, or None when that is not known.
        """
        call = self._guarded.call
        call("configuration", self._apply_configuration, notice)
        call("endpoints", self._apply_hosts, notice)
        call("named_versions", self._apply_named_versions, notice, confirmed_s)

    def _apply_configuration(self, notice):
        if notice.configuration >= self._configuration_version:
            self._configuration_version = notice.configuration
            self._models = notice.models
            self._set_origin(notice.origin)
            self.loading.may_abort_calls = notice.resumable.get(
                self.settings.service, False
            )

    def _apply_hosts(self, notice):
        position = positions.from_wire(notice.listed)
        if position is not None and position >= self._list_position:
            self._list_position = position
            self._set_hosts(notice.hosts.get(self.settings.service, {}))

    def _apply_named_versions(self, notice, confirmed_s):
        for model, version in notice.named.items():
            entries = notice.weights_ages_s.get(model, [])
            known = named_versions.from_ages(entries, self.now_s)
            named = known.get(version) or self._read_now(version, confirmed_s)
            self._version_named(model, named)
            for named in known.values():
                self._times_known(model, named)
        if self._newest_copy is None:
            self._check_engine()

    def _set_origin(self, address):
        if address and address != self._origin_address:
            self._origin_address = address
            self._origin = self._origin_at(address)
            self._log("origin_known", address=address)

    def _set_hosts(self, hosts):
        data_centres = {**hosts, self.settings.host: self.settings.data_centre}
        if data_centres == self._data_centres:
            return
        self._data_centres = data_centres
        self._agent_names = tuple(sorted(data_centres))
        instances = [
            self._agent_at(host, data_centre)
            for host, data_centre in data_centres.items()
        ]
        self._carry_out(self.transfers.instances_changed(instances, self.now_s))
        self._request_copies()
        for copy in self._searching_copies():
            copy.search.agents_changed(data_centres)
            self._continue_search(copy)

    def _read_now(self, version, confirmed_s=None):
        earliest_s = float("-inf") if confirmed_s is None else confirmed_s
        return named_versions.NamedVersion(
            version, earliest_s, self.now_s, named_versions.Source.STORE
        )

    def _version_named(self, model, named):
        newest, version = self._newest_copy, named.version
        if newest is not None and version <= newest.target.version:
            return
        copy = _Copy(_target(model, named), named)
        self._log(
            "weights_wanted",
            model=model,
            version=version,
            age_s=self.now_s - named.latest_s,
            max_age_s=self.now_s - copy.target.named_s,
        )
        next_copy = self._next_copy
        self._newest_copy = copy
        if next_copy is None or not loading.should_finish_target(
            self.loading.phase, self._progress(next_copy)
        ):
            self._switch_to_newest()
        else:
            self._log("older_weights_first", version=next_copy.target.version)
        self._fetch_manifest(copy)
        self._check_engine()

    def _times_known(self, model, named):
        """Narrow the time at which a wanted version was named."""
        for copy in (self._next_copy, self._newest_copy):
            if (copy.target.model, copy.target.version) != (model, named.version):
                continue
            copy.named = copy.named.narrowed(named)
            copy.target = _target(model, copy.named)
            if self.loading.target == copy.target:
                self.loading.wanted(copy.target)

    def _progress(self, copy):
        if copy.manifest is None:
            return 0.0
        return self.transfers.progress(copy.manifest.digest)

    def _switch_to_newest(self):
        self._next_copy = self._newest_copy
        self.loading.wanted(self._next_copy.target)
        self._request_copies()

    def _agent_at(self, host, data_centre):
        region = self.settings.regions.get(data_centre, "")
        return dataclasses.replace(
            self._me, name=host, host=host, region=region, data_centre=data_centre
        )

    # Copies.

    def _is_wanted(self, copy):
        return copy is not None and copy in (self._next_copy, self._newest_copy)

    def _wanted_copies(self):
        """Return the wanted copies, that to load next first."""
        found = [self._next_copy]
        if self._newest_copy is not self._next_copy:
            found.append(self._newest_copy)
        return [copy for copy in found if copy is not None]

    def _searching_copies(self):
        return [copy for copy in self._wanted_copies() if copy.search is not None]

    def _copy_of(self, model, version):
        for copy in self._wanted_copies():
            if (copy.target.model, copy.target.version) == (model, version):
                return copy
        return None

    def _fetch_manifest(self, copy, asks_peers=True):
        if copy.search is not None or not self._is_wanted(copy):
            return
        target = copy.target
        copy.search = manifest_search.ManifestSearch(
            self.settings.host,
            manifest_search.version_key(target.model, target.version),
            self._data_centres,
            self._rng,
            self.now_s,
            asks_peers,
        )
        self._continue_search(copy)

    def _continue_search(self, copy):
        if not self._is_wanted(copy):
            copy.end_search()
            return
        search = copy.search
        for action in search.tick(self.now_s):
            if isinstance(action, manifest_search.AskOrigin):
                self._request_manifest(copy, search)
            else:
                self._request_manifest_from(action.peer, copy, search)
        copy.stop_search_timer()
        if copy.search is not search:
            return
        due_s = search.wake_s()
        if due_s is not None:
            delay_s = max(MIN_TIMER_DELAY_S, due_s - self.now_s)
            copy.search_timer = self.reactor.callLater(
                delay_s, self._continue_search, copy
            )

    def _request_manifest(self, copy, search):
        target = copy.target
        if self._origin is None:
            search.origin_failed(self.now_s)
            return
        request = _start_coroutine(self._origin.manifest(target.model, target.version))
        request.addCallbacks(
            self._manifest_received,
            self._manifest_failed,
            (copy, search, ORIGIN),
            None,
            (copy, search),
        )

    def _request_manifest_from(self, peer, copy, search):
        target = copy.target
        self.metrics.count("manifest_requests")
        request = types.VersionManifestRequest(target.model, target.version)
        self._send_to_agent(peer, request, lambda: search.peer_lost(peer))

    def _send_to_agent(self, host, message, failed=lambda: None):
        def dialled(connection):
            if connection is None or not connection.send(message):
                failed()

        instance = dataclasses.replace(self._me, name=host, host=host)
        self.hub.dial(instance).addCallback(dialled)

    def _manifest_received(self, manifest, copy, search, source):
        if copy.search is not search or not self._is_wanted(copy):
            return
        copy.end_search()
        copy.corrupt = 0
        target = copy.target
        replaced, copy.received = copy.received, manifest
        former_source, copy.source = copy.source, source
        self.metrics.count("manifests", source="origin" if source == ORIGIN else "peer")
        self._log(
            "manifest_known",
            model=target.model,
            version=target.version,
            pieces=len(manifest.chunk_digests),
            digest=manifest.digest,
            source=source,
            after_s=self.now_s - target.named_s,
        )
        waiting = self._manifest_waiters.take(target.model, target.version)
        if replaced is not None and replaced.digest != manifest.digest:
            # Peers that have the wrong manifest, from here or from others, see that
            # this one differs.
            waiting = self._peers_to_inform(copy, former_source, waiting)
        for peer in waiting:
            self._answer_with_manifest(peer, copy)
        if copy.manifest is not None and copy.manifest.digest == manifest.digest:
            return
        staged_import = _start_coroutine(self._import_staged(target, manifest))
        staged_import.addErrback(self._import_failed)
        staged_import.addCallback(self._import_finished, copy, manifest)

    def _peers_to_inform(self, copy, former_source, waiting):
        """Return the peers that are sent a manifest that replaces a wrong one."""
        others = self._rng.sample(self._agent_names, len(self._agent_names))
        names = dict.fromkeys((former_source, *copy.informed, *waiting, *others))
        for name in (ORIGIN, "", self.settings.host):
            names.pop(name, None)
        return list(names)[:MAX_INFORMED]

    def _answer_with_manifest(self, peer, copy):
        copy.add_informed(peer)
        target = copy.target
        text = copy.received.to_json()
        self._send_to_agent(
            peer, types.VersionManifestReply(target.model, target.version, text)
        )

    def _manifest_requested(self, peer, message):
        copy = self._copy_of(message.model, message.version)
        if copy is not None and copy.has_reliable_manifest:
            self._answer_with_manifest(peer, copy)
        elif not self._manifest_waiters.add(message.model, message.version, peer):
            self.metrics.count("manifest_requests_rejected")

    def _manifest_replied(self, peer, message):
        copy = self._copy_of(message.model, message.version)
        if copy is None:
            return
        parsed = manifests.parse(message.manifest_json)
        manifest = parsed.value_or(None)
        named = (message.model, str(message.version))
        if manifest is None or (manifest.name, manifest.version) != named:
            reason = (
                parsed.failure()
                if manifest is None
                else f"manifest of {manifest.name} {manifest.version}, expected "
                f"{message.model} {message.version}"
            )
            self.metrics.count("manifests_rejected")
            self._log("manifest_rejected", peer=peer, reason=reason)
        elif copy.search is not None:
            if copy.search.asks_peers:
                self._manifest_received(manifest, copy, copy.search, peer)
        elif copy.received.digest != manifest.digest and not copy.was_doubted:
            copy.was_doubted = True
            self._log("manifests_differ", source=copy.source, peer=peer)
            copy.add_informed(peer)
            if copy.source != ORIGIN:
                copy.add_informed(copy.source)
            self._fetch_manifest(copy, asks_peers=False)

    def _import_finished(self, ignored, copy, manifest):
        """Start the transfer, after the engine's pieces were put into the store."""
        if copy.received is manifest:
            copy.manifest = manifest
            copy.is_complete = False
            if copy is self._next_copy:
                self.loading.pieces_changed(self.now_s)
            self._request_copies()

    async def _import_staged(self, target, manifest):
        """Read the pieces staged at the engine, so that peers can fetch them here."""
        if self.store.held_bytes or not self.store.reserve(manifest):
            return
        count = await staging.import_staged(
            self._engine, target.model, manifest, self.store
        )
        self._log("pieces_adopted", version=target.version, pieces=count)

    def _import_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._log("adoption_failed", reason=str(failure.value))

    def _manifest_failed(self, failure, copy, search):
        failure.trap(errors.PlatformError)
        self.counts["manifest_failures"] += 1
        self._origin_failed("manifest", failure.value)
        self._log("manifest_failed", reason=str(failure.value))
        if copy.search is search:
            search.origin_failed(self.now_s)
            self._continue_search(copy)

    def _origin_failed(self, call, error):
        self.metrics.count("origin_failures", call=call, reason=type(error).__name__)

    def _copies(self):
        """Return the wanted copies with a manifest, that to load next first."""
        return [copy for copy in self._wanted_copies() if copy.manifest is not None]

    def _copy_with_manifest(self, manifest_digest):
        for copy in self._copies():
            if copy.manifest.digest == manifest_digest:
                return copy
        return None

    def _request_copies(self):
        wanted = [
            transfers.WantedVersion(
                copy.manifest.digest,
                copy.manifest.name,
                self._agent_names,
                "time",
                position,
            )
            for position, copy in enumerate(self._copies())
        ]
        if not wanted:
            return
        self._carry_out(self.transfers.rows_changed(tuple(wanted), self.now_s))
        for copy in self._copies():
            actions = self.transfers.manifest_fetched(
                copy.manifest.digest, copy.manifest.to_json(), self.now_s
            )
            self._carry_out(actions)

    def _carry_out(self, actions):
        for action in actions:
            self._handlers[type(action)](action)
        if self._transfers_timer is not None and self._transfers_timer.active():
            self._transfers_timer.cancel()
        due_s = self.transfers.wake_s()
        if due_s is not None:
            delay_s = max(MIN_TIMER_DELAY_S, due_s - self.now_s)
            self._transfers_timer = self.reactor.callLater(
                delay_s, self._transfers_tick
            )

    def _transfers_tick(self):
        self._carry_out(self.transfers.tick(self.now_s))

    def _send(self, action):
        connection = self.hub.connection(action.peer)
        if connection is not None:
            connection.send(
                action.message, effects.after_sending(action, self._chunk_left)
            )
            return
        host = action.peer
        instance = dataclasses.replace(self._me, name=host, host=host)

        def dialled(connection):
            if connection is None:
                self._carry_out(self.transfers.peer_lost(host, self.now_s))
            else:
                connection.send(
                    action.message, effects.after_sending(action, self._chunk_left)
                )

        self.hub.dial(instance).addCallback(dialled)

    def _chunk_left(self, peer, transfer):
        self._carry_out(self.transfers.chunk_left(peer, transfer, self.now_s))

    def _provide_manifest(self, action):
        copy = self._copy_with_manifest(action.manifest_digest)
        if copy is None:
            return
        manifest = copy.manifest
        text = manifest.to_json()
        self.reactor.callLater(
            0,
            lambda: self._carry_out(
                self.transfers.manifest_fetched(manifest.digest, text, self.now_s)
            ),
        )

    def _fetch_chunk(self, action):
        digest = action.chunk_digest
        for copy in self._copies():
            if digest in copy.manifest.chunk_digests:
                break
        else:
            self.reactor.callLater(0, self._piece_unwanted, digest)
            return
        number = copy.manifest.chunk_digests.index(digest)
        target = copy.target
        self.counts["origin_pieces"] += 1
        request = _start_coroutine(
            self._origin.piece(target.model, target.version, number)
        )
        requested_s = self.now_s
        request.addCallbacks(
            lambda data: self._piece_received(copy, digest, number, data, requested_s),
            lambda failure: self._piece_failed(digest, failure),
        )

    def _piece_unwanted(self, digest):
        self._carry_out(self.transfers.origin_failed(digest, 0.0, self.now_s))

    def _piece_received(self, copy, digest, number, data, requested_s):
        self._log(
            "piece_fetched",
            version=copy.target.version,
            number=number,
            after_s=self.now_s - requested_s,
        )
        if manifests.chunk_digest(data) != digest:
            copy.corrupt += 1
            self._log("piece_corrupt", digest=digest, source="origin")
            if copy.corrupt >= CORRUPT_PIECES_LIMIT:
                # The manifest may be wrong rather than the pieces.
                copy.manifest = None
                self._fetch_manifest(copy, asks_peers=False)
        self._carry_out(self.transfers.origin_replied(digest, data, self.now_s))

    def _piece_failed(self, digest, failure):
        failure.trap(errors.PlatformError)
        self.counts["origin_failures"] += 1
        self._origin_failed("piece", failure.value)
        self._log("piece_failed", digest=digest, reason=str(failure.value))
        self._carry_out(self.transfers.origin_failed(digest, 0.0, self.now_s))

    def _copy_complete(self, action):
        copy = self._copy_with_manifest(action.manifest_digest)
        if copy is None or copy.is_complete:
            return
        copy.is_complete = True
        target = copy.target
        self._log(
            "copy_complete",
            model=target.model,
            version=target.version,
            after_s=self.now_s - target.named_s,
            origin_pieces=self.counts["origin_pieces"],
        )
        self._check_engine()

    def _memory_too_small(self, action):
        self.events.log("memory_too_small", "error", missing=action.missing_bytes)

    def _peer_excluded(self, action):
        self._log("peer_excluded", peer=action.peer, corrupt=action.corrupt)

    # The engine.

    def _check_engine(self):
        if self._is_checking:
            return
        self._is_checking = True
        self._checked_s = self.now_s
        _start_coroutine(self._engine.state()).addCallbacks(
            self._state_received, self._state_failed
        )

    def _state_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._is_checking = False
        if self._engine_state is not None:
            self._log("engine_lost", reason=str(failure.value))
        self._engine_state = None

    def _state_received(self, state):
        self._is_checking = False
        self._reported_s = self._checked_s
        previous, self._engine_state = self._engine_state, state
        if previous is None or previous.started_ms != state.started_ms:
            self._log(
                "engine_found",
                versions=str(state.versions),
                orders=state.orders,
                started_ms=state.started_ms,
            )
            self.loading.restarted(self.now_s)
        elif previous.versions != state.versions:
            self._log("engine_serves", versions=str(state.versions))
        if self._newest_copy is None:
            self._request_newest()
        self._update_link_share()
        self._decide()

    def _request_newest(self):
        """Ask the origin for the newest version when none was named to this process."""
        if self._origin is None or self._is_requesting_newest or not self._models:
            return
        if self.now_s < self._newest_retry_s:
            return
        models = self._models
        self._is_requesting_newest = True
        request = _start_coroutine(self._origin.manifest(models[0], 0))
        request.addCallbacks(self._newest_received, self._newest_failed, (models[0],))

    def _newest_received(self, manifest, model):
        self._is_requesting_newest = False
        self._newest_backoff.reset()
        if self._newest_copy is None:
            self._version_named(model, self._read_now(int(manifest.version)))

    def _newest_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._is_requesting_newest = False
        self._newest_retry_s = self.now_s + self._newest_backoff.next_s()
        self._origin_failed("newest", failure.value)
        self._log("manifest_failed", reason=str(failure.value))

    def _decide(self):
        newest, next_copy = self._newest_copy, self._next_copy
        if newest is not next_copy and (
            newest.is_complete or self.loading.phase is loading.Phase.CURRENT
        ):
            self._switch_to_newest()
            next_copy = newest
        action = self.loading.next(
            self._engine_state,
            next_copy is not None and next_copy.is_loadable,
            self._agent_names,
            self.now_s,
            self._reported_s,
        )
        if isinstance(action, loading.Stage):
            _start_coroutine(self._stage(action.target)).addErrback(
                self._staging_crashed
            )
        elif isinstance(action, loading.Verify):
            _start_coroutine(self._verify(action.target)).addErrback(
                self._verification_crashed
            )
        elif isinstance(action, loading.Order):
            self._order_load(action)

    def _staging_crashed(self, failure):
        self.events.log("unexpected_error", "error", detail=str(failure.value))
        self.loading.staged(self.loading.target, False, self.now_s)

    async def _stage(self, target):
        manifest = self._next_copy.manifest
        started_s = self.now_s
        try:
            count = await staging.stage(
                self._engine, target.model, manifest, self.store
            )
        except errors.PlatformError as error:
            self._log("staging_failed", version=target.version, reason=str(error))
            self.loading.staged(target, False, started_s)
            return
        self._log(
            "staged",
            version=target.version,
            pieces=count,
            took_s=self.now_s - started_s,
        )
        is_same = manifest is self._next_copy.manifest
        self.loading.staged(target, is_same, started_s, count)
        self._decide()

    def _verification_crashed(self, failure):
        self.events.log("unexpected_error", "error", detail=str(failure.value))
        self.loading.verified(self.loading.target, None)

    async def _verify(self, target):
        """Read the staged pieces after a load that rests on an old check."""
        manifest = self._next_copy.manifest
        try:
            damaged = await staging.missing_pieces(self._engine, target.model, manifest)
        except errors.PlatformError as error:
            self._log("verification_failed", version=target.version, reason=str(error))
            self.loading.verified(target, None)
            return
        self._log("load_verified", version=target.version, damaged=str(damaged[:16]))
        self.loading.verified(target, not damaged)
        if damaged:
            self.events.log(
                "load_unsound",
                "error",
                version=target.version,
                pieces=len(damaged),
                reason="loaded with an old check, and pieces are damaged now",
            )

    def _order_load(self, action):
        target = action.target
        self._log(
            "load_ordered",
            model=target.model,
            version=target.version,
            expected_orders=action.expected_orders,
            cuts=action.cuts,
            after_s=self.now_s - target.named_s,
        )
        self.counts["orders"] += 1
        response = _start_coroutine(self._engine.load(action))

        def answered(accepted):
            if not accepted:
                self._log("load_refused", version=target.version, cuts=action.cuts)
            self.loading.order_answered(accepted, self.now_s)

        def failed(failure):
            failure.trap(errors.PlatformError)
            self._log("load_failed", reason=str(failure.value))
            if failure.check(errors.Unavailable):
                # The order was not sent.
                self.loading.order_answered(False, self.now_s)

        response.addCallbacks(answered, failed)

    # Periodic work and peers.

    def _tick(self):
        self.reactor.callLater(TICK_S, self._tick)
        if self.now_s - self._connect_attempted_s >= CONNECT_INTERVAL_S:
            self._connect_attempted_s = self.now_s
            self._connect_entries()
        is_current = self.loading.phase is loading.Phase.CURRENT
        period_s = IDLE_CHECK_INTERVAL_S if is_current else BUSY_CHECK_INTERVAL_S
        if self.now_s - self._checked_s >= period_s:
            self._check_engine()

    def message_received(self, connection, envelope):
        """Process a message of an entry instance or another agent.

        :param connection: stream connection on which it came.
        :param envelope: envelope with the message.
        """
        if connection.hello.role == ENTRY:
            self._last_entry_message_s = self.now_s
            self._entry_links.heard(connection.peer, self.now_s)
            if isinstance(envelope.message, types.WeightsNotice):
                self._apply_notice(envelope.message)
            return
        if isinstance(envelope.message, types.VersionManifestRequest):
            self._manifest_requested(connection.peer, envelope.message)
            return
        if isinstance(envelope.message, types.VersionManifestReply):
            self._manifest_replied(connection.peer, envelope.message)
            return
        self._carry_out(
            self.transfers.message_received(
                connection.peer,
                envelope.message,
                self.now_s,
                connection.frame_receive_s,
            )
        )

    def connection_lost(self, connection):
        """Tell the transfers that a peer is gone if no connection to it is left."""
        if connection.hello.role == ENTRY:
            self._entry_links.failed(connection.peer, self.now_s)
        for copy in self._searching_copies():
            copy.search.peer_lost(connection.peer)
        if self.hub.connection(connection.peer) is None:
            self._carry_out(self.transfers.peer_lost(connection.peer, self.now_s))


def _start_coroutine(coroutine):
    """Start a coroutine and return a Deferred of its result."""
    return defer.ensureDeferred(coroutine)


def _target(model, named):
    """Return the target of a version, due from the earliest time of its naming."""
    is_known = named.earliest_s > float("-inf")
    named_s = named.earliest_s if is_known else named.latest_s
    return loading.Target(model, named.version, named_s)


class _Copy:
    """State of this agent's copy of one version of weights.

    :param target: :class:`cicadaplank.replicas.loading.Target`.
    :param named: :class:`cicadaplank.gateway.named_versions.NamedVersion`.
    :ivar manifest: :class:`cicadaplank.weights.manifests.Manifest` of the transfer, or
        None before the transfer can start.
    :ivar received: newest manifest that the origin or a peer sent, or None.
    :ivar source: where it came from, the name of a peer or :data:`ORIGIN`.
    :ivar search: :class:`cicadaplank.replicas.manifest_search.ManifestSearch` while the
        manifest is unknown or in doubt, else None.
    :ivar search_timer: timer of the search, or None.
    :ivar informed: peers that were sent the manifest or sent another one, as the keys
        of a dict.
    :ivar was_doubted: whether a peer sent another manifest. The origin is asked once
        for this reason, as one of its answers may have been corrupted.
    :ivar is_complete: whether every piece is held.
    :ivar corrupt: number of corrupt pieces that the origin sent for this manifest.
    """

    def __init__(self, target, named):
        self.target = target
        self.named = named
        self.manifest = None
        self.received = None
        self.source = ""
        self.search = None
        self.search_timer = None
        self.informed = {}
        self.was_doubted = False
        self.is_complete = False
        self.corrupt = 0

    @property
    def has_reliable_manifest(self):
        """Whether a manifest was received that is not in doubt."""
        return self.received is not None and self.search is None

    @property
    def is_loadable(self):
        """Whether every piece of a manifest that is not in doubt is held."""
        if not self.is_complete or not self.has_reliable_manifest:
            return False
        return (
            self.manifest is not None and self.manifest.digest == self.received.digest
        )

    def add_informed(self, peer):
        """Note a peer that is sent the manifest if it is replaced."""
        if len(self.informed) < MAX_INFORMED:
            self.informed[peer] = True

    def stop_search_timer(self):
        """Cancel the timer of the search, if it is running."""
        if self.search_timer is not None and self.search_timer.active():
            self.search_timer.cancel()

    def end_search(self):
        """End the search for the manifest."""
        self.search = None
        self.stop_search_timer()
