"""Stand-in of a plain service: ledger, portal, order and pricing, stock."""

import collections
import hashlib

from twisted.internet import reactor, task

from standins import serving

ATTEMPT_HEADER = "X-Cicadaplank-Attempt"
ONCE_HEADER = "Idempotency-Key"
CAPACITY = 8
WORK_S = 0.005
MAX_JOURNAL = 200_000


class Services(serving.StandIn):
    """Executes each call that it gets and records it; it removes no duplicates.

    Further faults: ``cross`` answers with the attempt of another call.

    :param name: name of the service.
    :param work_s: duration of a call.
    :param capacity: calls that run at once; a further one is refused.
    :param seed: seed of the random choices.
    """

    def __init__(self, name="service", work_s=WORK_S, capacity=CAPACITY, seed=0):
        super().__init__(("cross",), seed)
        self.name = name
        self.work_s = work_s
        self.capacity = capacity
        self._running = 0
        self.journal = collections.deque(maxlen=MAX_JOURNAL)
        self.route("GET", "/load", self._load)
        self.route("GET", "/journal", self._journal)
        for method in ("GET", "POST", "PUT", "DELETE"):
            self.route(method, "/calls/<path:operation>", self._call)

    def _load(self, call):
        report = {"running": self._running, "waiting": 0, "capacity": self.capacity}
        return serving.Reply(200, dict(report, measured_unix_s=self.now()))

    def _journal(self, call):
        return serving.Reply(200, {"executions": list(self.journal)})

    async def _call(self, call, operation):
        attempt = call.header(ATTEMPT_HEADER)
        if self._running >= self.capacity:
            return serving.unavailable("all slots are taken")
        self._running += 1
        try:
            entry = {"attempt": attempt, "operation": operation}
            entry["once_key"] = call.header(ONCE_HEADER)
            entry["body_digest"] = hashlib.sha256(call.body).hexdigest()
            self.journal.append(entry)
            self.count("executions")
            await task.deferLater(reactor, self.work_s)
        finally:
            self._running -= 1
        result = dict(entry, service=self.name, number=self.counters["executions"])
        if self.fault("cross", call):
            result["attempt"] = attempt = f"other-{attempt}"
        return serving.Reply(200, result, {ATTEMPT_HEADER: attempt})


def main(services="service:0", work_s=WORK_S, capacity=CAPACITY, seed=0):
    """Serve plain services.

    :param services: ``name:port,...``.
    :param work_s: duration of a call.
    :param capacity: calls that run at once.
    :param seed: seed of the random choices.
    """
    serving.run(
        [
            (name, Services(name, work_s, capacity, seed), port)
            for name, port in serving.named_ports(services)
        ]
    )


if __name__ == "__main__":
    serving.start(main)
