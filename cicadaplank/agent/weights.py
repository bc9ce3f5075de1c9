"""Weights of an agent: copies from peers and the origin, and load commands."""

import collections
import json

from twisted.internet import defer

from cicadaplank.external import engines, errors
from cicadaplank.weights import activation, chunks, effects, transfers

MANIFEST_PREFIX = "manifests/"
# Chunks handed to the engine at the same time before a load command.
STAGED_AT_ONCE = 4
# A timer that is due now still leaves the event loop a turn for requests.
MIN_DELAY_S = 0.002
# Weight of a new observation in the average latency of requests.
LATENCY_WEIGHT = 0.1
# Requests between two comparisons; fewer slow the transfers down by chance.
LATENCY_SAMPLE = 50


class Weights:
    """Task that owns the chunk store of one agent and the commands to its engine.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param engine: :class:`cicadaplank.external.engines.Engines`.
    :param objects: :class:`cicadaplank.external.objects.Objects`.
    :param origin: :class:`cicadaplank.external.origins.Origins`.
    """

    def __init__(self, daemon, engine, objects, origin):
        settings = daemon.settings
        self._daemon = daemon
        self._engine = engine
        self._objects = objects
        self._origin = origin
        self.store = chunks.ChunkStore(settings.endpoint.memory_bytes)
        share = 1 - settings.link.requests_share
        rates = transfers.Rates(
            settings.link.bytes_per_s * share, settings.link.region_bytes_per_s * share
        )
        self.transfers = transfers.Transfers(
            daemon.instance,
            self.store,
            rates,
            settings.platform.origin_region,
            daemon.rng,
            daemon.now_s,
        )
        self.counts = collections.Counter()
        self._activations = {}
        self._complete = set()
        self._token = None
        self._timer = None
        self._latency_s = None
        self._busy_latency_s = None
        self._busy_answers = 0

    def handlers(self):
        """Return the handlers of the actions of this task's decision objects."""
        return {
            effects.Send: self._send,
            effects.FetchManifest: self._fetch_manifest,
            effects.FetchChunk: self._fetch_chunk,
            effects.CopyComplete: self._copy_complete,
            effects.MemoryTooSmall: self._memory_too_small,
            effects.PeerExcluded: self._peer_excluded,
            activation.SendLoad: self._send_load,
            activation.ReadEngine: lambda action: self.check_engine(),
            activation.SendUnload: self._send_unload,
            activation.ReadinessChanged: self._readiness_changed,
        }

    # What the endpoint serves.

    def serving(self, row):
        """Return the manifest digest that the engine serves for a row, or empty."""
        machine = self._activations.get(row)
        return machine.serving if machine else ""

    def serving_rows(self):
        """Return a dict from row name to the manifest digest that is served."""
        served = {row: each.serving for row, each in self._activations.items()}
        return {row: digest for row, digest in served.items() if digest}

    def work_started(self, row, digest):
        """Count work on a version."""
        if row in self._activations:
            self._activations[row].work_started(digest)

    def work_ended(self, row, digest):
        """Count the end of work on a version."""
        if row in self._activations:
            self._carry_out(self._activations[row].work_ended(digest))

    def answer_started(self, elapsed_s):
        """Compare the latency of requests with that without transfers.

        :param elapsed_s: seconds from the request to the start of the answer.
        """
        if not self._is_copying():
            self._latency_s = _average(self._latency_s, elapsed_s)
            self._busy_latency_s, self._busy_answers = None, 0
            return
        self._busy_latency_s = _average(self._busy_latency_s, elapsed_s)
        self._busy_answers += 1
        if self._latency_s and self._busy_answers % LATENCY_SAMPLE == 0:
            ratio = self._busy_latency_s / self._latency_s
            self._carry_out(self.transfers.request_latency(ratio, self._daemon.now_s))

    def _is_copying(self):
        wanted = {each.wanted for each in self._activations.values() if each.wanted}
        return not wanted <= self._complete

    # Table, members and peers.

    def configuration_changed(self, configuration):
        """Want the versions that the table names for this instance."""
        now_s = self._daemon.now_s
        table = configuration.table
        mine = {}
        for row in table.rows:
            holders = table.holders(row.name)
            if row.kind != "service" and self._daemon.name in holders:
                mine[row.name] = transfers.Wanted(
                    row.manifest_digest,
                    row.name,
                    tuple(holders),
                    row.prefer,
                    row.priority,
                )
        digests = {wanted.manifest_digest for wanted in mine.values()}
        self._complete &= digests
        self._carry_out(self.transfers.rows_changed(tuple(mine.values()), now_s))
        for name in set(self._activations) | set(mine):
            machine = self._activations.get(name)
            if machine is None:
                machine = self._activations[name] = activation.Activation(name)
                machine.lease_changed(self._token, now_s)
            digest = mine[name].manifest_digest if name in mine else ""
            self._carry_out(
                machine.version_wanted(digest, self._may_load(name, digest), now_s)
            )

    def _may_load(self, name, digest):
        """Tell whether the chunks of a version are complete and its base is served."""
        if digest not in self._complete:
            return False
        row = self._daemon.configuration.table.row(name)
        return row is None or not row.base or bool(self.serving(row.base))

    def members_changed(self, instances):
        """Take the instances that may be sources."""
        self._carry_out(self.transfers.instances_changed(instances, self._daemon.now_s))

    def message(self, peer, message):
        """Take a message of another agent."""
        self._carry_out(
            self.transfers.message_received(peer, message, self._daemon.now_s)
        )

    def peer_lost(self, peer):
        """Take the loss of the connection to another agent."""
        self._carry_out(self.transfers.peer_lost(peer, self._daemon.now_s))

    def lease_changed(self, token):
        """Take a new fencing token, or None when the lease is lost."""
        self._token = token
        for machine in self._activations.values():
            self._carry_out(machine.lease_changed(token, self._daemon.now_s))

    def tick(self):
        """Let time pass; called every ``base.TICK_S``."""
        now_s = self._daemon.now_s
        for machine in self._activations.values():
            self._carry_out(machine.tick(now_s))

    def _transfers_tick(self):
        self._carry_out(self.transfers.tick(self._daemon.now_s))

    def _carry_out(self, taken):
        self._daemon.carry_out(taken)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due_s = self.transfers.wake_s()
        if due_s is not None:
            delay_s = max(MIN_DELAY_S, due_s - self._daemon.now_s)
            self._timer = self._daemon.reactor.callLater(delay_s, self._transfers_tick)

    # Transfers.

    def _send(self, action):
        connection = self._daemon.hub.connection(action.peer)
        if connection is not None:
            connection.send(
                action.message, effects.after_sending(action, self._chunk_left)
            )
            return
        instance = self._daemon.peers.get(action.peer)
        if instance is None:
            self._daemon.reactor.callLater(0, self.peer_lost, action.peer)
            return
        dialled = self._daemon.hub.dial(instance)
        dialled.addCallback(self._send_on, action)
        dialled.addErrback(self._daemon.report_failure)

    def _send_on(self, connection, action):
        if connection is not None:
            connection.send(
                action.message, effects.after_sending(action, self._chunk_left)
            )
        else:
            self._daemon.reactor.callLater(0, self.peer_lost, action.peer)

    def _chunk_left(self, peer, transfer):
        self._carry_out(self.transfers.chunk_left(peer, transfer, self._daemon.now_s))

    def _fetch_manifest(self, action):
        digest = action.manifest_digest
        fetched = self._objects.get(MANIFEST_PREFIX + digest)

        def failed(failure):
            failure.trap(errors.PlatformError)
            wait_s = getattr(failure.value, "retry_after_s", 0.0)
            now_s = self._daemon.now_s
            self._carry_out(self.transfers.manifest_failed(digest, wait_s, now_s))

        def arrived(data):
            text, now_s = data.decode("utf-8", "replace"), self._daemon.now_s
            self._carry_out(self.transfers.manifest_fetched(digest, text, now_s))

        fetched.addCallbacks(arrived, failed).addErrback(self._daemon.report_failure)

    def _fetch_chunk(self, action):
        digest = action.chunk_digest
        fetched = self._origin.get_chunk(digest)

        def failed(failure):
            failure.trap(errors.PlatformError)
            wait_s = getattr(failure.value, "retry_after_s", 0.0)
            self.counts["origin_failures"] += 1
            now_s = self._daemon.now_s
            self._carry_out(self.transfers.origin_failed(digest, wait_s, now_s))

        def arrived(data):
            self.counts["origin_bytes"] += len(data)
            now_s = self._daemon.now_s
            self._carry_out(self.transfers.origin_replied(digest, data, now_s))

        fetched.addCallbacks(arrived, failed).addErrback(self._daemon.report_failure)

    def _copy_complete(self, action):
        digest, now_s = action.manifest_digest, self._daemon.now_s
        self._complete.add(digest)
        self._daemon.events.log("copy_complete", row=action.row, manifest_digest=digest)
        for row, machine in self._activations.items():
            if machine.wanted == digest and self._may_load(row, digest):
                self._carry_out(machine.chunks_complete(digest, now_s))

    def _memory_too_small(self, action):
        detail = (
            f"row {action.row} needs {action.missing_bytes} bytes more memory for "
            "weights on this instance; give the row fewer holders or free a version"
        )
        self._daemon.alert("memory_too_small", detail)

    def _peer_excluded(self, action):
        detail = (
            f"{action.peer} sent {action.corrupt} corrupt chunks and is asked for "
            "nothing more; replace that instance"
        )
        self._daemon.alert("corrupt_peer", detail)

    # Commands to the engine.

    def _send_load(self, action):
        loading = defer.Deferred.fromCoroutine(self._load(action))
        loading.addErrback(self._daemon.report_failure)

    async def _load(self, action):
        row = self._daemon.configuration.table.row(action.row)
        manifest = self.store.manifests.get(action.manifest_digest)
        machine, token = self._activations[action.row], action.fencing_token
        if row is None or manifest is None:
            self._carry_out(machine.command_failed(token, self._daemon.now_s))
            return
        command = engines.LoadCommand(
            row.name,
            row.kind,
            row.version,
            row.base,
            manifest.digest,
            len(manifest.chunk_digests),
            token,
        )
        self._daemon.events.log(
            "load_command", row=row.name, manifest_digest=manifest.digest, token=token
        )
        try:
            await self._stage(manifest)
            await self._engine.load(command)
        except (errors.PlatformError, ValueError) as error:
            self._command_failed(machine, token, error)
            return
        self._carry_out(machine.command_accepted(token, self._daemon.now_s))

    async def _stage(self, manifest):
        parts = list(enumerate(self.store.read(manifest)))
        for start in range(0, len(parts), STAGED_AT_ONCE):
            staged = [
                self._engine.stage(manifest.digest, index, data)
                for index, data in parts[start : start + STAGED_AT_ONCE]
            ]
            await defer.gatherResults(staged, consumeErrors=True).addErrback(_first)

    def _command_failed(self, machine, token, error):
        self.counts["commands_failed"] += 1
        self._daemon.events.log("command_failed", row=machine.row, reason=str(error))
        if isinstance(error, errors.Refused) and "token" in error.reason:
            self._daemon.token_refused(_highest_token(error.reason))
        self._carry_out(machine.command_failed(token, self._daemon.now_s))

    def _send_unload(self, action):
        # Loading a version replaces the one that the engine held for the row, so an
        # old version is only unloaded when the row is no longer wanted.
        if self._activations[action.row].wanted:
            return
        unloading = self._engine.unload(action.row, action.fencing_token)
        unloading.addErrback(lambda failure: failure.trap(errors.PlatformError))

    def check_engine(self):
        """Read the engine's state and compare it with what it should serve."""
        reading = self._engine.state()
        reading.addCallbacks(self._engine_read, self._engine_unreadable)
        reading.addErrback(self._daemon.report_failure)

    def _engine_read(self, state):
        now_s = self._daemon.now_s
        for row, machine in self._activations.items():
            model = state.model(row)
            digest = model.manifest_digest if model else ""
            self._carry_out(machine.engine_reported(digest, False, now_s))

    def _engine_unreadable(self, failure):
        failure.trap(errors.PlatformError)
        now_s = self._daemon.now_s
        self._daemon.events.log("engine_unreadable", reason=failure.getErrorMessage())
        for machine in self._activations.values():
            self._carry_out(machine.engine_crashed(now_s))

    def _readiness_changed(self, action):
        self._daemon.events.log(
            "readiness", row=action.row, manifest_digest=action.manifest_digest or "-"
        )
        for row, machine in self._activations.items():
            if machine.wanted and self._may_load(row, machine.wanted):
                now_s = self._daemon.now_s
                self._carry_out(machine.chunks_complete(machine.wanted, now_s))
        self._daemon.readiness_changed()

    def progress(self):
        """Return the progress of each row.

        :returns: dict from row name to a dict with ``state``, ``wanted``, ``serving``
            (manifest digests), ``chunks`` and ``chunks_held``.
        """
        rows = {}
        for row, machine in self._activations.items():
            manifest = self.store.manifests.get(machine.wanted)
            total = len(manifest.chunk_digests) if manifest else 0
            held = sum(map(self.store.has, manifest.chunk_digests)) if manifest else 0
            rows[row] = {
                "state": machine.state,
                "wanted": machine.wanted,
                "serving": machine.serving,
                "chunks": total,
                "chunks_held": held,
            }
        return rows

    def status(self):
        """Return what ``/status`` shows about weights."""
        return {
            "rows": self.progress(),
            "held_bytes": self.store.held_bytes,
            "origin_bytes": self.counts["origin_bytes"],
            "counts": {**self.counts, **self.transfers.counts},
        }


def _average(old, new):
    return new if old is None else old + LATENCY_WEIGHT * (new - old)


def _first(failure):
    failure.trap(defer.FirstError)
    return failure.value.subFailure


def _highest_token(reason):
    """Return the highest token that a refusal names, 0 when it names none."""
    try:
        return int(json.loads(reason.partition(": ")[2]).get("highest", 0))
    except (ValueError, AttributeError):
        return 0
