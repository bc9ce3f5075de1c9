"""Entry processes of the soak, which can be stopped, frozen and started again."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

from soak import checks, timeliness
from standins import rowstore

ROOT = pathlib.Path(__file__).resolve().parent.parent
GRACE_S = 4.0
# The same where planned work is played.
PLANNED_GRACE_S = 8.0


def free_port():
    """Return a port that no socket is bound to."""
    with socket.socket() as sock:
        sock.bind((rowstore.LOOPBACK, 0))
        return sock.getsockname()[1]


class EntryProcess:
    """One entry process that can be killed, stopped, frozen and started again.

    :param folder: folder for settings and logs.
    :param name: its name.
    :param host: loopback address of its own, since entries know each other by address.
    :param store: address of the store.
    :param seeds: addresses of all entries.
    :param grace_s: time that a planned stop may take.
    """

    def __init__(self, folder, name, host, store, seeds, grace_s=GRACE_S):
        self.life = 0
        self.grace_s = grace_s
        # Steady times of the planned stops by life.
        self.stops_s = {}
        self.name = name
        self.front = f"{host}:{free_port()}"
        self.ready = f"{host}:{free_port()}"
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process = None
        self._lock = threading.Lock()
        # Exit codes of processes that nothing had ended.
        self.own_ends = []
        document = {
            "name": name,
            "host": host,
            "region": "r",
            "data_centre": "a",
            "listen": {"front": self.front, "ready": self.ready},
            "ports": [seeds[0][1], seeds[0][1]],
            "metrics_port": free_port(),
            "seeds": [seed for seed, _ in seeds],
            "store": store,
            "bounds": {
                "retry_ratio": checks.RETRY_SHARE,
                "retry_slack": checks.RETRY_ALLOWANCE,
                "retry_window_s": 10,
                "version_ms": int(timeliness.WEIGHTS_ALLOWED_S * 1000),
                "config_ms": int(timeliness.IN_FORCE_S * 1000),
                "grace_s": grace_s,
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

    def restart(self, number, signalled=lambda at_s: None):
        """End the process by a signal, and start it again.

        :param number: number of the signal.
        :param signalled: called with the steady time at which it was sent.
        """
        with self._lock:
            self._note_own_end()
            self.send(signal.SIGCONT)
            self.send(number)
            signalled_s = time.monotonic()
            if number == signal.SIGTERM:
                self.stops_s[self.life] = signalled_s
            signalled(signalled_s)
            try:
                self._process.wait(self.grace_s)
            except subprocess.TimeoutExpired:
                self.send(signal.SIGKILL)
                self._process.wait()
            self.start()

    def _note_own_end(self):
        code = self._process.poll()
        if code is not None:
            self.own_ends.append(code)
        return code is not None

    def revive(self):
        """Start the process again if it has ended by itself."""
        with self._lock:
            if self._note_own_end():
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
