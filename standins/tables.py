"""Stand-in of the transactional table service."""

import copy
import time

from cicadaplank.world import links
from standins import serving

READS_PER_S = 2000
WRITES_PER_S = 300
MAX_RECORDS = 1_000_000


class Tables(serving.StandIn):
    """Records with revisions, and transactions with conditions.

    Further faults: ``snapshot`` keeps a copy of all records, ``restore`` puts the copy
    back, as when the service is restored from an older backup.

    :param reads_per_s: reads a second above which a read is refused.
    :param writes_per_s: transactions a second above which one is refused.
    :param seed: seed of the random choices.
    :param clock: function that returns the Unix time in seconds.
    """

    def __init__(
        self,
        reads_per_s=READS_PER_S,
        writes_per_s=WRITES_PER_S,
        seed=0,
        clock=time.time,
    ):
        super().__init__(("snapshot", "restore"), seed, clock)
        now_s = self.now()
        self._reads = links.TokenBucket(reads_per_s, reads_per_s, now_s)
        self._writes = links.TokenBucket(writes_per_s, writes_per_s, now_s)
        self._records = {}
        self._snapshot = {}
        self._revision = 0
        self.route("POST", "/read", self._read)
        self.route("POST", "/read_prefix", self._read_prefix)
        self.route("POST", "/transact", self._transact)

    def act(self, fault):
        """Carry out ``snapshot`` and ``restore``."""
        if fault.kind == "snapshot":
            self._snapshot = copy.deepcopy(self._records)
        elif fault.kind == "restore":
            self._records = copy.deepcopy(self._snapshot)
        return fault.kind in ("snapshot", "restore")

    def _record(self, key):
        value, revision = self._records.get(key, (None, 0))
        return {"key": key, "value": value, "revision": revision}

    def _read(self, call):
        keys = call.json()["keys"]
        if not self._reads.take(1, self.now()):
            return serving.unavailable("too many reads")
        self.count("reads")
        records = [self._record(key) for key in keys if key in self._records]
        return serving.Reply(200, {"records": records})

    def _read_prefix(self, call):
        document = call.json()
        prefix, limit = document["prefix"], document["limit"]
        if not self._reads.take(1, self.now()):
            return serving.unavailable("too many reads")
        self.count("reads")
        keys = sorted(key for key in self._records if key.startswith(prefix))
        records = [self._record(key) for key in keys[:limit]]
        return serving.Reply(200, {"records": records, "more": len(keys) > limit})

    def _transact(self, call):
        document = call.json()
        conditions, puts = document["conditions"], document["puts"]
        if not self._writes.take(1, self.now()):
            return serving.unavailable("too many writes")
        self.count("writes")
        failed = [
            self._record(key)
            for key, revision in conditions
            if self._record(key)["revision"] != revision
        ]
        if failed:
            return serving.Reply(409, {"records": failed})
        if len(self._records) + len(puts) > MAX_RECORDS:
            return serving.unavailable("full")
        self._revision += 1
        for key, value in puts:
            if value is None:
                self._records.pop(key, None)
            else:
                self._records[key] = (value, self._revision)
        return serving.Reply(200, {"revision": self._revision})


def main(port=0, reads_per_s=READS_PER_S, writes_per_s=WRITES_PER_S, seed=0):
    """Serve the table service.

    :param port: TCP port, 0 for one from the kernel.
    :param reads_per_s: limit of reads.
    :param writes_per_s: limit of transactions.
    :param seed: seed of the random choices.
    """
    serving.run([("tables", Tables(reads_per_s, writes_per_s, seed), port)])


if __name__ == "__main__":
    serving.start(main)
