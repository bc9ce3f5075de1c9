"""Bounded queue of the chunks that peers requested, with traffic shaping."""

import collections
import dataclasses
import itertools

from cicadaplank.world import links

# Limits on the queued chunks, in total and per peer, for destinations in the region and
# outside it each. Requests beyond them are refused, so that they spread over other
# sources.
MAX_QUEUED = 16
MAX_QUEUED_PER_PEER = 4
# Capacity of the token buckets, in seconds at the full rate. It makes up for timers
# that fire late, each of which would otherwise reduce the rate.
BURST_S = 0.02
# Limit on the chunks handed to the link that have not left it: one is being sent, and
# the next is ready. More would only wait where their order can no longer be changed.
MAX_ON_LINK = 2
# The link counts as slower than its rate when a chunk takes this multiple of its
# transmission time to leave. On a link that keeps up, with MAX_ON_LINK chunks on it,
# the multiple is at most 2.
SLOW_LINK_FACTOR = 3.0
# A chunk that has not left after this multiple of its transmission time is delayed by
# its peer, not by the link: two chunks on a link at a tenth of its rate take 20 times
# as long.
STALL_FACTOR = 20.0
# Limit on the chunks whose uploads are counted; a model of 48 GB has 15,000 chunks.
MAX_COUNTED_CHUNKS = 16384


@dataclasses.dataclass(frozen=True)
class Upload:
    """A chunk to be sent to a peer.

    :param peer: name of the instance that requested the chunk.
    :param transfer: identifier that the peer gave the request.
    :param chunk_digest: digest of the chunk.
    :param size_bytes: size of the chunk.
    :param remote: True when the chunk crosses a link between regions.
    :param number: position in the order of the requests, set by the queue.
    """

    peer: str
    transfer: int
    chunk_digest: str
    size_bytes: int
    remote: bool = False
    number: int = 0


@dataclasses.dataclass(frozen=True)
class _ChunkOnLink:
    """A chunk handed to the link that has not left it.

    :param slow_s: time after which the link counts as slow if the chunk leaves then.
    :param stalled_s: time from which its peer counts as stalled.
    """

    slow_s: float
    stalled_s: float


class UploadQueue:
    """Priority queue of requested chunks.

    Chunks are sent in the order of the requests while the link keeps up with its rate.
    On a slower link the chunk that was sent least often goes first, so that it reaches
    some peers early and others get it from them instead of from this machine.

    :param bytes_per_s: rate of transfers on the machine's link.
    :param region_bytes_per_s: rate of transfers from this machine to other regions.
    :param now_s: current time in seconds.
    :param max_queued: limit on the queued chunks, for chunks within the region and for
        chunks to other regions each.
    """

    def __init__(self, bytes_per_s, region_bytes_per_s, now_s, max_queued=MAX_QUEUED):
        self._max_queued = max_queued
        self._local = _token_bucket(bytes_per_s, now_s)
        self._remote = _token_bucket(region_bytes_per_s, now_s)
        self._queues = {False: collections.deque(), True: collections.deque()}
        self._free_s = {False: now_s, True: now_s}
        self._numbers = itertools.count()
        self._on_link = {}
        self._is_slow = False
        self._times_sent = collections.Counter()
        self.counts = collections.Counter()

    def __len__(self):
        return sum(map(len, self._queues.values()))

    def enqueue(self, upload, now_s):
        """Queue a chunk.

        :param upload: :class:`Upload`.
        :param now_s: current time in seconds.
        :returns: False when the queue is full or the peer is stalled; the chunk is not
            queued then.
        """
        queue = self._queues[upload.remote]
        from_peer = sum(1 for queued in queue if queued.peer == upload.peer)
        full = len(queue) >= self._max_queued or from_peer >= MAX_QUEUED_PER_PEER
        if full or upload.peer in self._stalled_peers(now_s):
            self.counts["rejected"] += 1
            return False
        queue.append(dataclasses.replace(upload, number=next(self._numbers)))
        return True

    def drop_peer(self, peer):
        """Remove the requests of a peer and the record of chunks being sent to it.

        :param peer: instance name.
        """
        self._drop_queued(peer)
        self._on_link = {k: v for k, v in self._on_link.items() if k[0] != peer}

    def _drop_queued(self, peer):
        for remote, queue in self._queues.items():
            kept = [upload for upload in queue if upload.peer != peer]
            self._queues[remote] = collections.deque(kept)

    @property
    def _on_link_limit(self):
        # On a slow link a second chunk would only delay other packets.
        return 1 if self._is_slow else MAX_ON_LINK

    def _stalled_peers(self, now_s):
        """Return the peers that are not receiving the chunks being sent to them."""
        return {
            peer
            for (peer, _), chunk in self._on_link.items()
            if chunk.stalled_s <= now_s
        }

    def _unstalled(self, now_s):
        """Return the chunks on the link that are not delayed by their peers."""
        return [c for c in self._on_link.values() if c.stalled_s > now_s]

    def take_due(self, now_s):
        """Remove from the queue the chunks that may be sent now, and return them.

        Chunks queued for stalled peers are dropped.

        :param now_s: current time in seconds.
        :returns: list of :class:`Upload` in the order in which they are to be sent.
        """
        for peer in self._stalled_peers(now_s):
            self._drop_queued(peer)
        sent = []
        while (upload := self._take_next(now_s)) is not None:
            # A chunk to another region uses the machine's link too.
            delay_s = self._local.reserve(upload.size_bytes, now_s)
            self._free_s[False] = now_s + delay_s
            if upload.remote:
                delay_s = self._remote.reserve(upload.size_bytes, now_s)
                self._free_s[True] = now_s + delay_s
            chunk_s = upload.size_bytes / self._local.rate_per_s
            self._on_link[upload.peer, upload.transfer] = _ChunkOnLink(
                now_s + SLOW_LINK_FACTOR * chunk_s, now_s + STALL_FACTOR * chunk_s
            )
            self._count_upload(upload.chunk_digest)
            sent.append(upload)
        return sent

    def _count_upload(self, chunk_digest):
        if len(self._times_sent) >= MAX_COUNTED_CHUNKS:
            self.counts["forgotten_sendings"] += len(self._times_sent)
            self._times_sent.clear()
        self._times_sent[chunk_digest] += 1

    def upload_finished(self, peer, transfer, now_s):
        """Handle the end of an upload: the chunk was sent or the upload abandoned.

        :param peer: name of the instance that requested the chunk.
        :param transfer: identifier that the peer gave the request.
        :param now_s: current time in seconds.
        """
        chunk = self._on_link.pop((peer, transfer), None)
        if chunk is not None:
            self._is_slow = now_s > chunk.slow_s

    def _take_next(self, now_s):
        """Remove and return the first of the chunks that may be sent now, or None."""
        if self._free_s[False] > now_s:
            return None
        if len(self._unstalled(now_s)) >= self._on_link_limit:
            return None
        ready = [
            upload
            for remote, queue in self._queues.items()
            if self._free_s[remote] <= now_s
            for upload in queue
        ]
        if not ready:
            return None
        upload = min(ready, key=self._sort_key)
        self._queues[upload.remote].remove(upload)
        return upload

    def _sort_key(self, upload):
        if not self._is_slow:
            return upload.number
        return (self._times_sent[upload.chunk_digest], upload.number)

    def wake_s(self):
        """Return when the next chunk may be sent, or None for an empty queue.

        A call of :meth:`upload_finished` may make it earlier.
        """
        times = [self._free_s[remote] for remote, q in self._queues.items() if q]
        if not times:
            return None
        limit = self._on_link_limit
        on_link = sorted(chunk.stalled_s for chunk in self._on_link.values())
        window_s = on_link[-limit] if len(on_link) >= limit else 0.0
        return max(min(times), self._free_s[False], window_s)

    def set_rate(self, bytes_per_s, region_bytes_per_s):
        """Change the rates.

        :param bytes_per_s: rate of transfers on the machine's link.
        :param region_bytes_per_s: rate of transfers from this machine to other regions.
        """
        self._local.rate_per_s = bytes_per_s
        self._remote.rate_per_s = region_bytes_per_s


def _token_bucket(bytes_per_s, now_s):
    return links.TokenBucket(bytes_per_s, bytes_per_s * BURST_S, now_s)
