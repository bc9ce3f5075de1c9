"""Task that copies weights from peers and the origin and has the engine load them."""

import collections
import json

from twisted.internet import defer

from cicadaplank.external import engines, errors
from cicadaplank.weights import activation, chunks, effects, transfers

MANIFEST_PREFIX = "manifests/"
# Chunks that are staged at the engine concurrently before a load command.
MAX_CONCURRENT_STAGES = 4
# Even a timer that is due now waits this long, so that the event loop can serve
# requests in between.
MIN_TIMER_DELAY_S = 0.002
# Weight of a new sample in the exponential moving averages of the request latency.
LATENCY_WEIGHT = 0.1
# Requests between two comparisons of latencies. With fewer samples, random variation
# would slow the transfers down.
LATENCY_SAMPLE_REQUESTS = 50


class Weights:
    """Task that owns the chunk store of one agent and the commands to its engine.

    :param daemon: :class:`cicadaplank.agent.process.AgentDaemon`.
    :param engine: :class:`cicadaplank.external.engines.Engine`.
    :param objects: :class:`cicadaplank.external.objects.ObjectStore`.
    :param origin: :class:`cicadaplank.external.origins.Origin`.
    """

    def __init__(self, daemon, engine, objects, origin):
        settings = daemon.settings
        self._daemon = daemon
        self._engine = engine
        self._objects = objects
        self._origin = origin
        self.store = chunks.ChunkStore(settings.endpoint.memory_bytes)
        transfer_share = 1 - settings.link.requests_share
        rates = transfers.LinkRates(
            settings.link.bytes_per_s * transfer_share,
            settings.link.region_bytes_per_s * transfer_share,
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
        self._complete_digests = set()
        self._fencing_token = None
        self._timer = None
        self._base_latency_s = None
        self._copying_latency_s = None
        self._copying_requests = 0

    def handlers(self):
        """Return a dict from action class to the method that carries it out."""
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

    # Versions that the engine serves.

    def serving(self, row):
        """Return the manifest digest that the engine serves for a row, or empty."""
        machine = self._activations.get(row)
        return machine.serving if machine else ""

    def serving_rows(self):
        """Return a dict from row name to the manifest digest that the engine serves."""
        served = {row: each.serving for row, each in self._activations.items()}
        return {row: digest for row, digest in served.items() if digest}

    def work_started(self, row, digest):
        """Count the start of work on a version."""
        if row in self._activations:
            self._activations[row].work_started(digest)

    def work_ended(self, row, digest):
        """Count the end of work on a version."""
        if row in self._activations:
            self._carry_out(self._activations[row].work_ended(digest))

    def record_latency(self, elapsed_s):
        """Record the latency of a request, and report the slow-down during transfers.

        Every ``LATENCY_SAMPLE_REQUESTS`` requests during a copy, the ratio of the
        latency to that without a copy is passed to the transfers, which set their rate
        by it.

        :param elapsed_s: seconds from the request to the start of the response.
        """
        if not self._is_copying():
            self._base_latency_s = _average(self._base_latency_s, elapsed_s)
            self._copying_latency_s, self._copying_requests = None, 0
            return
        self._copying_latency_s = _average(self._copying_latency_s, elapsed_s)
        self._copying_requests += 1
        if (
            self._base_latency_s
            and self._copying_requests % LATENCY_SAMPLE_REQUESTS == 0
        ):
            ratio = self._copying_latency_s / self._base_latency_s
            self._carry_out(self.transfers.request_latency(ratio, self._daemon.now_s))

    def _is_copying(self):
        wanted = {each.wanted for each in self._activations.values() if each.wanted}
        return not wanted <= self._complete_digests

    # Table, members and peers.

    def configuration_changed(self, configuration):
        """Copy and load the versions that the table assigns to this instance.

        :param configuration: table configuration that is in force.
        """
        now_s = self._daemon.now_s
        table = configuration.table
        wanted_by_row = {}
        for row in table.rows:
            holders = table.holders(row.name)
            if row.kind != "service" and self._daemon.name in holders:
                wanted_by_row[row.name] = transfers.WantedVersion(
                    row.manifest_digest,
                    row.name,
                    tuple(holders),
                    row.prefer,
                    row.priority,
                )
        digests = {wanted.manifest_digest for wanted in wanted_by_row.values()}
        self._complete_digests &= digests
        self._carry_out(
            self.transfers.rows_changed(tuple(wanted_by_row.values()), now_s)
        )
        for name in set(self._activations) | set(wanted_by_row):
            machine = self._activations.get(name)
            if machine is None:
                machine = self._activations[name] = activation.Activation(name)
                machine.lease_changed(self._fencing_token, now_s)
            digest = (
                wanted_by_row[name].manifest_digest if name in wanted_by_row else ""
            )
            self._carry_out(
                machine.version_wanted(digest, self._may_load(name, digest), now_s)
            )

    def _may_load(self, name, digest):
        """Tell whether all chunks of a version are held and its base row is served."""
        if digest not in self._complete_digests:
            return False
        row = self._daemon.configuration.table.row(name)
        return row is None or not row.base or bool(self.serving(row.base))

    def members_changed(self, instances):
        """Set the instances that may be sources of chunks."""
        self._carry_out(self.transfers.instances_changed(instances, self._daemon.now_s))

    def message(self, peer, message):
        """Handle a message of another agent."""
        self._carry_out(
            self.transfers.message_received(peer, message, self._daemon.now_s)
        )

    def peer_lost(self, peer):
        """Handle the loss of the connection to another agent."""
        self._carry_out(self.transfers.peer_lost(peer, self._daemon.now_s))

    def lease_changed(self, token):
        """Set the fencing token of the lease on the engine, None when it is lost."""
        self._fencing_token = token
        for machine in self._activations.values():
            self._carry_out(machine.lease_changed(token, self._daemon.now_s))

    def tick(self):
        """Advance the activations; called every ``base.TICK_S``."""
        now_s = self._daemon.now_s
        for machine in self._activations.values():
            self._carry_out(machine.tick(now_s))

    def _tick_transfers(self):
        self._carry_out(self.transfers.tick(self._daemon.now_s))

    def _carry_out(self, actions):
        self._daemon.carry_out(actions)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due_s = self.transfers.wake_s()
        if due_s is not None:
            delay_s = max(MIN_TIMER_DELAY_S, due_s - self._daemon.now_s)
            self._timer = self._daemon.reactor.callLater(delay_s, self._tick_transfers)

    # Transfers.

    def _send(self, action):
        connection = self._daemon.hub.connection(action.peer)
        if connection is not None:
            connection.send(
                action.message, effects.after_sending(action, self._chunk_sent)
            )
            return
        instance = self._daemon.peers.get(action.peer)
        if instance is None:
            self._daemon.reactor.callLater(0, self.peer_lost, action.peer)
            return
        dialled = self._daemon.hub.dial(instance)
        dialled.addCallback(self._send_after_dial, action)
        dialled.addErrback(self._daemon.report_failure)

    def _send_after_dial(self, connection, action):
        if connection is not None:
            connection.send(
                action.message, effects.after_sending(action, self._chunk_sent)
            )
        else:
            self._daemon.reactor.callLater(0, self.peer_lost, action.peer)

    def _chunk_sent(self, peer, transfer):
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
        self._complete_digests.add(digest)
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
        for start in range(0, len(parts), MAX_CONCURRENT_STAGES):
            staged = [
                self._engine.stage(manifest.digest, index, data)
                for index, data in parts[start : start + MAX_CONCURRENT_STAGES]
            ]
            await defer.gatherResults(staged, consumeErrors=True).addErrback(
                _first_error
            )

    def _command_failed(self, machine, token, error):
        self.counts["commands_failed"] += 1
        self._daemon.events.log("command_failed", row=machine.row, reason=str(error))
        if isinstance(error, errors.Refused) and "token" in error.reason:
            self._daemon.token_refused(_highest_token(error.reason))
        self._carry_out(machine.command_failed(token, self._daemon.now_s))

    def _send_unload(self, action):
        # A load replaces the version that the engine held for the row, so an old
        # version needs an unload command only when the row is no longer wanted.
        if self._activations[action.row].wanted:
            return
        unloading = self._engine.unload(action.row, action.fencing_token)
        unloading.addErrback(lambda failure: failure.trap(errors.PlatformError))

    def check_engine(self):
        """Read the engine's state and pass it to the activation of each row."""
        reading = self._engine.state()
        reading.addCallbacks(self._engine_state_read, self._engine_state_failed)
        reading.addErrback(self._daemon.report_failure)

    def _engine_state_read(self, state):
        now_s = self._daemon.now_s
        for row, machine in self._activations.items():
            model = state.model(row)
            digest = model.manifest_digest if model else ""
            self._carry_out(machine.engine_reported(digest, False, now_s))

    def _engine_state_failed(self, failure):
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
        """Return the copy and load progress of each row.

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
        """Return the ``weights`` part of ``/status``."""
        return {
            "rows": self.progress(),
            "held_bytes": self.store.held_bytes,
            "origin_bytes": self.counts["origin_bytes"],
            "counts": {**self.counts, **self.transfers.counts},
        }


def _average(old, new):
    return new if old is None else old + LATENCY_WEIGHT * (new - old)


def _first_error(failure):
    failure.trap(defer.FirstError)
    return failure.value.subFailure


def _highest_token(reason):
    """Return the highest fencing token in the text of a refusal, 0 when missing."""
    try:
        return int(json.loads(reason.partition(": ")[2]).get("highest", 0))
    except (ValueError, AttributeError):
        return 0
