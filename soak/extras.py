"""Clients of the soak that leave early or share a part that crashes servers."""

import contextlib
import dataclasses
import json
import random
import socket
import struct
import threading
import time

from soak import links

BAD_PART = "bad"
PAUSE_S = 0.1
LEAVE_AFTER_S = (0.0, 0.06)
TIMEOUT_S = 2.0
# Keys that are revoked one after the other.
KEYS = tuple(f"key-extra-{number}" for number in range(6))


@dataclasses.dataclass(frozen=True)
class Left:
    """A request whose client left.

    :param request: identifier.
    :param left_s: steady time at which the client closed its connection.
    """

    request: str
    left_s: float


def _head(request, path, body, parts):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: host.example",
        "Authorization: Bearer key-1",
        f"X-Attempt-Id: {request}",
        f"X-Deadline-Ms: {int(TIMEOUT_S * 1000)}",
        f"X-Prefix-Hash: {','.join(f'{part}:10' for part in parts)}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class _Requests(threading.Thread):
    """Sends requests one after the other, each on a connection of its own.

    :param name: its name; requests differ by it.
    :param fleet: :class:`soak.fleet.Fleet`.
    """

    def __init__(self, name, fleet):
        super().__init__(daemon=True)
        self.is_ending = False
        self._name = name
        self._fleet = fleet
        self._rng = random.Random(f"{fleet.seed}-{name}")
        self._count = 0

    def run(self):
        """Send requests until the end."""
        while not self.is_ending:
            self._count += 1
            with contextlib.suppress(OSError):
                self._send(f"{self._name}-{self._count}")
            time.sleep(PAUSE_S)

    def _open(self, request, kind, parts):
        process = self._rng.choice(self._fleet.entries)
        host, _, port = process.front.rpartition(":")
        sock = socket.create_connection((host, int(port)), TIMEOUT_S)
        sock.settimeout(TIMEOUT_S)
        body = json.dumps({"id": request, "events": 8}).encode()
        path = f"/v{self._fleet.version}/{kind}/x"
        sock.sendall(_head(request, path, body, parts) + body)
        return sock


class Leavers(_Requests):
    """Clients that leave before they are answered.

    :ivar left: list of :class:`Left`.
    """

    def __init__(self, name, fleet):
        super().__init__(name, fleet)
        self.left = []

    def _send(self, request):
        kind = self._rng.choice(("free", "stream"))
        sock = self._open(request, kind, ("system", f"own-{request}"))
        time.sleep(self._rng.uniform(*LEAVE_AFTER_S))
        if self._rng.random() < 0.5:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
        self.left.append(Left(request, time.monotonic()))


class Poisoners(_Requests):
    """Clients whose prompts share the part that crashes servers, and nothing else."""

    def _send(self, request):
        document = f"document-{self._rng.randrange(3)}"
        parts = ["system", document, f"own-{request}"]
        parts.insert(self._rng.choice((1, 2)), BAD_PART)
        sock = self._open(request, "stream", parts)
        with contextlib.closing(sock):
            while sock.recv(links.PART_BYTES):
                pass
