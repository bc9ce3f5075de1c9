"""The agent process beside an engine whose weights come from an origin."""

import collections
import dataclasses
import random
import signal
import typing

from twisted.internet import defer
from twisted.logger import LogLevel, globalLogPublisher

from cicadaplank.external import errors
from cicadaplank.gateway import notices, reloading, status, sync
from cicadaplank.links import pacing, streams
from cicadaplank.messages import types
from cicadaplank.replicas import loading, staging
from cicadaplank.reports import events, metrics
from cicadaplank.weights import chunks, effects, manifests, transfers
from cicadaplank.world import machines, rendezvous

TICK_S = 0.1
# Entry instances that an agent keeps a connection to.
ENTRY_CONNECTIONS = 3
# Period in which missing connections to entry instances are opened, and the list of
# them is read.
DIAL_S = 0.5
MEMBERS_S = 10.0
ENTRY = "entry"
# Memory for the pieces of two versions, of the size that the origin states.
CHUNK_MEMORY_BYTES = 64 * 1024 * 1024
# Part of the machine's link that transfers may use; the rest is for its engine.
LINK_SHARE = 0.8
# Chunks on their way to this machine at a time: one takes 84 ms on a link of
# 4.7 Mbit/s, and requests for the engine beside wait behind them. Weights are due in
# 8 s, so that owners are replaced, and a failing origin is tried again, in a second.
PACE = transfers.Pace(
    max_in_flight=3,
    max_origin_in_flight=1,
    max_remote_in_flight=1,
    max_queued=3,
    patience_s={"time": 1.0, "origin_bytes": 2.0},
    max_origin_back_off_s=1.0,
    # 3 chunks at the 0.8 of 4.7 Mbit/s that a source sends with, 1 on a link that is
    # squeezed to 1.2 Mbit/s.
    receive_queue_s=0.3,
)
# Delay before the manifest is asked for again.
MANIFEST_RETRY_S = 0.3
# Corrupt pieces from the origin after which the manifest itself is doubted.
CORRUPT_LIMIT = 3
# The engine's state is read this often while weights are on their way, and otherwise.
BUSY_CHECK_S = 0.15
IDLE_CHECK_S = 0.6
# A timer that is due now still leaves the event loop a turn.
MIN_DELAY_S = 0.002


@dataclasses.dataclass(frozen=True)
class Settings:
    """What an agent process needs to know.

    :param name: name of the instance, for logs.
    :param host: IP address of this instance; also its name among the agents.
    :param peer_port: port for other processes of the system.
    :param metrics_port: port of the metrics page.
    :param region: region name.
    :param data_centre: data centre name.
    :param regions: dict from data centre to its region.
    :param service: service of the engine.
    :param link_bytes_per_s: link of this machine.
    :param weights_s: time from the naming of weights until older ones are forbidden.
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


class Origin(typing.Protocol):
    """The origin of weights. Coroutines raise ``errors.PlatformError``."""

    def manifest(self, model, version):
        """Return a :class:`cicadaplank.weights.manifests.Manifest`.

        :param version: number, or 0 for the newest.
        """

    def piece(self, model, version, number):
        """Return the bytes of a piece."""


class AgentProcess:
    """Wires transfers, loading, the engine and the store.

    :param reactor: Twisted reactor with a steady clock.
    :param settings: :class:`Settings`.
    :param store: :class:`cicadaplank.gateway.sync.Store`.
    :param meaning: :class:`cicadaplank.gateway.process.Records`.
    :param members: :class:`cicadaplank.gateway.process.Members`.
    :param engine: :class:`cicadaplank.replicas.staging.Engine`.
    :param origin_at: callable that returns an :class:`Origin` for ``host:port``.
    :param reload: callable that reads the settings again, or raises ``ValueError``.
    """

    def __init__(
        self, reactor, settings, store, meaning, members, engine, origin_at, reload
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
        self.counts = collections.Counter()
        store = sync.MeteredStore(store, self.metrics.count)
        self.loading = loading.Loading(settings.host, settings.weights_s)
        self._meaning = meaning
        self._members = members
        self._engine = engine
        self._origin_at = origin_at
        self._origin = None
        self._origin_address = ""
        # The version that is loaded next, and the newest one that was named.
        self._present = None
        self._newest = None
        self._is_asking = False
        self._entries = []
        self._models = []
        self._configuration = -1
        self._list_version = -1
        self._zones = {}
        self._heard_s = float("-inf")
        self._dialled_s = float("-inf")
        self._engine_state = None
        self._is_checking = False
        self._checked_s = float("-inf")
        self._names = (settings.host,)
        self._timer = None
        self._me = machines.Instance(
            settings.host,
            "agent",
            settings.host,
            settings.peer_port,
            settings.region,
            settings.data_centre,
        )
        self.store = chunks.ChunkStore(CHUNK_MEMORY_BYTES)
        rate = LINK_SHARE * settings.link_bytes_per_s
        self.transfers = transfers.Transfers(
            self._me,
            self.store,
            transfers.Rates(rate, rate),
            # All regions take a part of the chunks from the origin, so that its only
            # copy is out early and the links of all machines share what follows.
            None,
            random.Random(),
            reactor.seconds(),
            PACE,
        )
        self.operator = sync.TableSync(
            reactor,
            store,
            meaning.operator_table,
            self._table_changed,
            self._log,
            self._hears_nobody,
        )
        self.listed = sync.TableSync(
            reactor,
            store,
            meaning.endpoint_table,
            self._table_changed,
            self._log,
            self._hears_nobody,
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
        self._handlers = {
            effects.Send: self._send,
            effects.FetchManifest: self._give_manifest,
            effects.FetchChunk: self._fetch_chunk,
            effects.CopyComplete: self._copy_complete,
            effects.MemoryTooSmall: self._memory_too_small,
            effects.PeerExcluded: self._peer_excluded,
        }

    @property
    def now_s(self):
        """Return the time of the steady clock in seconds."""
        return self.reactor.seconds()

    def _log(self, event, **fields):
        self.events.log(event, **fields)

    def start(self):
        """Open the ports and follow the store."""
        settings = self.settings
        pages = status.Pages(self.reactor, {"/metrics": self._metrics_page})
        self.reactor.listenTCP(settings.metrics_port, pages, 50, settings.host)
        self.hub.listen(settings.host, settings.peer_port)
        self.operator.start()
        self.listed.start()
        self._read_members()
        self._tick()
        self.watch.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._signalled)
        globalLogPublisher.addObserver(self._observe)
        self._log("started", peer_port=settings.peer_port)

    def _settings_changed(self, settings):
        self.settings = settings
        rate = LINK_SHARE * settings.link_bytes_per_s
        self.hub.pacer.bytes_per_s = rate
        self._carry_out(
            self.transfers.rates_changed(transfers.Rates(rate, rate), self.now_s)
        )
        self.loading.allowed_s = settings.weights_s

    def _signalled(self, number, frame):
        self.reactor.callFromThread(self.stop)

    def stop(self):
        """End at once: an engine keeps serving without its agent."""
        self._log("stopped")
        self.reactor.callLater(TICK_S, self.reactor.stop)

    def _observe(self, event):
        failure = event.get("log_failure")
        if failure is not None and event["log_level"] is LogLevel.critical:
            text = failure.getTraceback().strip().replace("\n", " | ")
            self.events.log("unexpected_error", "error", detail=text[-480:])

    def _metrics_page(self):
        metric = self.metrics
        metric.set_gauge("pieces_bytes", self.store.held_bytes)
        metric.set_gauge("notice_age_seconds", self.now_s - self._heard_s)
        target = self.loading.target
        metric.set_gauge("weights_wanted", target.version if target else 0)
        if target:
            age_s = self.now_s - target.named_s
            metric.set_gauge("weights_wanted_age_seconds", age_s)
        metric.set_gauge("peak_memory_bytes", metrics.peak_memory_bytes())
        state = self._engine_state
        served = max(state.versions.values(), default=0) if state else 0
        metric.set_gauge("weights_served", served)
        for name, count in (*self.counts.items(), *self.transfers.counts.items()):
            metric.set_gauge(f"transfers_{name}", count)
        body, _ = metric.render()
        return 200, "text/plain; version=0.0.4", body

    # What entry instances or the store say.

    def _hears_nobody(self):
        """Tell whether no entry instance was heard lately."""
        return self.now_s - self._heard_s > notices.SILENCE_S

    def _read_members(self):
        self.reactor.callLater(MEMBERS_S, self._read_members)
        reading = _started(self._members.instances())
        reading.addCallbacks(self._members_came, self._members_failed)

    def _members_came(self, found):
        entries = [instance for instance in found if instance.role == ENTRY]
        entries.sort(
            key=lambda instance: (
                instance.data_centre != self.settings.data_centre,
                rendezvous.weight(self.settings.host, instance.name),
            )
        )
        self._entries = entries

    def _members_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._log("members_unknown", reason=str(failure.value))

    def _dial_entries(self):
        """Keep connections to a few entry instances, near ones first."""
        live = 0
        for instance in self._entries:
            connection = self.hub.connection(instance.name)
            if connection is not None:
                live += 1
            elif live < ENTRY_CONNECTIONS:
                self.hub.dial(instance)
            if live >= ENTRY_CONNECTIONS:
                return

    def _table_changed(self, changed):
        """Use the store itself, as no entry instance was heard."""
        try:
            notice = notices.build(self._meaning, self.operator.copy, self.listed.copy)
        except ValueError as fault:
            self.events.log("configuration_rejected", "error", reason=str(fault))
            return
        if notice is not None and self._hears_nobody():
            self._take_notice(notice)

    def _take_notice(self, notice):
        if notice.configuration >= self._configuration:
            self._configuration = notice.configuration
            self._models = notice.models
            self._use_origin(notice.origin)
            self.loading.may_cut = notice.resumable.get(self.settings.service, False)
        if notice.listed >= self._list_version:
            self._list_version = notice.listed
            self._use_hosts(notice.hosts.get(self.settings.service, {}))
        for model, version in notice.named.items():
            self._want(model, version)
        if self._newest is None:
            self._check_engine()

    def _use_origin(self, address):
        if address and address != self._origin_address:
            self._origin_address = address
            self._origin = self._origin_at(address)
            self._log("origin_known", address=address)

    def _use_hosts(self, hosts):
        zones = {**hosts, self.settings.host: self.settings.data_centre}
        if zones == self._zones:
            return
        self._zones = zones
        self._names = tuple(sorted(zones))
        instances = [self._agent_at(host, zone) for host, zone in zones.items()]
        self._carry_out(self.transfers.instances_changed(instances, self.now_s))
        self._want_copies()

    def _want(self, model, version):
        newest = self._newest
        if newest is not None and version <= newest.target.version:
            return
        copy = _Copy(loading.Target(model, version, self.now_s))
        self._log("weights_wanted", model=model, version=version)
        present = self._present
        self._newest = copy
        if present is None or not loading.finishes_first(
            self.loading.phase, self._progress(present)
        ):
            self._turn_to_newest()
        else:
            self._log("older_weights_first", version=present.target.version)
        self._ask_manifest(copy)
        self._check_engine()

    def _progress(self, copy):
        if copy.manifest is None:
            return 0.0
        return self.transfers.progress(copy.manifest.digest)

    def _turn_to_newest(self):
        self._present = self._newest
        self.loading.wanted(self._present.target)
        self._want_copies()

    def _agent_at(self, host, data_centre):
        region = self.settings.regions.get(data_centre, "")
        return dataclasses.replace(
            self._me, name=host, host=host, region=region, data_centre=data_centre
        )

    # Copies.

    def _is_wanted(self, copy):
        return copy is not None and copy in (self._present, self._newest)

    def _ask_manifest(self, copy):
        if not self._is_wanted(copy) or copy.is_asking or copy.manifest is not None:
            return
        if self._origin is None:
            self.reactor.callLater(MANIFEST_RETRY_S, self._ask_manifest, copy)
            return
        copy.is_asking = True
        target = copy.target
        asked = _started(self._origin.manifest(target.model, target.version))
        asked.addCallbacks(
            self._manifest_came, self._manifest_failed, (copy,), None, (copy,)
        )

    def _manifest_came(self, manifest, copy):
        if not self._is_wanted(copy):
            copy.is_asking = False
            return
        copy.corrupt = 0
        target = copy.target
        self._log(
            "manifest_known",
            model=target.model,
            version=target.version,
            pieces=len(manifest.chunk_digests),
            digest=manifest.digest,
        )
        adopting = _started(self._adopt(target, manifest))
        adopting.addErrback(self._adoption_failed)
        adopting.addCallback(self._adopted, copy, manifest)

    def _adopted(self, ignored, copy, manifest):
        """Begin the copy; what lies at the engine is in the store before."""
        copy.is_asking = False
        copy.manifest = manifest
        self._want_copies()

    async def _adopt(self, target, manifest):
        """Take the pieces that lie at the engine, so that peers can have them."""
        if self.store.held_bytes or not self.store.reserve(manifest):
            return
        adopted = await staging.adopt(self._engine, target.model, manifest, self.store)
        self._log("pieces_adopted", version=target.version, pieces=adopted)

    def _adoption_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._log("adoption_failed", reason=str(failure.value))

    def _manifest_failed(self, failure, copy):
        failure.trap(errors.PlatformError)
        copy.is_asking = False
        self.counts["manifest_failures"] += 1
        self._log("manifest_failed", reason=str(failure.value))
        self.reactor.callLater(MANIFEST_RETRY_S, self._ask_manifest, copy)

    def _copies(self):
        """Return the copies that are wanted, the one that is loaded first in front."""
        found = [self._present]
        if self._newest is not self._present:
            found.append(self._newest)
        return [c for c in found if c is not None and c.manifest is not None]

    def _copy_of(self, manifest_digest):
        for copy in self._copies():
            if copy.manifest.digest == manifest_digest:
                return copy
        return None

    def _want_copies(self):
        wanted = [
            transfers.Wanted(
                copy.manifest.digest, copy.manifest.name, self._names, "time", position
            )
            for position, copy in enumerate(self._copies())
        ]
        if not wanted:
            return
        self._carry_out(self.transfers.rows_changed(tuple(wanted), self.now_s))
        # Every agent reads manifests from the origin: they are small, and asking peers
        # first would take a part of the time that is allowed.
        for copy in self._copies():
            known = self.transfers.manifest_fetched(
                copy.manifest.digest, copy.manifest.to_json(), self.now_s
            )
            self._carry_out(known)

    def _carry_out(self, actions):
        for action in actions:
            self._handlers[type(action)](action)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due_s = self.transfers.wake_s()
        if due_s is not None:
            delay_s = max(MIN_DELAY_S, due_s - self.now_s)
            self._timer = self.reactor.callLater(delay_s, self._transfers_tick)

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

    def _give_manifest(self, action):
        copy = self._copy_of(action.manifest_digest)
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
        asked = _started(self._origin.piece(target.model, target.version, number))
        asked_s = self.now_s
        asked.addCallbacks(
            lambda data: self._piece_came(copy, digest, data, asked_s),
            lambda failure: self._piece_failed(digest, failure),
        )

    def _piece_unwanted(self, digest):
        self._carry_out(self.transfers.origin_failed(digest, 0.0, self.now_s))

    def _piece_came(self, copy, digest, data, asked_s):
        self._log(
            "piece_fetched",
            version=copy.target.version,
            number=copy.manifest.chunk_digests.index(digest) if copy.manifest else -1,
            after_s=self.now_s - asked_s,
        )
        if manifests.chunk_digest(data) != digest:
            copy.corrupt += 1
            self._log("piece_corrupt", digest=digest, source="origin")
            if copy.corrupt >= CORRUPT_LIMIT:
                # The manifest may be what is wrong.
                copy.manifest = None
                self._ask_manifest(copy)
        self._carry_out(self.transfers.origin_replied(digest, data, self.now_s))

    def _piece_failed(self, digest, failure):
        failure.trap(errors.PlatformError)
        self.counts["origin_failures"] += 1
        self._log("piece_failed", digest=digest, reason=str(failure.value))
        self._carry_out(self.transfers.origin_failed(digest, 0.0, self.now_s))

    def _copy_complete(self, action):
        copy = self._copy_of(action.manifest_digest)
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
        _started(self._engine.state()).addCallbacks(
            self._state_came, self._state_failed
        )

    def _state_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._is_checking = False
        if self._engine_state is not None:
            self._log("engine_lost", reason=str(failure.value))
        self._engine_state = None

    def _state_came(self, state):
        self._is_checking = False
        known, self._engine_state = self._engine_state, state
        if known is None or known.started_ms != state.started_ms:
            self._log(
                "engine_found",
                versions=str(state.versions),
                orders=state.orders,
                started_ms=state.started_ms,
            )
            self.loading.restarted()
        elif known.versions != state.versions:
            self._log("engine_serves", versions=str(state.versions))
        if self._newest is None:
            self._find_newest()
        self._decide()

    def _find_newest(self):
        """Ask the origin which version is the newest; none was named here yet."""
        if self._origin is None or self._is_asking or not self._models:
            return
        models = self._models
        self._is_asking = True
        asked = _started(self._origin.manifest(models[0], 0))
        asked.addCallbacks(self._newest_came, self._newest_failed, (models[0],))

    def _newest_came(self, manifest, model):
        self._is_asking = False
        if self._newest is None:
            self._want(model, int(manifest.version))

    def _newest_failed(self, failure):
        failure.trap(errors.PlatformError)
        self._is_asking = False
        self._log("manifest_failed", reason=str(failure.value))

    def _decide(self):
        newest, present = self._newest, self._present
        if newest is not present and (
            newest.is_complete or self.loading.phase is loading.Phase.CURRENT
        ):
            self._turn_to_newest()
            present = newest
        action = self.loading.next(
            self._engine_state,
            present is not None and present.is_complete,
            self._names,
            self.now_s,
        )
        if isinstance(action, loading.Stage):
            _started(self._stage(action.target)).addErrback(self._failed)
        elif isinstance(action, loading.Order):
            self._order(action)

    def _failed(self, failure):
        self.events.log("unexpected_error", "error", detail=str(failure.value))
        self.loading.staged(self.loading.target, False)

    async def _stage(self, target):
        manifest = self._present.manifest
        try:
            count = await staging.stage(
                self._engine, target.model, manifest, self.store
            )
        except errors.PlatformError as fault:
            self._log("staging_failed", version=target.version, reason=str(fault))
            self.loading.staged(target, False)
            return
        self._log("staged", version=target.version, pieces=count)
        self.loading.staged(target, manifest is self._present.manifest)
        self._decide()

    def _order(self, action):
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
        sent = _started(self._engine.load(action))

        def answered(accepted):
            if not accepted:
                self._log("load_refused", version=target.version, cuts=action.cuts)
            self.loading.order_answered(accepted, self.now_s)

        def failed(failure):
            failure.trap(errors.PlatformError)
            self._log("load_failed", reason=str(failure.value))

        sent.addCallbacks(answered, failed)

    # Time and peers.

    def _tick(self):
        self.reactor.callLater(TICK_S, self._tick)
        if self.now_s - self._dialled_s >= DIAL_S:
            self._dialled_s = self.now_s
            self._drop_silent_entries()
            self._dial_entries()
        settled = self.loading.phase is loading.Phase.CURRENT
        period_s = IDLE_CHECK_S if settled else BUSY_CHECK_S
        if self.now_s - self._checked_s >= period_s:
            self._check_engine()

    def _drop_silent_entries(self):
        """Close connections over which no notice comes any more."""
        if not self._hears_nobody():
            return
        for instance in self._entries:
            connection = self.hub.connection(instance.name)
            if connection is not None:
                connection.transport.abortConnection()

    def message_received(self, connection, envelope):
        """Take a message of a peer."""
        if connection.hello.role == ENTRY:
            self._heard_s = self.now_s
            if isinstance(envelope.message, types.WeightsNotice):
                self._take_notice(envelope.message)
            return
        self._carry_out(
            self.transfers.message_received(
                connection.peer, envelope.message, self.now_s
            )
        )

    def connection_lost(self, connection):
        """Take the end of a peer's connection."""
        if self.hub.connection(connection.peer) is None:
            self._carry_out(self.transfers.peer_lost(connection.peer, self.now_s))


def _started(coroutine):
    """Start a coroutine and return the Deferred of its result."""
    return defer.ensureDeferred(coroutine)


class _Copy:
    """Copy of one version.

    :param target: :class:`cicadaplank.replicas.loading.Target`.
    :ivar corrupt: corrupt pieces that the origin sent for the present manifest.
    """

    def __init__(self, target):
        self.target = target
        self.manifest = None
        self.is_asking = False
        self.is_complete = False
        self.corrupt = 0
