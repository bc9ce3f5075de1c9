"""Entry processes, servers, links and the store of one seed."""

import collections
import dataclasses
import pathlib
import signal
import tempfile
import threading
import time

from soak import (
    callers,
    checks,
    clients,
    entries,
    extras,
    incidents,
    links,
    lost,
    plan,
    planned,
    servers,
    timeliness,
)
from standins import rowstore

ENTRIES, SERVERS, CLIENTS = 3, 5, 8
SERVICE = "s"
READY_S = 20.0
# After the last fault ends: ejections last up to 8 s.
SETTLE_S = 4.0
SETTLING_CHANGES = 6
AFTER_S = 2.0
# Limits that servers name, and how long at least.
LIMITS_PER_S = (1.5, 4.0, 0.5)
LIMITED_S = 6.0
# Time after which a crashed server is replaced.
RESTART_S = 1.0
# Interval at which the operator tries to write while the store fails.
WRITE_CHECK_S = 0.02


def configuration(version, keys=(), has_model=False, planned_routes=None):
    """Return a configuration that knows the paths of its version and all before.

    :param version: its number.
    :param keys: further API keys.
    :param has_model: whether streams are calls of a model.
    :param planned_routes: routes that change, None without planned work.
    """
    limits = {}
    if planned_routes is not None:
        limits["header_timeout_ms"] = int(1000 * callers.TIMEOUT_S)
    kinds = {
        "once": ("non_idempotent", False),
        "free": ("idempotent", False),
        "stream": ("streaming", True),
    }
    routes = [
        {
            "name": f"{kind}-{number}",
            "hostname": "host.example",
            "prefix": f"/v{number}/{kind}/",
            "route_type": route_type,
            "resumable": resumable,
            "sticky": has_model and resumable,
            "timeout_ms": 4000,
            "goal_ms": 600,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 3,
        }
        for number in range(1, version + 1)
        for kind, (route_type, resumable) in kinds.items()
    ]
    return {
        "version": version,
        "routes": [*routes, *(planned_routes or ())],
        "services": [{"name": SERVICE, "health_path": "/h", "max_conns": 60}],
        "limits": limits,
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1", *keys]}],
    }


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a seed has shown.

    :param violations: list of texts.
    :param requests: number of requests during the faults.
    :param words: number of answers to clients by what the server said of itself.
    :param situations: number of times that each situation of an incident came about.
    """

    violations: list
    requests: int
    words: collections.Counter
    situations: collections.Counter


class Fleet:
    """Everything that one seed runs.

    :param seed: integer.
    :param folder: folder for settings and logs.
    :param has_extras: whether the additional events and clients are played.
    :param has_words: whether servers say of themselves what no record says.
    :param has_incidents: whether the events that follow incidents are played.
    :param has_planned: whether planned work and silences are played.
    :ivar service: name of the service of all servers.
    :ivar store: :class:`standins.rowstore.RowStore`.
    :ivar disturbances: :class:`soak.timeliness.Disturbances`.
    """

    service = SERVICE

    def __init__(self, seed, folder, has_extras, has_words, has_incidents, has_planned):
        self.seed = seed
        self._has_planned = has_planned
        self._planned = planned.Planned(self)
        self._has_incidents = has_incidents
        self._incidents = incidents.Incidents(self)
        self.disturbances = timeliness.Disturbances()
        self._changes = timeliness.Changes()
        self._weights = 1
        self._states = {}
        self._has_words = has_words
        self._has_extras = has_extras
        self.extra_keys = extras.KEYS if has_extras else ()
        if has_planned:
            self.extra_keys += callers.KEYS
        self._keys = list(self.extra_keys)
        self._crashes_s = []
        self._left = []
        self._limits = []
        # The newest configuration, and the newest whose paths clients ask for.
        self._newest = self.version = 2
        self._naming = threading.Lock()
        self._adding = threading.Lock()
        self.ledger = servers.Ledger()
        self.drained = {}
        self._busy = []
        self.store = rowstore.RowStore()
        self._put_configuration()
        self._store_links = [
            links.Link((rowstore.LOOPBACK, self.store.server_port))
            for _ in range(ENTRIES)
        ]
        self.servers, self.links = [], []
        for _ in range(SERVERS):
            self._add_server()
        port = entries.free_port()
        hosts = [f"127.0.0.{number + 2}" for number in range(ENTRIES)]
        seeds = [(host, port) for host in hosts]
        grace_s = entries.PLANNED_GRACE_S if has_planned else entries.GRACE_S
        self.entries = [
            entries.EntryProcess(
                folder, f"edge-{n}", host, link.address, seeds, grace_s
            )
            for n, (host, link) in enumerate(zip(hosts, self._store_links, strict=True))
        ]

    def _add_server(self):
        with self._adding:
            number = len(self.servers)
            server = servers.Server(f"i-{number}", self.ledger)
            server.weights = self._weights
            server.crash = self._crash
            link = links.Link((servers.LOOPBACK, server.server_port))
            self.servers.append(server)
            self.links.append(link)
            self._list(number, "ready")

    def _list(self, number, state):
        row = {"service": SERVICE, "address": self.links[number].address, "zone": "a"}
        models = [{"name": incidents.MODEL, "version": self.servers[number].weights}]
        row |= {"slots": 6, "state": state, "seq": 1, "models": models}
        self._states[number] = state
        self.store.put("servers", self.servers[number].name, row)

    def run(self, length_s, count, modes):
        """Play the seed.

        :param length_s: time in which faults begin.
        :param count: number of faults.
        :param modes: modes of servers that are drawn from.
        :returns: :class:`Outcome`.
        """
        for entry in self.entries:
            entry.start()
        self._wait_ready()
        events = plan.draw(self.seed, length_s, count, modes)
        if self._has_extras:
            events += plan.draw_extras(self.seed, length_s)
        if self._has_words:
            events += plan.draw_words(self.seed, length_s)
        if self._has_incidents:
            events += plan.draw_incidents(self.seed, length_s)
        seen = []
        if self._has_planned:
            quiet = plan.draw_planned(self.seed, length_s)
            seen += self._load("planned", lambda: self._play(quiet), 0)
            events += plan.draw_planned(f"{self.seed}-faults", length_s)
        events.sort(key=lambda event: event.at_s)
        if count:
            seen += self._load("faults", lambda: self._play(events))
        for entry in self.entries:
            entry.revive()
        self._wait_ready()
        if self._has_incidents:
            seen += self._load("settling", self._settle)
        elif count:
            time.sleep(SETTLE_S)
        after = self._load("after", lambda: time.sleep(AFTER_S))
        revoked = set(self.extra_keys) - set(self._keys)
        found = checks.Extras(revoked, self._left, self._crashes_s)
        violations = checks.violations(seen, after, self.ledger, self.drained, found)
        violations += checks.limits(self._limits, (*seen, *after), self.ledger)
        violations += self._check_incidents([*seen, *after])
        words = collections.Counter(
            leaving=sum(1 for each in (*seen, *after) if each.leaving),
            limit=sum(1 for each in (*seen, *after) if each.limited),
        )
        return Outcome(violations, len(seen), words, self.ledger.situations)

    def _check_incidents(self, seen):
        found = [
            f"own ends: {entry.name} ended by itself with code {code}"
            for entry in self.entries
            for code in entry.own_ends
        ]
        if self._has_incidents or self._has_planned:
            times = self._changes, self.disturbances
            found += timeliness.configurations(seen, *times)
            found += timeliness.weights(seen, self.ledger, *times)
            found += timeliness.leaving(seen, self.ledger, *times)
        if self._has_planned:
            stops_s = {
                (number, life): at_s
                for number, entry in enumerate(self.entries)
                for life, at_s in entry.stops_s.items()
            }
            grace = lost.Stops(stops_s, entries.PLANNED_GRACE_S)
            found += lost.violations(seen, self.ledger, grace, self.disturbances)
        return found

    def _wait_ready(self):
        deadline_s = time.monotonic() + READY_S
        while late := [entry for entry in self.entries if not entry.is_ready()]:
            if time.monotonic() > deadline_s:
                logs = {entry.name: entry.log[-400:] for entry in late}
                raise TimeoutError(f"not ready after {READY_S} s: {logs}")
            time.sleep(0.05)

    def _load(self, name, function, count=CLIENTS):
        running = [clients.Client(f"{name}-{n}", self) for n in range(count)]
        if self._has_planned:
            running += self._planned.callers(name)
        leavers = extras.Leavers(f"leaver-{name}", self)
        if self._has_extras:
            leavers.start()
        for client in running:
            client.start()
        function()
        leavers.is_ending = True
        self._left += leavers.left
        for client in running:
            client.is_ending = True
        for client in running:
            client.join(2 * clients.TIMEOUT_S)
        seen = [each for client in running for each in client.seen]
        return seen + self._planned.take_seen()

    def _play(self, events):
        start_s = time.monotonic()
        for event in events:
            time.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            if event.kind in plan.INCIDENT_KINDS:
                act = getattr(self._incidents, event.kind)
            elif event.kind in plan.PLANNED_KINDS:
                act = getattr(self._planned, event.kind)
            else:
                act = getattr(self, f"_{event.kind}")
            thread = threading.Thread(target=act, args=(event,), daemon=True)
            thread.start()
            self._busy.append(thread)
        while self._busy:
            self._busy.pop().join(READY_S)

    # Events.

    def _server(self, event):
        server = self.servers[event.target % len(self.servers)]
        server.mode = event.detail
        time.sleep(event.for_s)
        server.mode = "ok"

    def _link(self, event):
        return self.links[event.target % len(self.links)]

    def _link_delay(self, event):
        with self._disturbing_link(event):
            self._link(event).delay_s = 0.1
            time.sleep(event.for_s)
            self._link(event).delay_s = 0.0

    def _disturbing_link(self, event):
        number = event.target % len(self.links)
        return self.disturbances.during(self.servers[number].name)

    def _link_reset(self, event):
        with self._disturbing_link(event):
            self._link(event).reset()

    def _link_silent(self, event):
        link = self._link(event)
        with self._disturbing_link(event):
            link.silent.add(event.detail)
            time.sleep(event.for_s)
            link.silent.discard(event.detail)

    def _entry(self, event):
        return self.entries[event.target % len(self.entries)]

    def _disturbing_entry(self, event):
        name = timeliness.entry_name(event.target % len(self.entries))
        return self.disturbances.during(name)

    def _entry_kill(self, event):
        with self._disturbing_entry(event):
            self._entry(event).restart(signal.SIGKILL)

    def _entry_term(self, event):
        number = event.target % len(self.entries)
        name = timeliness.entry_name(number)
        with self.disturbances.during(name, is_planned=True):
            self._entry(event).restart(signal.SIGTERM)

    def _entry_freeze(self, event):
        with self._disturbing_entry(event):
            self._entry(event).send(signal.SIGSTOP)
            time.sleep(event.for_s)
            self._entry(event).send(signal.SIGCONT)

    def _hup(self, event):
        self._entry(event).send(signal.SIGHUP)

    def _store_down(self, event):
        with self.disturbances.during(timeliness.STORE):
            self.store.is_down = True
            time.sleep(event.for_s)
            self.store.is_down = False

    def _store_silent(self, event):
        self.silence_store(event.for_s)

    def silence_store(self, for_s):
        """Let no answer of the store arrive at entries for a while."""
        with self.disturbances.during(timeliness.STORE):
            for link in self._store_links:
                link.silent.add("back")
            time.sleep(for_s)
            for link in self._store_links:
                link.silent.discard("back")

    def _store_partial(self, event):
        link = self._store_links[event.target % ENTRIES]
        with self._disturbing_entry(event):
            link.silent.add("back")
            time.sleep(event.for_s)
            link.silent.discard("back")

    def _poison(self, event):
        clients = [extras.Poisoners(f"poison-{n}", self) for n in range(2)]
        for client in clients:
            client.start()
        time.sleep(event.for_s + checks.POISON_S)
        for client in clients:
            client.is_ending = True

    def _crash(self, server):
        """Let a server crash; another one replaces it."""
        number = self.servers.index(server)
        with self._naming:
            if server.has_crashed:
                return
            server.has_crashed = True
            self.disturbances.record(server.name, time.monotonic())
            self._crashes_s.append(time.monotonic())
        self.links[number].stop()
        self._list(number, "crashed")
        threading.Timer(RESTART_S, self._replace).start()

    def _replace(self):
        with self._naming:
            self._add_server()

    def _settle(self):
        """Change the configuration now and then, while nothing is disturbed."""
        for _ in range(SETTLING_CHANGES):
            self.change_configuration()
            time.sleep(SETTLE_S / SETTLING_CHANGES)

    def _put_configuration(self):
        routes = self._planned.routes() if self._has_planned else None
        row = configuration(self._newest, self._keys, self._has_incidents, routes)
        self.store.put("op", "config", row)

    def _await_store(self):
        """Wait until the store acknowledges writes."""
        while self._has_incidents and self.store.is_down:
            time.sleep(WRITE_CHECK_S)

    def _revoke(self, event):
        self.revoke(event.target)

    def revoke(self, target):
        """Revoke an API key.

        :param target: number that chooses the key.
        """
        self._await_store()
        with self._naming:
            if not self._keys:
                return
            key = self._keys.pop(target % len(self._keys))
            self._write_configuration()
            self._changes.revoked.append((key, time.monotonic()))

    def _write_configuration(self):
        self._newest += 1
        self._put_configuration()
        self._changes.versions.append((self._newest, time.monotonic()))
        if self._has_incidents:
            self._start_timer(timeliness.IN_FORCE_S, self._use_paths, self._newest)

    def _start_timer(self, delay_s, function, *arguments):
        timer = threading.Timer(delay_s, function, arguments)
        timer.daemon = True
        timer.start()

    def _use_paths(self, version):
        self.version = max(self.version, version)

    def change_configuration(self):
        """Write a new version of the configuration."""
        self._await_store()
        with self._naming:
            self._write_configuration()
            return self._newest

    def _configuration(self, event):
        named = self.change_configuration()
        # Clients use the new paths once a change has to be in force.
        time.sleep(timeliness.IN_FORCE_S)
        self._use_paths(named)

    def name_weights(self):
        """Name the next version of the weights and return it."""
        self._await_store()
        with self._naming:
            self._weights += 1
            row = {"model": incidents.MODEL, "version": self._weights}
            self.store.put("op", f"version/{incidents.MODEL}", row)
            self._changes.weights.append((self._weights, time.monotonic()))
            return self._weights

    def load_weights(self, delay_s, number, version):
        """Let a server load a version of the weights after a time.

        :param delay_s: that time.
        :param number: number of the server.
        :param version: version; a server that has a newer one keeps it.
        """
        self._start_timer(delay_s, self._set_weights, number, version)

    def _set_weights(self, number, version):
        with self._naming:
            if version > self.servers[number].weights:
                self.servers[number].weights = version
                self._list(number, self._states[number])

    def _drain(self, event):
        name = self.drain(event.target)
        if name is not None and not self.store.is_down:
            self.drained[name] = time.monotonic() + event.for_s

    def drain(self, target):
        """Let a server leave; another one is added before.

        :param target: number that chooses the server.
        :returns: its name, or None when it leaves already.
        """
        number = len(self.servers)
        leaving = target % number
        name = self.servers[leaving].name
        if name in self.drained:
            return None
        self._add_server()
        self.servers[leaving].is_leaving = True
        self._await_store()
        self._list(leaving, "draining")
        self._changes.leaving.append((name, time.monotonic()))
        return name

    def _leave_unlisted(self, event):
        """Let a server say in its answers that it leaves, while its record is ready."""
        self._add_server()
        self.servers[event.target % SERVERS].is_leaving = True

    def _limit(self, event):
        """Let a server name a limit for a while, in between one that is no number."""
        server = self.servers[event.target % SERVERS]
        if server.limit:
            return
        limit_per_s = LIMITS_PER_S[event.target % len(LIMITS_PER_S)]
        server.limit = str(limit_per_s)
        since_s = time.monotonic()
        time.sleep(event.for_s / 2)
        server.limit = servers.NO_LIMIT
        time.sleep(LIMITED_S)
        server.limit = str(limit_per_s)
        time.sleep(event.for_s / 2)
        self._limits.append(
            checks.Limit(server.name, limit_per_s, since_s, time.monotonic())
        )
        server.limit = ""

    def stop(self):
        """End every process and port."""
        for entry in self.entries:
            entry.stop()
        for link in (*self.links, *self._store_links):
            link.stop()
        for server in (*self.servers, self.store):
            server.shutdown()
            server.server_close()


def play(
    seed,
    length_s,
    count,
    modes=plan.MODES,
    has_extras=False,
    has_words=False,
    has_incidents=False,
    has_planned=False,
    has_faults=True,
):
    """Play one seed from the start to the end.

    :param modes: modes of servers that are drawn from.
    :param has_extras: whether the additional events and clients are played.
    :param has_words: whether servers say of themselves what no record says.
    :param has_incidents: whether the events that follow incidents are played.
    :param has_planned: whether planned work and silences are played, alone at first.
    :param has_faults: whether faults are played.
    :returns: :class:`Outcome`.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        fleet = Fleet(seed, path, has_extras, has_words, has_incidents, has_planned)
        try:
            return fleet.run(length_s, count if has_faults else 0, modes)
        finally:
            fleet.stop()
