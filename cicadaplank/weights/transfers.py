"""Scheduling of chunk transfers: what to request from which source, what to upload.

:class:`Transfers` performs no I/O. The I/O layer of the process calls one event method
for each event and carries out the returned actions of
:mod:`cicadaplank.weights.effects` in order. After each call it schedules
:meth:`Transfers.tick` at the time that :meth:`Transfers.wake_s` returns.
"""

import collections
import dataclasses
import statistics

from returns import result

from cicadaplank.messages import types
from cicadaplank.weights import (
    chunks,
    copies,
    effects,
    manifests,
    receive_window,
    sources,
    uploads,
    versions,
)

# Limits on the chunk requests in flight: in total, per peer and at the origin.
MAX_IN_FLIGHT = 12
MAX_PER_SOURCE = 2
MAX_ORIGIN_IN_FLIGHT = 2
# Limit on the chunks in flight to one instance from other regions. More chunks would
# only queue on the link between the regions.
MAX_REMOTE_IN_FLIGHT = 1
MAX_SUBSCRIBERS = 64
MAX_MANIFEST_WAITERS = 64
MAX_WANTED = 64
# Minimum interval between two chunk maps of a version, in seconds and in transmission
# times of a chunk; the longer one applies. It keeps the number of messages from
# growing with the transfer rate.
ANNOUNCE_INTERVAL_S = 0.05
ANNOUNCE_CHUNKS = 1
# A peer that has sent no chunk map for PROBE_INTERVAL_S is asked for one. A peer that
# has not responded for PEER_TIMEOUT_S counts as silent and is replaced.
PROBE_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 2.0
REVIEW_INTERVAL_S = 0.25
# Minimum time-out of a request, as a multiple of the time that a full upload queue at
# its source takes.
QUEUE_TIMEOUT_FACTOR = 1.25
# Mean delay before a source that refused a request as busy is asked again: the larger
# of BUSY_RETRY_S and the transmission time of BUSY_CHUNKS chunks.
BUSY_RETRY_S = 0.05
BUSY_CHUNKS = 4
# A neighbour whose mean request duration exceeds this multiple of the median over the
# neighbours is replaced. Only neighbours with SLOW_SAMPLES answers are compared.
SLOW_FACTOR = 4.0
SLOW_SAMPLES = 3
SLOW_SOURCE_PAUSE_S = 10.0
# Time without progress, by the ``prefer`` value of the row, after which the next
# candidate fetches a chunk again from the origin or across a link between regions.
STALL_TIMEOUT_S = {"time": 2.0, "origin_bytes": 8.0}
# Minimum delay before a manifest is requested again or from another source; a random
# factor of 1 to 2 spreads the requests of the instances.
MANIFEST_RETRY_S = 2.0
ORIGIN_BACK_OFF_S = 0.5
MAX_ORIGIN_BACK_OFF_S = 30.0
ORIGIN_TIMEOUT_S = 60.0
# Time that other data centres have to answer before a failed origin is tried again.
RECHECK_S = 0.25
# Transfers are throttled when the latency of live requests exceeds this multiple of
# their latency without transfers.
LATENCY_LIMIT = 1.15
MIN_RATE_SHARE = 0.1


@dataclasses.dataclass(frozen=True)
class WantedVersion:
    """A version that this instance should hold.

    :param manifest_digest: digest of its manifest, as the accepted row states it.
    :param row: name of the row that requires the version.
    :param holders: names of all instances that should hold it, this one included.
    :param prefer: what to minimise, ``time`` (of distribution) or ``origin_bytes``
        (read from the origin).
    :param priority: 0 is most urgent.
    """

    manifest_digest: str
    row: str
    holders: tuple
    prefer: str = "time"
    priority: int = 5


@dataclasses.dataclass(frozen=True)
class LinkRates:
    """Rates at which transfers may use the links.

    :param machine_bytes_per_s: rate on this machine's link, in each direction.
    :param region_bytes_per_s: rate on the links between regions.
    """

    machine_bytes_per_s: float
    region_bytes_per_s: float


@dataclasses.dataclass(frozen=True)
class TransferLimits:
    """Limits on concurrent transfers, and the time-outs before fetching elsewhere.

    :param max_in_flight: limit on the chunk requests in flight. Live requests to this
        machine wait behind the chunks that are on its link.
    :param max_origin_in_flight: limit on the chunk requests to the origin in flight.
    :param max_remote_in_flight: limit on the chunk requests to other regions in flight.
    :param max_queued: length of the upload queue, in chunks. When it is full, further
        requests are refused, and the requesters turn to sources that are idle.
    :param stall_timeout_s: dict from ``prefer`` to the time without progress after
        which the next candidate takes over a chunk.
    :param max_origin_back_off_s: longest delay before a failing origin is tried again.
    :param receive_queue_s: time for which the requested chunks may occupy this
        machine's link, or None for no limit.
    :param origin_spread_s: time over which the first requests of all instances to the
        origin are spread, in the order of the chunks. It should be short against the
        time that the origin takes to send the whole version.
    """

    max_in_flight: int = MAX_IN_FLIGHT
    max_origin_in_flight: int = MAX_ORIGIN_IN_FLIGHT
    max_remote_in_flight: int = MAX_REMOTE_IN_FLIGHT
    max_queued: int = uploads.MAX_QUEUED
    stall_timeout_s: dict = dataclasses.field(default_factory=lambda: STALL_TIMEOUT_S)
    max_origin_back_off_s: float = MAX_ORIGIN_BACK_OFF_S
    receive_queue_s: float | None = None
    origin_spread_s: float = 0.0


@dataclasses.dataclass
class _Request:
    """A chunk request in flight; ``peer`` is empty for a request to the origin."""

    chunk_digest: str
    peer: str
    sent_s: float
    deadline_s: float
    remote: bool


class Transfers:
    """Distribution of weights on one instance, without I/O.

    Each event method returns a tuple of actions of :mod:`cicadaplank.weights.effects`,
    which the caller carries out in order.

    :param local_instance: this instance, a
        :class:`cicadaplank.world.machines.Instance`.
    :param store: :class:`cicadaplank.weights.chunks.ChunkStore`.
    :param rates: :class:`LinkRates`.
    :param origin_region: region whose instances fetch chunks from the origin, or None
        to divide the chunks over all regions.
    :param rng: :class:`random.Random`.
    :param now_s: current time in seconds.
    :param limits: :class:`TransferLimits`, or None for its defaults.
    """

    def __init__(
        self,
        local_instance,
        store,
        rates,
        origin_region,
        rng,
        now_s,
        limits=None,
    ):
        self._limits = limits or TransferLimits()
        self.local_instance = local_instance
        self.store = store
        self.rates = rates
        self.origin_region = origin_region
        self.counts = collections.Counter()
        self._rng = rng
        self._instances = {local_instance.name: local_instance}
        self._versions = {}
        self._sources = {}
        self._requests = {}
        self._next_transfer = 1
        self._uploads = uploads.UploadQueue(
            rates.machine_bytes_per_s,
            rates.region_bytes_per_s,
            now_s,
            self._limits.max_queued,
        )
        self._origin_retry_s = now_s
        self._origin_failures = 0
        # A version that has last asked other data centres for their chunk maps before
        # this time asks them again before it requests from the origin.
        self._recheck_s = float("-inf")
        self._rate_share = 1.0
        # Durations of chunk requests over all sources; the key is True for requests
        # to other regions.
        self._estimates = {False: sources.Estimate(), True: sources.Estimate()}
        self._ticked_s = now_s
        self._expire_s = float("inf")
        self._receive_window = receive_window.ReceiveWindow(
            self._limits.max_in_flight, self._limits.receive_queue_s
        )

    # Events of the accepted table, the list of instances, peers and link rates.

    def rows_changed(self, wanted, now_s):
        """Handle a change of the versions that this instance should hold.

        Versions that are not in ``wanted`` are given up; their chunks stay in the store
        until their memory is needed. Versions beyond ``MAX_WANTED`` are rejected, the
        least urgent first.

        :param wanted: tuple of :class:`WantedVersion` from the accepted table. The old
            and the new version of a row may both be in it while requests run on the old
            one.
        :param now_s: current time in seconds.
        """
        wanted = sorted(wanted, key=lambda w: (w.priority, w.row))
        self.counts["rejected_versions"] += len(wanted[MAX_WANTED:])
        merged = _merge_by_digest(wanted[:MAX_WANTED])
        for digest in [d for d in self._versions if d not in merged]:
            del self._versions[digest]
            self.store.release(digest)
        self._drop_unwanted_requests()
        actions = []
        for digest, (entry, rows) in merged.items():
            if digest not in self._versions:
                self._versions[digest] = versions.Version(
                    entry, self.local_instance, self.origin_region, now_s
                )
            version = self._versions[digest]
            version.wanted, version.rows = entry, rows
            version.reported &= set(rows)
            self._update_placement(version)
            if version.copy:
                actions += self._report_if_complete(version)
            elif version.manifest:
                actions += self._start_copy(version, now_s)
        return tuple(actions) + self.tick(now_s)

    def _drop_unwanted_requests(self):
        for transfer, request in list(self._requests.items()):
            if not any(self._versions_with_chunk(request.chunk_digest)):
                self._remove_request(transfer)

    def _versions_with_chunk(self, digest):
        """Iterate over the copied versions that contain a chunk.

        Yields pairs of the version and the bit mask of the chunk's positions in it.
        """
        for version in self._versions.values():
            mask = version.copy.mask(digest) if version.copy else 0
            if mask:
                yield version, mask

    def instances_changed(self, instances, now_s):
        """Handle a change of the list of instances.

        :param instances: iterable of :class:`cicadaplank.world.machines.Instance`
            without those that have left.
        :param now_s: current time in seconds.
        """
        self._instances = {instance.name: instance for instance in instances}
        self._instances[self.local_instance.name] = self.local_instance
        for name in [n for n in self._sources if n not in self._instances]:
            self._reset_peer(name, now_s)
            self._sources.pop(name, None)
        for version in self._versions.values():
            self._update_placement(version)
        return self.tick(now_s)

    def _update_placement(self, version):
        version.update_placement(self._instances)
        version.choose_neighbours(self._instances, self._is_usable, self._rng)

    def _is_usable(self, name):
        source = self._sources.get(name)
        if source is None:
            return True
        paused = source.busy_until_s > self._ticked_s + BUSY_RETRY_S
        silent = source.is_silent(self._ticked_s, PEER_TIMEOUT_S)
        return not (source.excluded or paused or silent)

    def peer_lost(self, peer, now_s):
        """Handle a stream to a peer that broke or could not be opened.

        :param peer: instance name.
        :param now_s: current time in seconds.
        """
        self._reset_peer(peer, now_s)
        return self.tick(now_s)

    def _reset_peer(self, peer, now_s):
        self._uploads.drop_peer(peer)
        for version in self._versions.values():
            version.peer_lost(peer)
        for transfer, request in list(self._requests.items()):
            if request.peer == peer:
                self._remove_request(transfer)
        source = self._source(peer)
        if source is not None:
            source.expect_response(now_s)

    def _is_local(self, peer):
        instance = self._instances.get(peer) or self._sources.get(peer)
        return instance is None or instance.region == self.local_instance.region

    def request_latency(self, ratio, now_s):
        """Adapt the transfer rate to a measured latency of live requests.

        :param ratio: current latency divided by the latency without transfers.
        :param now_s: current time in seconds.
        """
        if ratio > LATENCY_LIMIT:
            self._rate_share = max(MIN_RATE_SHARE, self._rate_share * 0.7)
        else:
            self._rate_share = min(1.0, self._rate_share + 0.05)
        self._set_rate()
        return self.tick(now_s)

    def rates_changed(self, rates, now_s):
        """Handle a change of the rates at which transfers may use the links.

        :param rates: :class:`LinkRates`.
        :param now_s: current time in seconds.
        """
        self.rates = rates
        self._set_rate()
        return self.tick(now_s)

    def _set_rate(self):
        self._uploads.set_rate(
            self.rates.machine_bytes_per_s * self._rate_share,
            self.rates.region_bytes_per_s * self._rate_share,
        )

    # Manifests.

    def manifest_fetched(self, manifest_digest, text, now_s):
        """Handle a manifest that arrived from the object store or a peer.

        :param manifest_digest: digest that was asked for.
        :param text: JSON text of the manifest; it is checked here against the digest.
        :param now_s: current time in seconds.
        """
        version = self._versions.get(manifest_digest)
        if version is None or version.manifest:
            return ()
        parsed = manifests.parse(text, manifest_digest)
        if not isinstance(parsed, result.Success):
            self.counts["bad_manifests"] += 1
            return self.manifest_failed(manifest_digest, 0.0, now_s)
        version.manifest = parsed.unwrap()
        reply = types.ManifestReply(manifest_digest, text)
        actions = [effects.Send(peer, reply) for peer in version.manifest_waiters]
        version.manifest_waiters.clear()
        actions += self._start_copy(version, now_s)
        return tuple(actions) + self.tick(now_s)

    def manifest_failed(self, manifest_digest, retry_after_s, now_s):
        """Handle a failed or invalid response to a request for a manifest.

        :param manifest_digest: digest that was asked for.
        :param retry_after_s: delay in seconds that the object store asked for, or 0.
        :param now_s: current time in seconds.
        """
        version = self._versions.get(manifest_digest)
        if version is not None:
            delay_s = max(retry_after_s, MANIFEST_RETRY_S)
            version.manifest_retry_s = now_s + delay_s * self._rng.uniform(1.0, 2.0)
            version.manifest_requested = False
        return self.tick(now_s)

    def _start_copy(self, version, now_s):
        if not self.store.reserve(version.manifest):
            missing = self.store.shortfall_bytes(version.manifest)
            wanted = version.wanted
            return [effects.MemoryTooSmall(wanted.manifest_digest, wanted.row, missing)]
        version.start_copy(self.store, now_s)
        for request in self._requests.values():
            version.copy.in_flight |= version.copy.mask(request.chunk_digest)
        return self._report_if_complete(version)

    def _request_manifest(self, version, now_s):
        if version.manifest or now_s < version.manifest_retry_s:
            return []
        digest = version.wanted.manifest_digest
        version.manifest_retry_s = now_s + ORIGIN_TIMEOUT_S
        if version.manifest_requested:
            version.manifest_requested = False
            return [effects.FetchManifest(digest)]
        version.manifest_requested = True
        request = types.ManifestRequest(digest)
        actions = [effects.Send(peer, request) for peer in sorted(version.neighbours)]
        if len(version.predecessors(digest)) <= 1:
            return [effects.FetchManifest(digest), *actions]
        # Two instances of each region read the object store immediately. The others
        # read it only when no neighbour sends them the manifest in time.
        delay_s = MANIFEST_RETRY_S * self._rng.uniform(1.0, 2.0)
        version.manifest_retry_s = now_s + delay_s
        return actions

    # Messages from peers.

    def message_received(self, peer, message, now_s, receive_s=None):
        """Handle a message from a peer.

        :param peer: name of the instance at the other end of the stream.
        :param message: one of the manifest and chunk messages of
            :mod:`cicadaplank.messages.types`; messages of other types are ignored.
        :param now_s: current time in seconds.
        :param receive_s: seconds from the first byte of the message to its last one, or
            None when it is not known.
        """
        source = self._source(peer)
        if source is None:
            self.counts["unknown_peer"] += 1
            return ()
        source.note_message()
        if isinstance(message, types.ChunkReply):
            self._receive_window.received(len(message.data), now_s, receive_s)
        handler = self._HANDLERS.get(type(message))
        if handler is None:
            return ()
        actions = tuple(handler(self, source, message, now_s))
        full = len(self._requests) >= self._limits.max_in_flight
        if full and isinstance(message, types.ChunkMap):
            # Most messages are chunk maps. While no further request may be sent, a
            # chunk map does not call for any action, and the tick is saved.
            return actions
        return actions + self.tick(now_s)

    def _source(self, peer):
        source = self._sources.get(peer)
        if (
            source is None
            and peer in self._instances
            and peer != self.local_instance.name
        ):
            source = sources.Source(peer, self._instances[peer].region)
            self._sources[peer] = source
        return source

    def _on_manifest_request(self, source, message, now_s):
        digest = message.manifest_digest
        version = self._versions.get(digest)
        if version is None:
            return []
        if version.manifest:
            text = version.manifest.to_json()
            return [effects.Send(source.name, types.ManifestReply(digest, text))]
        waiters = version.manifest_waiters
        if source.name not in waiters and len(waiters) < MAX_MANIFEST_WAITERS:
            waiters.append(source.name)
        return []

    def _on_manifest_reply(self, source, message, now_s):
        digest, text = message.manifest_digest, message.manifest_json
        return self.manifest_fetched(digest, text, now_s)

    def _on_chunk_map_request(self, source, message, now_s):
        digest = message.manifest_digest
        version = self._versions.get(digest)
        if version is None:
            return [effects.Send(source.name, types.ChunkMap(digest, b""))]
        if len(version.subscribers) < MAX_SUBSCRIBERS:
            version.subscribers.add(source.name)
        else:
            self.counts["rejected_subscribers"] += 1
        holder = source.name in version.wanted.holders
        in_region = holder and self._is_local(source.name)
        if in_region and len(version.neighbours) < versions.MAX_NEIGHBOURS:
            version.neighbours.add(source.name)
        return [effects.Send(source.name, self._chunk_map(version))]

    def _chunk_map(self, version):
        digest = version.wanted.manifest_digest
        if version.copy is None:
            return types.ChunkMap(digest, b"")
        data = copies.encode_bits(version.copy.have, version.copy.count)
        return types.ChunkMap(digest, data)

    def _on_chunk_map(self, source, message, now_s):
        version = self._versions.get(message.manifest_digest)
        if version is not None and not source.excluded:
            bits = copies.decode_bits(message.have)
            version.map_received(source.name, bits, now_s)
        return []

    def _on_chunk_request(self, source, message, now_s):
        data = self.store.get(message.chunk_digest)
        reason = "missing"
        if data is not None:
            upload = uploads.Upload(
                source.name,
                message.transfer,
                message.chunk_digest,
                len(data),
                not self._is_local(source.name),
            )
            if self._uploads.enqueue(upload, now_s):
                return []
            reason = "busy"
        refusal = types.ChunkRefused(message.transfer, message.chunk_digest, reason)
        return [effects.Send(source.name, refusal)]

    def _on_chunk_reply(self, source, message, now_s):
        digest = message.chunk_digest
        request = self._requests.get(message.transfer)
        if request and (request.peer, request.chunk_digest) == (source.name, digest):
            source.chunk_arrived(now_s - request.sent_s)
            self._estimates[request.remote].record_duration(now_s - request.sent_s)
            self._remove_request(message.transfer)
        source.received += 1
        outcome = self.store.put(digest, message.data)
        if outcome is not chunks.PutOutcome.CORRUPT:
            source.note_good()
            return self._chunk_stored(digest, outcome, now_s)
        if not source.note_corrupt():
            return []
        self._reset_peer(source.name, now_s)
        return [effects.PeerExcluded(source.name, source.corrupt)]

    def _chunk_stored(self, digest, outcome, now_s):
        actions = []
        # A duplicate counts too: another task of the process may have stored the chunk.
        if outcome in (chunks.PutOutcome.STORED, chunks.PutOutcome.DUPLICATE):
            for version, mask in self._versions_with_chunk(digest):
                version.copy.have |= mask
                version.progress_s = now_s
                version.announce_due = True
                actions += self._report_if_complete(version)
        return actions

    def _report_if_complete(self, version):
        if version.copy.missing:
            return []
        version.complete = True
        rows = [row for row in version.rows if row not in version.reported]
        version.reported.update(rows)
        return [
            effects.CopyComplete(version.wanted.manifest_digest, row) for row in rows
        ]

    def _deny(self, peer, digest, now_s):
        for version in self._versions.values():
            version.deny(peer, digest, now_s)

    def _on_chunk_refused(self, source, message, now_s):
        request = self._requests.get(message.transfer)
        if request is None or request.peer != source.name:
            return []
        self._remove_request(message.transfer)
        if message.reason == "busy":
            delay_s = max(
                BUSY_RETRY_S, BUSY_CHUNKS * self._chunk_s(request.chunk_digest)
            )
            delay_s *= self._rng.uniform(0.5, 1.5)
            source.busy_until_s = max(source.busy_until_s, now_s + delay_s)
        else:
            self._deny(source.name, request.chunk_digest, now_s)
        return []

    _HANDLERS = {
        types.ManifestRequest: _on_manifest_request,
        types.ManifestReply: _on_manifest_reply,
        types.ChunkMapRequest: _on_chunk_map_request,
        types.ChunkMap: _on_chunk_map,
        types.ChunkRequest: _on_chunk_request,
        types.ChunkReply: _on_chunk_reply,
        types.ChunkRefused: _on_chunk_refused,
    }

    # The origin.

    def origin_replied(self, chunk_digest, data, now_s):
        """Handle a chunk that arrived from the origin.

        :param chunk_digest: digest of the chunk that was asked for.
        :param data: bytes received; they are checked here against the digest.
        :param now_s: current time in seconds.
        """
        outcome = self.store.put(chunk_digest, data)
        if outcome is chunks.PutOutcome.CORRUPT:
            self.counts["corrupt_from_origin"] += 1
            return self.origin_failed(chunk_digest, 0.0, now_s)
        # How long it took to arrive is not known, as it may have waited at the origin.
        self._receive_window.received(len(data), now_s, 0.0)
        self._remove_origin_requests(chunk_digest)
        if self._origin_failures:
            # After a partition that cut off the origin, other data centres may be
            # reachable again too.
            self._recheck_s = now_s
        self._origin_failures = 0
        actions = self._chunk_stored(chunk_digest, outcome, now_s)
        return tuple(actions) + self.tick(now_s)

    def origin_failed(self, chunk_digest, retry_after_s, now_s):
        """Handle a failed request to the origin.

        :param chunk_digest: digest of the chunk that was asked for.
        :param retry_after_s: delay in seconds that the origin asked for with status
            429, or 0.
        :param now_s: current time in seconds.
        """
        self._remove_origin_requests(chunk_digest)
        self._origin_backs_off(retry_after_s, now_s)
        return self.tick(now_s)

    def _origin_backs_off(self, retry_after_s, now_s):
        self._origin_failures += 1
        delay_s = ORIGIN_BACK_OFF_S * 2 ** min(self._origin_failures - 1, 10)
        delay_s = min(delay_s, self._limits.max_origin_back_off_s)
        delay_s = max(delay_s, retry_after_s)
        retry_s = now_s + delay_s * self._rng.uniform(1.0, 1.5)
        self._origin_retry_s = max(self._origin_retry_s, retry_s)
        self._recheck_s = self._origin_retry_s

    def _remove_origin_requests(self, chunk_digest):
        for transfer, request in list(self._requests.items()):
            if not request.peer and request.chunk_digest == chunk_digest:
                self._remove_request(transfer)

    def _remove_request(self, transfer):
        request = self._requests.pop(transfer)
        if request.peer:
            self._sources[request.peer].outstanding -= 1
        for version, mask in self._versions_with_chunk(request.chunk_digest):
            version.copy.in_flight &= ~mask

    def chunk_left(self, peer, transfer, now_s):
        """Handle the end of an upload: the chunk was sent or the upload abandoned.

        :param peer: name of the instance that requested the chunk.
        :param transfer: identifier that the peer gave the request.
        :param now_s: current time in seconds.
        """
        self._uploads.upload_finished(peer, transfer, now_s)
        return self.tick(now_s)

    def progress(self, manifest_digest):
        """Return the fraction of a version's chunks that is held.

        :param manifest_digest: digest of its manifest.
        :returns: 0.0 to 1.0; 0.0 also for a version that is unknown or whose copy has
            not started.
        """
        version = self._versions.get(manifest_digest)
        if version is None or version.copy is None:
            return 0.0
        return version.copy.have.bit_count() / max(1, version.copy.count)

    # Time.

    def wake_s(self):
        """Return the time in seconds at which :meth:`tick` is due, or None."""
        times = [self._uploads.wake_s()]
        if self._requests:
            times.append(self._expire_s)
        for version in self._versions.values():
            if version.manifest is None:
                times.append(version.manifest_retry_s)
            elif version.copy and not version.complete:
                times.append(self._ticked_s + REVIEW_INTERVAL_S)
                times.append(
                    version.next_turn_s(self._limits.origin_spread_s, self._ticked_s)
                )
            if version.announce_due:
                times.append(self._announce_s(version))
        return min((time for time in times if time is not None), default=None)

    def tick(self, now_s):
        """Expire requests, send what is due and issue new requests.

        Called at :meth:`wake_s` and after each event.

        :param now_s: current time in seconds.
        """
        self._ticked_s = now_s
        if now_s >= self._expire_s:
            self._expire(now_s)
        actions = [
            self._send_upload(upload) for upload in self._uploads.take_due(now_s)
        ]
        for version in sorted(self._versions.values(), key=_priority):
            actions += self._request_manifest(version, now_s)
            if version.copy is None:
                continue
            actions += self._announce(version, now_s)
            if not version.complete:
                actions += self._review(version, now_s)
                actions += self._request_upstream(version, now_s)
                actions += self._request_from_region(version, now_s)
        return tuple(actions)

    def _send_upload(self, upload):
        digest = upload.chunk_digest
        data = self.store.get(digest)
        if data is None:
            refusal = types.ChunkRefused(upload.transfer, digest, "missing")
            return effects.Send(upload.peer, refusal)
        return effects.Send(
            upload.peer, types.ChunkReply(upload.transfer, digest, data)
        )

    def _expire(self, now_s):
        for transfer, request in list(self._requests.items()):
            if request.deadline_s > now_s:
                continue
            self.counts["timeouts"] += 1
            self._remove_request(transfer)
            if request.peer:
                self._sources[request.peer].request_timed_out(now_s)
                self._deny(request.peer, request.chunk_digest, now_s)
            else:
                self._origin_backs_off(0.0, now_s)
        deadlines = (request.deadline_s for request in self._requests.values())
        self._expire_s = min(deadlines, default=float("inf"))

    def _announce_s(self, version):
        chunk_s = _chunk_s(version.manifest, self.rates)
        return version.announced_s + max(ANNOUNCE_INTERVAL_S, ANNOUNCE_CHUNKS * chunk_s)

    def _announce(self, version, now_s):
        if not version.announce_due or now_s < self._announce_s(version):
            return []
        version.announce_due = False
        version.announced_s = now_s
        message = self._chunk_map(version)
        return [effects.Send(peer, message) for peer in sorted(version.subscribers)]

    def _review(self, version, now_s):
        """Probe peers, replace silent and slow neighbours, and take over chunks."""
        if now_s < version.reviewed_s + REVIEW_INTERVAL_S and version.last_probe_s:
            return []
        version.reviewed_s = now_s
        self._replace_neighbours(version, now_s)
        stall_timeout_s = self._limits.stall_timeout_s[version.wanted.prefer]

        def is_unresponsive(name):
            source = self._sources.get(name)
            if source is None:
                return False
            return source.excluded or source.is_silent(now_s, stall_timeout_s)

        def is_silent(name, limit_s):
            source = self._sources.get(name)
            return source is not None and source.is_silent(now_s, limit_s)

        version.update_taken_over(is_unresponsive, stall_timeout_s, now_s)
        version.update_orphaned(is_silent, stall_timeout_s)
        if now_s - version.progress_s > stall_timeout_s:
            version.add_remote_sources(
                version.missing_in_region() & version.assigned_chunks()
            )
        return self._probe(version, now_s)

    def _replace_neighbours(self, version, now_s):
        slow = self._slow_neighbours(version)
        for name in sorted(version.watched):
            source = self._sources.get(name)
            if source is None:
                continue
            if source.is_silent(now_s, PEER_TIMEOUT_S) and version.copy.held_by(name):
                # Its chunks no longer count as held in the region, and the requests
                # that it has not answered go to other sources.
                self._reset_peer(name, now_s)
            if name not in version.neighbours:
                continue
            if name in slow:
                source.busy_until_s = now_s + SLOW_SOURCE_PAUSE_S
            if (
                name in slow
                or source.excluded
                or source.is_silent(now_s, PEER_TIMEOUT_S)
            ):
                version.drop_neighbour(name)
        version.choose_neighbours(self._instances, self._is_usable, self._rng)
        if not version.neighbours:
            # Every holder of the region is silent, as happens in a partition: choose
            # among all of them and go on asking.
            version.choose_neighbours(self._instances, lambda name: True, self._rng)

    def _slow_neighbours(self, version):
        durations = {}
        for name in version.neighbours:
            source = self._sources.get(name)
            if source and source.estimate.samples >= SLOW_SAMPLES:
                durations[name] = source.estimate.mean_s
        if len(durations) < SLOW_SAMPLES:
            return set()
        limit_s = SLOW_FACTOR * statistics.median(durations.values())
        return {name for name, mean_s in durations.items() if mean_s > limit_s}

    def _probe(self, version, now_s):
        actions = []
        never = float("-inf")
        for peer in sorted(version.watched):
            source = self._source(peer)
            if source is None or source.excluded:
                continue
            last_s = max(
                version.last_map_s.get(peer, never),
                version.last_probe_s.get(peer, never),
            )
            if now_s - last_s > PROBE_INTERVAL_S:
                version.last_probe_s[peer] = now_s
                source.expect_response(now_s)
                request = types.ChunkMapRequest(version.wanted.manifest_digest)
                actions.append(effects.Send(peer, request))
        return actions

    def _window(self, version):
        """Return the current limit on chunk requests in flight.

        It is reduced while live requests are slow or this machine's link is.
        """
        if self._rate_share < 1.0:
            return max(2, int(self._limits.max_in_flight * self._rate_share))
        return self._receive_window.size(version.manifest.chunk_bytes)

    def _is_link_full(self, version):
        """Tell whether a reduced limit on the requests in flight is reached."""
        window = self._window(version)
        return window < self._limits.max_in_flight and len(self._requests) >= window

    def _request_from_region(self, version, now_s):
        actions = []
        copy = version.copy
        needed = copy.missing & ~copy.in_flight
        # Called after the requests to the origin and to other regions, which come
        # first because the whole region waits for those chunks.
        window = self._window(version)
        if not needed or len(self._requests) >= window:
            return actions
        usable = [
            source
            for source in map(self._sources.get, sorted(version.region_sources))
            if source is not None
            and not source.excluded
            and source.outstanding < MAX_PER_SOURCE
            and source.busy_until_s <= now_s
            and copy.held_by(source.name) & needed
        ]
        while usable and len(self._requests) < window:
            least = min(source.outstanding for source in usable)
            source = self._rng.choice([s for s in usable if s.outstanding == least])
            index = copy.rarest(needed & copy.held_by(source.name), self._rng)
            actions.append(self._request_chunk(version, index, source, False, now_s))
            needed = copy.missing & ~copy.in_flight
            usable = [
                source
                for source in usable
                if source.outstanding < MAX_PER_SOURCE
                and copy.held_by(source.name) & needed
            ]
        return actions

    def _request_chunk(self, version, index, source, remote, now_s):
        digest = version.manifest.chunk_digests[index]
        estimate = source.estimate
        if estimate.samples < SLOW_SAMPLES:
            estimate = self._estimates[remote]
        timeout_s = max(estimate.timeout_s, self._queue_s(version, remote))
        deadline_s = now_s + timeout_s * source.timeout_factor
        transfer = self._add_request(digest, source.name, deadline_s, remote, now_s)
        source.outstanding += 1
        return effects.Send(source.name, types.ChunkRequest(transfer, digest))

    def _queue_s(self, version, remote):
        """Return the longest time a chunk may wait in queues when links work."""
        chunk_bytes = version.manifest.chunk_bytes
        if not remote:
            chunk_s = chunk_bytes / self.rates.machine_bytes_per_s
            return QUEUE_TIMEOUT_FACTOR * uploads.MAX_QUEUED * chunk_s
        # All holders of this region may have chunks in flight on the same link.
        chunk_s = chunk_bytes / self.rates.region_bytes_per_s
        chunks_ahead = uploads.MAX_QUEUED
        chunks_ahead += self._limits.max_remote_in_flight * version.region_size
        return QUEUE_TIMEOUT_FACTOR * chunks_ahead * chunk_s

    def _chunk_s(self, digest):
        sizes = (v.manifest.chunk_bytes for v, _ in self._versions_with_chunk(digest))
        return max(sizes, default=0) / self.rates.machine_bytes_per_s

    def _add_request(self, digest, peer, deadline_s, remote, now_s):
        transfer = self._next_transfer
        self._next_transfer += 1
        self._receive_window.requested(now_s, len(self._requests))
        self._requests[transfer] = _Request(digest, peer, now_s, deadline_s, remote)
        self._expire_s = min(self._expire_s, deadline_s)
        for version, mask in self._versions_with_chunk(digest):
            version.copy.in_flight |= mask
        return transfer

    def _request_upstream(self, version, now_s):
        """Request chunks for this region from another region or from the origin."""
        due = version.missing_in_region() & version.assigned_chunks()
        if not due or self._is_link_full(version):
            return []
        actions = self._request_remote(version, due, now_s)
        due &= ~version.copy.in_flight
        if self._is_link_full(version):
            return actions
        if not due or now_s < self._origin_retry_s:
            return actions
        stall_timeout_s = 2 * self._limits.stall_timeout_s[version.wanted.prefer]
        if now_s - version.progress_s <= stall_timeout_s:
            due &= version.origin_chunks | version.orphaned
        due &= ~version.chunks_before_turn(self._limits.origin_spread_s, now_s)
        if not due:
            return actions
        if version.rechecked_s < self._recheck_s:
            return actions + self._recheck(version, now_s)
        if now_s < version.rechecked_s + RECHECK_S:
            return actions
        return actions + self._request_origin(version, due, now_s)

    def _recheck(self, version, now_s):
        """Ask other data centres for chunk maps before the origin is tried again.

        After a partition they may hold chunks that this instance is still missing.
        """
        version.rechecked_s = now_s
        names = version.choose_other_neighbours(self._instances, self._rng)
        for name in names:
            version.last_probe_s[name] = now_s
            self._source(name).expect_response(now_s)
        request = types.ChunkMapRequest(version.wanted.manifest_digest)
        return [effects.Send(name, request) for name in names]

    def _request_remote(self, version, due, now_s):
        actions = []
        if not version.remote_sources:
            return actions
        remote = sum(1 for request in self._requests.values() if request.remote)
        held = {name: version.copy.held_by(name) for name in version.remote_sources}
        while remote < self._limits.max_remote_in_flight:
            due &= ~version.copy.in_flight
            available = 0
            for bits in held.values():
                available |= bits & due
            if not available:
                break
            index = copies.choose_random(available, self._rng)
            names = [n for n in version.remote_candidates(index) if n in held]
            names += sorted(set(held) - set(names))
            holders = [n for n in names if held[n] >> index & 1]
            # Prefer a peer that never refused or timed out, then the one whose pause
            # after a refusal or time-out ends first. Ties go to the peer with
            # the lowest mean duration.
            source = min(
                map(self._source, holders),
                key=lambda source: (source.busy_until_s, source.estimate.mean_s),
            )
            actions.append(self._request_chunk(version, index, source, True, now_s))
            remote += 1
        return actions

    def _request_origin(self, version, due, now_s):
        actions = []
        busy = sum(1 for request in self._requests.values() if not request.peer)
        limit = 1 if self._origin_failures else self._limits.max_origin_in_flight
        while due and busy < limit:
            index = copies.choose_random(due, self._rng)
            digest = version.manifest.chunk_digests[index]
            self._add_request(digest, "", now_s + ORIGIN_TIMEOUT_S, False, now_s)
            due &= ~version.copy.in_flight
            busy += 1
            actions.append(
                effects.FetchChunk(digest, version.manifest.chunk_size(index))
            )
        return actions


def _merge_by_digest(wanted):
    """Merge the entries of several rows that name the same version.

    :param wanted: :class:`WantedVersion`, the most urgent first.
    :returns: dict from digest to the merged entry and the names of its rows. The entry
        has the holders of all rows, and prefers ``time`` when one of them does.
    """
    merged = {}
    for entry in wanted:
        first, rows = merged.get(entry.manifest_digest, (entry, ()))
        holders = tuple(dict.fromkeys((*first.holders, *entry.holders)))
        prefer = "time" if "time" in (first.prefer, entry.prefer) else first.prefer
        first = dataclasses.replace(first, holders=holders, prefer=prefer)
        merged[entry.manifest_digest] = (first, (*rows, entry.row))
    return merged


def _priority(version):
    return version.wanted.priority


def _chunk_s(manifest, rates):
    return manifest.chunk_bytes / rates.machine_bytes_per_s if manifest else 0.0
