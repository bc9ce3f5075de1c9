"""Planned work beside servers that fall silent for a while and go on."""

import random
import signal
import time

from soak import callers, timeliness

CALLERS = 24
KINDS = {
    "once": ("non_idempotent", False),
    "free": ("idempotent", False),
    "stream": ("streaming", True),
}
# A changed kind: free requests may run once, and streams may not be resumed.
CHANGED_KINDS = KINDS | {
    "free": ("non_idempotent", False),
    "stream": ("streaming", False),
}
# Share of a silence after which the configuration changes.
CHANGE_SHARES = (0.1, 0.5, 0.8)
# Callers of each stop that come late.
LATE_CALLERS = 6
CALLERS_AT_CLOSE = 4


class Planned:
    """Implementation of the kinds :data:`soak.plan.PLANNED_KINDS`.

    :param fleet: :class:`soak.fleet.Fleet`.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._dropped = set()
        self._changed = set()
        self._late = []

    def routes(self):
        """Return the routes that are in force now."""
        return [
            {
                "name": f"planned-{number}-{kind}",
                "hostname": "host.example",
                "prefix": f"/q{number}/{kind}/",
                "route_type": route_type,
                "resumable": resumable,
                "sticky": kind == "stream",
                "timeout_ms": int(callers.TIMEOUT_S * 1000),
                "goal_ms": 200,
                "priority": 1,
                "service": self._fleet.service,
                "max_attempts": 3,
            }
            for number in range(callers.ROUTES)
            if number not in self._dropped
            for kind, (route_type, resumable) in (
                CHANGED_KINDS if number in self._changed else KINDS
            ).items()
        ]

    def callers(self, name):
        """Return the callers of a phase.

        :param name: name of the phase.
        """
        names = [f"caller-{name}-{number}" for number in range(CALLERS)]
        return [callers.Caller(each, self._fleet) for each in names]

    def take_seen(self):
        """Return what the late callers have seen, and forget it."""
        late, self._late = self._late, []
        for caller in late:
            caller.join(2 * callers.TIMEOUT_S)
        return [each for caller in late for each in caller.seen]

    # Events.

    def silence(self, event):
        """Let one server send nothing for a while."""
        self._silence(event, self._fleet.servers[event.target % 5 :][:1])

    def silence_all(self, event):
        """Let all servers send nothing for a while."""
        self._silence(event, self._fleet.servers)

    def silent_change(self, event):
        """Let all servers send nothing, and change the configuration meanwhile."""
        share = CHANGE_SHARES[event.target % len(CHANGE_SHARES)]
        self._silence(event, self._fleet.servers)
        time.sleep(share * event.for_s)
        self._fleet.ledger.count("changes beside silences")
        self.change(event)

    def _silence(self, event, servers):
        self._fleet.ledger.count("silent servers", len(servers))
        now_s = time.monotonic()
        for server in servers:
            server.silence_s = (now_s, now_s + event.for_s)

    def change(self, event):
        """Drop a route or a key, or change the kinds of a route, for a while."""
        number = event.target % callers.ROUTES
        if event.detail == "key":
            self._fleet.revoke(event.target)
            return
        chosen = {"route": self._dropped, "kind": self._changed}.get(event.detail)
        if chosen is None or number in chosen:
            self._fleet.change_configuration()
            return
        chosen.add(number)
        self._fleet.change_configuration()
        time.sleep(event.for_s)
        chosen.discard(number)
        self._fleet.change_configuration()

    def leave(self, event):
        """Let a server leave that is at work."""
        self._fleet.drain(event.target)

    def reload(self, event):
        """Let an entry read its settings again."""
        self._fleet.ledger.count("reloads")
        self._entry(event).send(signal.SIGHUP)

    def planned_stop(self, event):
        """Stop an entry that is in use; callers come late in its grace period."""
        number = event.target % len(self._fleet.entries)
        entry = self._fleet.entries[number]
        name = timeliness.entry_name(number)
        rng = random.Random(f"{self._fleet.seed}-late-{event.at_s}-{event.target}")

        def signalled(at_s):
            self._fleet.ledger.count("planned stops")
            finishes = [callers.FINISH_S] * LATE_CALLERS
            finishes += [callers.FINISH_AT_CLOSE_S] * CALLERS_AT_CLOSE
            for each, finish_s in enumerate(finishes):
                caller = callers.LateCaller(
                    f"late-{number}-{entry.life}-{each}",
                    self._fleet,
                    number,
                    callers.Late.draw(rng, at_s, finish_s),
                )
                self._late.append(caller)
                caller.start()

        with self._fleet.disturbances.during(name, is_planned=True):
            entry.restart(signal.SIGTERM, signalled)

    def _entry(self, event):
        return self._fleet.entries[event.target % len(self._fleet.entries)]
