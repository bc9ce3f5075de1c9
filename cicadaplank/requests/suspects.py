"""Detection of requests that crash endpoints."""

import dataclasses
import hashlib

from cicadaplank.messages import types

CRASH_LIMIT = 2
SUSPICION_S = 600.0
MAX_SUSPECTS = 1_000
MAX_INCIDENTS = 8
# An endpoint needs longer than this to restart its engine, so two reports of it within
# this time are about the same crash.
SAME_CRASH_S = 5.0


def digest(client, row, method, path, body):
    """Return the digest by which a repeated request is recognised.

    :param client: client name.
    :param row: row name.
    :param method: HTTP method.
    :param path: HTTP path.
    :param body: request body.
    :returns: SHA-256 in hex.
    """
    total = hashlib.sha256()
    for part in (client.encode(), row.encode(), method.encode(), path.encode(), body):
        total.update(len(part).to_bytes(8, "big"))
        total.update(part)
    return total.hexdigest()


@dataclasses.dataclass(frozen=True)
class Broadcast:
    """Send a message now to every connected entry instance.

    Receivers forward what is new to them, so that it reaches entry instances that are
    not connected to this one.

    :param message: :class:`cicadaplank.messages.types.SuspectReport`.
    :param exclude: entry instance that sent it, or empty.
    """

    message: types.SuspectReport
    exclude: str = ""


@dataclasses.dataclass(frozen=True)
class _Incident:
    """One crash of one endpoint."""

    endpoint: str
    crashed_s: float

    def same(self, other):
        near = abs(self.crashed_s - other.crashed_s) < SAME_CRASH_S
        return near and self.endpoint == other.endpoint


class Suspects:
    """Crashes by request digest, over all entry instances.

    A crash counts once, however many copies of the request were running on the endpoint
    and however many entry instances report it.

    :param crash_limit: crashes after which a request is not run.
    :param suspicion_s: time for which a crash counts.
    :ivar evicted: suspicions and incidents dropped because a bound was reached.
    """

    def __init__(self, crash_limit=CRASH_LIMIT, suspicion_s=SUSPICION_S):
        self._crash_limit = crash_limit
        self._suspicion_s = suspicion_s
        self._incidents = {}
        self.evicted = 0

    def __len__(self):
        return len(self._incidents)

    def crashes(self, request_digest, now_s):
        """Return how many crashes the request was part of.

        :param request_digest: digest of the request.
        :param now_s: current time in seconds.
        :returns: crashes over all entries that have not expired.
        """
        return len(self._current(request_digest, now_s))

    def blocked_for_s(self, request_digest, now_s):
        """Return how long the request is not run.

        :param request_digest: digest of the request.
        :param now_s: current time in seconds.
        :returns: seconds until it may run, 0.0 when it may run now.
        """
        incidents = self._current(request_digest, now_s)
        if len(incidents) < self._crash_limit:
            return 0.0
        times = sorted(incident.crashed_s for incident in incidents)
        return times[-self._crash_limit] + self._suspicion_s - now_s

    def crashed(self, request_digest, endpoint, now_s):
        """Count a crash that this entry instance saw.

        :param request_digest: digest of a request that was running.
        :param endpoint: instance name of the agent.
        :param now_s: Unix time in seconds.
        :returns: tuple with a :class:`Broadcast`, empty when the crash is known.
        """
        report = types.SuspectReport(request_digest, endpoint, now_s)
        return self.reported("", report, now_s)

    def cleared(self, request_digest):
        """Forget the crashes of a request that was answered."""
        self._incidents.pop(request_digest, None)

    def reported(self, sender, report, now_s):
        """Take over a report of another entry instance.

        :param sender: name of the other entry instance.
        :param report: :class:`cicadaplank.messages.types.SuspectReport`.
        :param now_s: Unix time in seconds.
        :returns: tuple with a :class:`Broadcast` that forwards the report, empty when
            it is known or has expired.
        """
        incident = _Incident(report.endpoint, min(report.crashed_unix_s, now_s))
        known = self._current(report.digest, now_s)
        if incident.crashed_s + self._suspicion_s <= now_s:
            return ()
        if any(incident.same(other) for other in known):
            return ()
        if len(known) >= MAX_INCIDENTS:
            self.evicted += 1
            return ()
        if not known:
            self._make_room(now_s)
        self._incidents[report.digest] = [*known, incident]
        return (Broadcast(report, sender),)

    def _current(self, request_digest, now_s):
        incidents = self._incidents.get(request_digest, ())
        return [i for i in incidents if i.crashed_s + self._suspicion_s > now_s]

    def _make_room(self, now_s):
        if len(self._incidents) < MAX_SUSPECTS:
            return
        for name in list(self._incidents):
            if not self._current(name, now_s):
                del self._incidents[name]
        if len(self._incidents) < MAX_SUSPECTS:
            return

        # A request seen in one crash may be innocent; confirmed ones stay longest.
        def order(name):
            incidents = self._incidents[name]
            return len(incidents) >= self._crash_limit, incidents[-1].crashed_s

        del self._incidents[min(self._incidents, key=order)]
        self.evicted += 1
