"""Bounded queue of the chunks that peers requested, shaped to the link."""

import collections
import dataclasses
import itertools

from cicadaplank.world import links

# A source with a full queue refuses, and the requests spread over other sources.
MAX_QUEUED = 16
MAX_QUEUED_PER_PEER = 4
# Credit kept while a timer fires late; without it every late timer loses rate.
BURST_S = 0.02
# Chunks that are handed to the link and have not left it. One is sent while the next
# one lies ready; more would only wait where their order can no longer be changed.
MAX_ON_LINK = 2
# The link is slower than its rate when a chunk takes this many times its time to leave.
# With MAX_ON_LINK chunks on a link that keeps up it is at most 2.
SLOW_LINK = 3.0
# A chunk that has not left after this many times its time is held up by its peer, not
# by the link: two chunks on a link of a tenth of its rate take 20 times as long.
STALLED = 20.0
# Chunks whose sendings are counted; a model of 48 GB has 15,000.
MAX_COUNTED = 16384


@dataclasses.dataclass(frozen=True)
class Upload:
    """A requested chunk.

    :param peer: instance that asked.
    :param transfer: its identifier of the request.
    :param chunk_digest: the chunk.
    :param size_bytes: size of the chunk.
    :param remote: True when it crosses a link between regions.
    :param number: position in the order of the requests.
    """

    peer: str
    transfer: int
    chunk_digest: str
    size_bytes: int
    remote: bool = False
    number: int = 0


@dataclasses.dataclass(frozen=True)
class _OnLink:
    """A chunk on the link, with the times from which the link and its peer are late."""

    slow_s: float
    stalled_s: float


class UploadQueue:
    """Requested chunks in the order in which they are sent.

    It is the order of the requests as long as the link keeps up. On a link that does
    not, the chunk that was sent least goes first: others then get it from the peers
    that have it, and not each from here.

    :param bytes_per_s: rate for transfers on the machine's link.
    :param region_bytes_per_s: rate of this machine on links to other regions.
    :param now_s: current time in seconds.
    :param max_queued: requested chunks at most.
    """

    def __init__(self, bytes_per_s, region_bytes_per_s, now_s, max_queued=MAX_QUEUED):
        self._max_queued = max_queued
        self._local = _bucket(bytes_per_s, now_s)
        self._remote = _bucket(region_bytes_per_s, now_s)
        self._queues = {False: collections.deque(), True: collections.deque()}
        self._free_s = {False: now_s, True: now_s}
        self._numbers = itertools.count()
        self._on_link = {}
        self._is_slow = False
        self._times_sent = collections.Counter()
        self.counts = collections.Counter()

    def __len__(self):
        return sum(map(len, self._queues.values()))

    def offer(self, upload, now_s):
        """Queue a chunk.

        :param upload: :class:`Upload`.
        :param now_s: current time in seconds.
        :returns: False when the queue is full, or when the peer does not take what is
            on its way to it.
        """
        queue = self._queues[upload.remote]
        same = sum(1 for queued in queue if queued.peer == upload.peer)
        full = len(queue) >= self._max_queued or same >= MAX_QUEUED_PER_PEER
        if full or upload.peer in self._stalled(now_s):
            self.counts["rejected"] += 1
            return False
        queue.append(dataclasses.replace(upload, number=next(self._numbers)))
        return True

    def drop_peer(self, peer):
        """Forget the requests of a peer and what is on its way to it.

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
        # On a slow link a second chunk would only hold other packets up.
        return 1 if self._is_slow else MAX_ON_LINK

    def _stalled(self, now_s):
        """Return the peers that do not take what is on its way to them."""
        return {
            peer
            for (peer, _), chunk in self._on_link.items()
            if chunk.stalled_s <= now_s
        }

    def _counted(self, now_s):
        """Return the chunks on the link that others wait for."""
        return [c for c in self._on_link.values() if c.stalled_s > now_s]

    def due(self, now_s):
        """Take the chunks that may be sent now.

        :param now_s: current time in seconds.
        :returns: list of :class:`Upload`.
        """
        for peer in self._stalled(now_s):
            self._drop_queued(peer)
        sent = []
        while (upload := self._next(now_s)) is not None:
            # Every chunk takes the machine's link, also one for another region.
            delay_s = self._local.reserve(upload.size_bytes, now_s)
            self._free_s[False] = now_s + delay_s
            if upload.remote:
                delay_s = self._remote.reserve(upload.size_bytes, now_s)
                self._free_s[True] = now_s + delay_s
            chunk_s = upload.size_bytes / self._local.rate_per_s
            self._on_link[upload.peer, upload.transfer] = _OnLink(
                now_s + SLOW_LINK * chunk_s, now_s + STALLED * chunk_s
            )
            self._count(upload.chunk_digest)
            sent.append(upload)
        return sent

    def _count(self, chunk_digest):
        if len(self._times_sent) >= MAX_COUNTED:
            self.counts["forgotten_sendings"] += len(self._times_sent)
            self._times_sent.clear()
        self._times_sent[chunk_digest] += 1

    def left(self, peer, transfer, now_s):
        """A chunk has left the machine, or was given up.

        :param peer: instance that asked.
        :param transfer: its identifier of the request.
        :param now_s: current time in seconds.
        """
        chunk = self._on_link.pop((peer, transfer), None)
        if chunk is not None:
            self._is_slow = now_s > chunk.slow_s

    def _next(self, now_s):
        """Take the chunk that comes first of those that may be sent now."""
        if self._free_s[False] > now_s:
            return None
        if len(self._counted(now_s)) >= self._on_link_limit:
            return None
        ready = [
            upload
            for remote, queue in self._queues.items()
            if self._free_s[remote] <= now_s
            for upload in queue
        ]
        if not ready:
            return None
        upload = min(ready, key=self._position)
        self._queues[upload.remote].remove(upload)
        return upload

    def _position(self, upload):
        if not self._is_slow:
            return upload.number
        return (self._times_sent[upload.chunk_digest], upload.number)

    def wake_s(self):
        """Return when the next chunk may be sent, or None for an empty queue.

        Calls of :meth:`left` may bring that forward.
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

        :param bytes_per_s: rate for transfers on the machine's link.
        :param region_bytes_per_s: rate on links to other regions.
        """
        self._local.rate_per_s = bytes_per_s
        self._remote.rate_per_s = region_bytes_per_s


def _bucket(bytes_per_s, now_s):
    return links.TokenBucket(bytes_per_s, bytes_per_s * BURST_S, now_s)
