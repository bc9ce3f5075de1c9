"""Clients of the soak, which keep connections open and send request after request."""

import contextlib
import http.client
import json
import random
import threading
import time

from soak import checks, incidents, servers

TIMEOUT_S = 4.0
PAUSE_S = (0.005, 0.04)
EVENTS = 8
KINDS = ("once", "free", "free", "stream")


class Client(threading.Thread):
    """One client, which uses one entry process after another.

    :param name: its name; requests of all clients differ by it.
    :param fleet: :class:`soak.fleet.Fleet`.
    """

    def __init__(self, name, fleet):
        super().__init__(daemon=True)
        self.seen = []
        self.is_ending = False
        self._name = name
        self._fleet = fleet
        self._rng = random.Random(f"{fleet.seed}-{name}")
        self._connections = {}
        self._count = 0
        self._key_rng = random.Random(f"{fleet.seed}-{name}-keys")

    def run(self):
        """Send requests until the end."""
        while not self.is_ending:
            self._one()
            time.sleep(self._rng.uniform(*PAUSE_S))
        for connection in self._connections.values():
            connection.close()

    def _one(self):
        self._count += 1
        self._leaving = self._limited = ""
        self._written_s = None
        request = f"r-{self._name}-{self._count}"
        kind = self._rng.choice(KINDS)
        entry = self._rng.randrange(len(self._fleet.entries))
        process = self._fleet.entries[entry]
        version = self._fleet.version - self._rng.choice((0, 0, 1))
        life, address = process.life, process.front
        events = EVENTS if kind == "stream" else 0
        key = self._key_rng.choice(("key-1",) * 12 + self._fleet.extra_keys)
        sent_s = time.monotonic()
        status, body, whole = self._ask(address, version, kind, request, events, key)
        self.seen.append(
            checks.Seen(
                request,
                kind,
                entry,
                # An answer of a process that was replaced meanwhile proves nothing.
                life if life == process.life else -1 - self._count,
                status,
                body,
                events,
                whole,
                version,
                sent_s,
                time.monotonic(),
                key,
                self._leaving,
                self._limited,
                self._written_s,
            )
        )

    def _ask(self, address, version, kind, request, events, key):
        connection = self._connections.get(address)
        if connection is None:
            connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
            self._connections[address] = connection
        headers = {
            "Host": "host.example",
            "Authorization": f"Bearer {key}",
            "X-Prefix-Hash": f"system:10,document-{self._count % 3}:10,{request}:10",
            "X-Attempt-Id": request,
            "X-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
            "X-Model": incidents.MODEL,
        }
        body = json.dumps({"id": request, "events": events})
        status = 0
        try:
            connection.request("POST", f"/v{version}/{kind}/x", body, headers)
            self._written_s = time.monotonic()
            response = connection.getresponse()
            status = response.status
            if response.getheader("Server-Leaving") == "1":
                self._leaving = response.getheader("X-Server-Name")
            if response.getheader("Server-Limit") not in (None, servers.NO_LIMIT):
                self._limited = response.getheader("X-Server-Name")
            answer = response.read()
            if response.will_close:
                self._forget(address)
            return status, answer, True
        except http.client.IncompleteRead as fault:
            self._forget(address)
            return status, fault.partial, False
        except (OSError, http.client.HTTPException):
            self._forget(address)
            return status, b"", False

    def _forget(self, address):
        connection = self._connections.pop(address, None)
        if connection is not None:
            with contextlib.suppress(OSError):
                connection.close()
