"""Detection and quarantine of requests that repeatedly crash engines."""

import dataclasses
import hashlib

from cicadaplank.messages import types

CRASH_LIMIT = 2
SUSPICION_S = 600.0
MAX_SUSPECTS = 1_000
MAX_INCIDENTS = 8
# An endpoint takes longer than this to restart its engine, so that two reports about it
# within this time refer to the same crash.
SAME_CRASH_S = 5.0


def digest(client, row, method, path, body):
    """Return the digest that identifies copies and retries of a request.

    :param client: client name.
    :param row: row name.
    :param method: HTTP method.
    :param path: HTTP path.
    :param body: request body.
    :returns: SHA-256 in hex.
    """
    hasher = hashlib.sha256()
    for part in (client.encode(), row.encode(), method.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


@dataclasses.dataclass(frozen=True)
class Broadcast:
    """Action: send a message now to every connected entry instance.

    Receivers forward reports that are new to them, so that these reach entry instances
    that are not connected to this one.

    :param message: :class:`cicadaplank.messages.types.SuspectReport`.
    :param exclude: entry instance from which it was received, or empty.
    """

    message: types.SuspectReport
    exclude: str = ""


@dataclasses.dataclass(frozen=True)
class _Incident:
    """One crash of the engine at an endpoint."""

    endpoint: str
    crashed_s: float

    def is_same_crash(self, other):
        close_in_time = abs(self.crashed_s - other.crashed_s) < SAME_CRASH_S
        return close_in_time and self.endpoint == other.endpoint


class CrashTracker:
    """Engine crashes by request digest, as seen by all entry instances.

    A crash counts once, however many copies of the request were running on the endpoint
    and however many entry instances report it. A request that was part of
    ``crash_limit`` crashes is not run until enough of them have expired.

    :param crash_limit: number of crashes from which on a request is not run.
    :param suspicion_s: seconds for which a crash counts.
    :ivar evicted: request digests and incidents dropped because ``MAX_SUSPECTS`` or
        ``MAX_INCIDENTS`` was reached.
    """

    def __init__(self, crash_limit=CRASH_LIMIT, suspicion_s=SUSPICION_S):
        self._crash_limit = crash_limit
        self._suspicion_s = suspicion_s
        self._incidents = {}
        self.evicted = 0

    def __len__(self):
        return len(self._incidents)

    def crashes(self, request_digest, now_s):
        """Return the number of unexpired crashes that the request was part of.

        :param request_digest: digest of the request.
        :param now_s: Unix time in seconds.
        :returns: number of crashes over all entry instances.
        """
        return len(self._unexpired(request_digest, now_s))

    def blocked_for_s(self, request_digest, now_s):
        """Return for how long the request must not be run.

        :param request_digest: digest of the request.
        :param now_s: Unix time in seconds.
        :returns: seconds until it may run, 0.0 when it may run now.
        """
        incidents = self._unexpired(request_digest, now_s)
        if len(incidents) < self._crash_limit:
            return 0.0
        times = sorted(incident.crashed_s for incident in incidents)
        return times[-self._crash_limit] + self._suspicion_s - now_s

    def record_crash(self, request_digest, endpoint, now_s):
        """Record a crash that this entry instance observed.

        :param request_digest: digest of a request that was running at the time.
        :param endpoint: instance name of the agent.
        :param now_s: Unix time in seconds.
        :returns: tuple with a :class:`Broadcast`; empty when the crash is known.
        """
        report = types.SuspectReport(request_digest, endpoint, now_s)
        return self.merge_report("", report, now_s)

    def clear(self, request_digest):
        """Discard the crashes of a request that has been answered."""
        self._incidents.pop(request_digest, None)

    def merge_report(self, sender, report, now_s):
        """Record a crash reported by another entry instance.

        :param sender: name of the other entry instance.
        :param report: :class:`cicadaplank.messages.types.SuspectReport`.
        :param now_s: Unix time in seconds.
        :returns: tuple with a :class:`Broadcast` that forwards the report, empty when
            it is already known, has expired or exceeds ``MAX_INCIDENTS``.
        """
        incident = _Incident(report.endpoint, min(report.crashed_unix_s, now_s))
        known = self._unexpired(report.digest, now_s)
        if incident.crashed_s + self._suspicion_s <= now_s:
            return ()
        if any(incident.is_same_crash(other) for other in known):
            return ()
        if len(known) >= MAX_INCIDENTS:
            self.evicted += 1
            return ()
        if not known:
            self._evict_if_full(now_s)
        self._incidents[report.digest] = [*known, incident]
        return (Broadcast(report, sender),)

    def _unexpired(self, request_digest, now_s):
        incidents = self._incidents.get(request_digest, ())
        return [i for i in incidents if i.crashed_s + self._suspicion_s > now_s]

    def _evict_if_full(self, now_s):
        if len(self._incidents) < MAX_SUSPECTS:
            return
        for name in list(self._incidents):
            if not self._unexpired(name, now_s):
                del self._incidents[name]
        if len(self._incidents) < MAX_SUSPECTS:
            return

        # Requests below the crash limit may not be the cause and are evicted first;
        # among equals, the one whose last recorded crash is the oldest.
        def eviction_order(name):
            incidents = self._incidents[name]
            return len(incidents) >= self._crash_limit, incidents[-1].crashed_s

        del self._incidents[min(self._incidents, key=eviction_order)]
        self.evicted += 1
