"""Stand-in of the origin of weights and its rate-limited weight store."""

import hashlib
import time

from twisted.internet import reactor, task

from cicadaplank.world import links
from standins import serving

SLICE_BYTES = 16 * 1024
RATE_BYTES_PER_S = 100e6
REQUESTS_PER_S = 1000


class Origins(serving.StandIn):
    """Chunks by SHA-256, sent over one link whose rate all downloads share.

    Further faults: ``stall`` stops a download halfway for ``delay_s``.

    :param rate_bytes_per_s: rate of the outgoing link.
    :param requests_per_s: requests a second above which the store answers 429.
    :param seed: seed of the random choices.
    :param clock: function that returns the Unix time in seconds.
    """

    def __init__(
        self,
        rate_bytes_per_s=RATE_BYTES_PER_S,
        requests_per_s=REQUESTS_PER_S,
        seed=0,
        clock=time.time,
    ):
        super().__init__(("stall",), seed, clock)
        now_s = self.now()
        # A burst of one slice keeps short downloads from exceeding the link's rate.
        self._link = links.TokenBucket(rate_bytes_per_s, SLICE_BYTES, now_s)
        self._requests = links.TokenBucket(requests_per_s, requests_per_s, now_s)
        self._chunks = {}
        self.route("PUT", "/chunks/<digest>", self._put)
        self.route("GET", "/chunks/<digest>", self._get)

    def add(self, data):
        """Store a chunk.

        :param data: bytes.
        :returns: SHA-256 in hex.
        """
        digest = hashlib.sha256(data).hexdigest()
        self._chunks[digest] = data
        return digest

    def _put(self, call, digest):
        if hashlib.sha256(call.body).hexdigest() != digest:
            return serving.Reply(400, {"error": "the digest does not match"})
        self.add(call.body)
        return serving.Reply(200, {"size_bytes": len(call.body)})

    async def _get(self, call, digest):
        now_s = self.now()
        if not self._requests.take(1, now_s):
            wait_s = self._requests.wait_s(1, now_s)
            headers = {"Retry-After": f"{wait_s:.3f}"}
            return serving.Reply(429, {"error": "too many requests"}, headers)
        data = self._chunks.get(digest)
        if data is None:
            return serving.Reply(404, {"error": "not_found"})
        sent = self._corrupted(serving.Reply(200, data), call).body
        call.request.setHeader("Content-Length", str(len(sent)))
        stall = self.fault("stall", call)
        for start in range(0, len(sent), SLICE_BYTES):
            part = sent[start : start + SLICE_BYTES]
            wait_s = self._link.reserve(len(part), self.now())
            if stall and start <= len(sent) // 2 < start + SLICE_BYTES:
                wait_s += stall.delay_s
            await task.deferLater(reactor, wait_s)
            call.request.write(part)
            self.count("bytes_sent", len(part))
        self.count("chunks_sent")
        return None


def main(
    port=0, rate_bytes_per_s=RATE_BYTES_PER_S, requests_per_s=REQUESTS_PER_S, seed=0
):
    """Serve the origin.

    :param port: TCP port, 0 for one from the kernel.
    :param rate_bytes_per_s: rate of the outgoing link.
    :param requests_per_s: limit of requests.
    :param seed: seed of the random choices.
    """
    origins = Origins(rate_bytes_per_s, requests_per_s, seed)
    serving.run([("origins", origins, port)])


if __name__ == "__main__":
    serving.start(main)
