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


class UploadQueue:
    """Requested chunks in the order in which they are sent.

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
        self.counts = collections.Counter()

    def __len__(self):
        return sum(map(len, self._queues.values()))

    def offer(self, upload):
        """Queue a chunk.

        :param upload: :class:`Upload`.
        :returns: False when the queue is full.
        """
        queue = self._queues[upload.remote]
        same = sum(1 for queued in queue if queued.peer == upload.peer)
        if len(queue) >= self._max_queued or same >= MAX_QUEUED_PER_PEER:
            self.counts["rejected"] += 1
            return False
        queue.append(dataclasses.replace(upload, number=next(self._numbers)))
        return True

    def drop_peer(self, peer):
        """Forget the requests of a peer.

        :param peer: instance name.
        """
        for remote, queue in self._queues.items():
            kept = [upload for upload in queue if upload.peer != peer]
            self._queues[remote] = collections.deque(kept)

    def due(self, now_s):
        """Take the chunks that may be sent now.

        :param now_s: current time in seconds.
        :returns: list of :class:`Upload`.
        """
        sent = []
        while (upload := self._next(now_s)) is not None:
            # Every chunk takes the machine's link, also one for another region.
            delay_s = self._local.reserve(upload.size_bytes, now_s)
            self._free_s[False] = now_s + delay_s
            if upload.remote:
                delay_s = self._remote.reserve(upload.size_bytes, now_s)
                self._free_s[True] = now_s + delay_s
            sent.append(upload)
        return sent

    def _next(self, now_s):
        """Take the chunk that was requested first of those that may be sent now."""
        if self._free_s[False] > now_s:
            return None
        ready = [
            queue
            for remote, queue in self._queues.items()
            if queue and self._free_s[remote] <= now_s
        ]
        if not ready:
            return None
        return min(ready, key=lambda queue: queue[0].number).popleft()

    def wake_s(self):
        """Return when the next chunk may be sent, or None for an empty queue."""
        times = [self._free_s[remote] for remote, q in self._queues.items() if q]
        return max(min(times), self._free_s[False]) if times else None

    def set_rate(self, bytes_per_s, region_bytes_per_s):
        """Change the rates.

        :param bytes_per_s: rate for transfers on the machine's link.
        :param region_bytes_per_s: rate on links to other regions.
        """
        self._local.rate_per_s = bytes_per_s
        self._remote.rate_per_s = region_bytes_per_s


def _bucket(bytes_per_s, now_s):
    return links.TokenBucket(bytes_per_s, bytes_per_s * BURST_S, now_s)
