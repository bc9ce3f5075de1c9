"""Entry processes, servers, links and the store of one seed."""

import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from soak import checks, clients, extras, links, plan, servers
from standins import rowstore

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRIES, SERVERS, CLIENTS = 3, 5, 8
SERVICE = "s"
READY_S = 20.0
GRACE_S = 4.0
# After the last fault ends: ejections last up to 8 s.
SETTLE_S = 4.0
AFTER_S = 2.0
# Limits that servers name, and how long at least.
LIMITS_PER_S = (1.5, 4.0, 0.5)
LIMITED_S = 6.0
# Time after which a crashed server is replaced.
RESTART_S = 1.0


def _free_port():
    with socket.socket() as sock:
        sock.bind((rowstore.LOOPBACK, 0))
        return sock.getsockname()[1]


def configuration(version, keys=()):
    """Return a configuration that knows the paths of its version and all before.

    :param version: its number.
    :param keys: further API keys.
    """
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
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/h", "max_conns": 60}],
        "limits": {},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1", *keys]}],
    }


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a seed has shown.

    :param violations: list of texts.
    :param requests: number of requests during the faults.
    :param words: number of answers to clients by what the server said of itself.
    """

    violations: list
    requests: int
    words: collections.Counter


class EntryProcess:
    """One entry process that can be killed, stopped, frozen and started again.

    :param folder: folder for settings and logs.
    :param name: its name.
    :param host: loopback address of its own, since entries know each other by address.
    :param store: address of the store.
    :param seeds: addresses of all entries.
    """

    def __init__(self, folder, name, host, store, seeds):
        self.life = 0
        self.name = name
        self.front = f"{host}:{_free_port()}"
        self.ready = f"{host}:{_free_port()}"
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process = None
        self._lock = threading.Lock()
        document = {
            "name": name,
            "host": host,
            "region": "r",
            "data_centre": "a",
            "listen": {"front": self.front, "ready": self.ready},
            "ports": [seeds[0][1], seeds[0][1]],
            "metrics_port": _free_port(),
            "seeds": [seed for seed, _ in seeds],
            "store": store,
            "bounds": {
                "retry_ratio": checks.RETRY_SHARE,
                "retry_slack": checks.RETRY_ALLOWANCE,
                "retry_window_s": 10,
                "version_ms": 8000,
                "grace_s": GRACE_S,
            },
        }
        self._path.write_text(json.dumps(document))

    def start(self):
        """Start the process."""
        with self._log.open("a") as log:
            self.life += 1
            self._process = subprocess.Popen(
                [sys.executable, "-m", "cicadaplank.platform", "entry"],
                cwd=ROOT,
                env={**os.environ, "CICADAPLANK_SETTINGS": str(self._path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number):
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def restart(self, number):
        """End the process by a signal, and start it again."""
        with self._lock:
            self.send(signal.SIGCONT)
            self.send(number)
            try:
                self._process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.send(signal.SIGKILL)
                self._process.wait()
            self.start()

    def stop(self):
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()

    def is_ready(self):
        """Tell whether it serves."""
        host, _, port = self.ready.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    @property
    def log(self):
        """Return what it wrote."""
        return self._log.read_text(errors="replace")


class Fleet:
    """Everything that one seed runs.

    :param seed: integer.
    :param folder: folder for settings and logs.
    :param has_extras: whether the additional events and clients are played.
    :param has_words: whether servers say of themselves what no record says.
    """

    def __init__(self, seed, folder, has_extras, has_words):
        self.seed = seed
        self._has_words = has_words
        self._has_extras = has_extras
        self.extra_keys = extras.KEYS if has_extras else ()
        self._keys = list(self.extra_keys)
        self._crashes_s = []
        self._left = []
        self._limits = []
        # The newest configuration, and the newest whose paths clients ask for.
        self._newest = self.version = 2
        self._naming = threading.Lock()
        self.ledger = servers.Ledger()
        self.drained = {}
        self._busy = []
        self._store = rowstore.RowStore()
        self._store.put("op", "config", configuration(self.version, self._keys))
        self._store_links = [
            links.Link((rowstore.LOOPBACK, self._store.server_port))
            for _ in range(ENTRIES)
        ]
        self.servers, self.links = [], []
        for number in range(SERVERS):
            self._add_server(number)
        port = _free_port()
        hosts = [f"127.0.0.{number + 2}" for number in range(ENTRIES)]
        seeds = [(host, port) for host in hosts]
        self.entries = [
            EntryProcess(folder, f"edge-{n}", host, link.address, seeds)
            for n, (host, link) in enumerate(zip(hosts, self._store_links, strict=True))
        ]

    def _add_server(self, number):
        server = servers.Server(f"i-{number}", self.ledger)
        server.crash = self._crash
        link = links.Link((servers.LOOPBACK, server.server_port))
        self.servers.append(server)
        self.links.append(link)
        self._list(number, "ready")

    def _list(self, number, state):
        row = {"service": SERVICE, "address": self.links[number].address, "zone": "a"}
        row |= {"slots": 6, "state": state, "seq": 1}
        self._store.put("servers", self.servers[number].name, row)

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
        events.sort(key=lambda event: event.at_s)
        seen = self._load("faults", lambda: self._play(events))
        self._wait_ready()
        time.sleep(SETTLE_S)
        after = self._load("after", lambda: time.sleep(AFTER_S))
        revoked = set(self.extra_keys) - set(self._keys)
        found = checks.Extras(revoked, self._left, self._crashes_s)
        violations = checks.violations(seen, after, self.ledger, self.drained, found)
        violations += checks.limits(self._limits, (*seen, *after), self.ledger)
        words = collections.Counter(
            leaving=sum(1 for each in (*seen, *after) if each.leaving),
            limit=sum(1 for each in (*seen, *after) if each.limited),
        )
        return Outcome(violations, len(seen), words)

    def _wait_ready(self):
        deadline_s = time.monotonic() + READY_S
        while late := [entry for entry in self.entries if not entry.is_ready()]:
            if time.monotonic() > deadline_s:
                logs = {entry.name: entry.log[-400:] for entry in late}
                raise TimeoutError(f"not ready after {READY_S} s: {logs}")
            time.sleep(0.05)

    def _load(self, name, function):
        running = [clients.Client(f"{name}-{n}", self) for n in range(CLIENTS)]
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
        return [each for client in running for each in client.seen]

    def _play(self, events):
        start_s = time.monotonic()
        for event in events:
            time.sleep(max(0.0, start_s + event.at_s - time.monotonic()))
            act = getattr(self, f"_{event.kind}")
            thread = threading.Thread(target=act, args=(event,), daemon=True)
            thread.start()
            self._busy.append(thread)
        for thread in self._busy:
            thread.join(READY_S)

    # Events.

    def _server(self, event):
        server = self.servers[event.target % len(self.servers)]
        server.mode = event.detail
        time.sleep(event.for_s)
        server.mode = "ok"

    def _link(self, event):
        return self.links[event.target % len(self.links)]

    def _link_delay(self, event):
        self._link(event).delay_s = 0.1
        time.sleep(event.for_s)
        self._link(event).delay_s = 0.0

    def _link_reset(self, event):
        self._link(event).reset()

    def _link_silent(self, event):
        link = self._link(event)
        link.silent.add(event.detail)
        time.sleep(event.for_s)
        link.silent.discard(event.detail)

    def _entry(self, event):
        return self.entries[event.target % len(self.entries)]

    def _entry_kill(self, event):
        self._entry(event).restart(signal.SIGKILL)

    def _entry_term(self, event):
        self._entry(event).restart(signal.SIGTERM)

    def _entry_freeze(self, event):
        self._entry(event).send(signal.SIGSTOP)
        time.sleep(event.for_s)
        self._entry(event).send(signal.SIGCONT)

    def _hup(self, event):
        self._entry(event).send(signal.SIGHUP)

    def _store_down(self, event):
        self._store.is_down = True
        time.sleep(event.for_s)
        self._store.is_down = False

    def _store_silent(self, event):
        for link in self._store_links:
            link.silent.add("back")
        time.sleep(event.for_s)
        for link in self._store_links:
            link.silent.discard("back")

    def _store_partial(self, event):
        link = self._store_links[event.target % ENTRIES]
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
            self._crashes_s.append(time.monotonic())
        self.links[number].stop()
        self._list(number, "crashed")
        threading.Timer(RESTART_S, self._replace).start()

    def _replace(self):
        with self._naming:
            self._add_server(len(self.servers))

    def _revoke(self, event):
        with self._naming:
            if not self._keys:
                return
            self._keys.pop(event.target % len(self._keys))
            self._newest += 1
            self._store.put("op", "config", configuration(self._newest, self._keys))

    def _configuration(self, event):
        with self._naming:
            self._newest += 1
            named = self._newest
            self._store.put("op", "config", configuration(named, self._keys))
        # Clients use the new paths once a change has to be in force.
        time.sleep(2.0)
        self.version = max(self.version, named)

    def _drain(self, event):
        number = len(self.servers)
        leaving = event.target % number
        if self.servers[leaving].name in self.drained:
            return
        self._add_server(number)
        self.servers[leaving].is_leaving = True
        self._list(leaving, "draining")
        if not self._store.is_down:
            self.drained[self.servers[leaving].name] = time.monotonic() + event.for_s

    def _leave_unlisted(self, event):
        """Let a server say in its answers that it leaves, while its record is ready."""
        self._add_server(len(self.servers))
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
        for server in (*self.servers, self._store):
            server.shutdown()
            server.server_close()


def play(seed, length_s, count, modes=plan.MODES, has_extras=False, has_words=False):
    """Play one seed from the start to the end.

    :param modes: modes of servers that are drawn from.
    :param has_extras: whether the additional events and clients are played.
    :param has_words: whether servers say of themselves what no record says.
    :returns: :class:`Outcome`.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(seed, pathlib.Path(folder), has_extras, has_words)
        try:
            return fleet.run(length_s, count, modes)
        finally:
            fleet.stop()
