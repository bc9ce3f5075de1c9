"""Stand-ins of the users' platform for the scripts of the second review.

Only the standard library is used. They follow the pages; each runs in a process of its
own, so that the load of one does not delay another.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
MODEL = "m1"
KEY = "key-of-tenant-1"
# Bounds of sites/alcor-uy.toml.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 100,
    "version_ms": 8000,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def free_port(host=LOOPBACK):
    """Return a port of a loopback address that no socket is bound to."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the handlers: HTTP/1.1 without a log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Write no log."""

    def body(self):
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        """Send an answer with a length, in one piece."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reply_json(self, value, status=200):
        """Send a JSON answer."""
        self.reply(status, json.dumps(value).encode())


class Server(http.server.ThreadingHTTPServer):
    """Threaded HTTP server that passes over broken connections."""

    daemon_threads = True
    request_queue_size = 512

    def __init__(self, handler, host=LOOPBACK):
        super().__init__((host, 0), handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Pass over connections that break."""

    @property
    def address(self):
        """Return ``host:port``."""
        host, port = self.server_address[:2]
        return f"{host}:{port}"


class Store(Server):
    """The platform's metadata store, as far as the roles use it."""

    def __init__(self):
        self.version = 0
        self._rows = {}
        self._changed = threading.Condition()
        super().__init__(_StoreHandler)

    def put(self, table, key, value):
        """Write one row from outside, as the operator or a server does."""
        with self._changed:
            self._put(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def _put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row |= {"deleted": True} if value is None else {"value": value}
        self._rows[table, key] = row
        self._changed.notify_all()

    def _version_of(self, row):
        found = self._rows.get((row["table"], row["key"]), {"deleted": True})
        return 0 if found.get("deleted") else found["ver"]

    def transact(self, body):
        """Apply a transaction; tell whether its conditions held."""
        with self._changed:
            for row in body.get("expected") or ():
                if self._version_of(row) != row["ver"]:
                    return False
            for row in body.get("puts") or ():
                self._put(row["table"], row["key"], row["value"])
            for row in body.get("remove") or ():
                self._put(row["table"], row["key"], None)
            return True

    def rows(self, table, after=-1, wait_s=0.0):
        """Return the rows that changed after a version, and the newest version."""
        until_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                found = [
                    row
                    for (name, _), row in self._rows.items()
                    if name == table
                    and row["ver"] > after
                    and not (after < 0 and row.get("deleted"))
                ]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0:
                    found.sort(key=lambda r: r["key"] if after < 0 else r["ver"])
                    return found, self.version
                self._changed.wait(left_s)


class _StoreHandler(Handler):
    def do_GET(self):
        """Answer a read."""
        path, _, query = self.path.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-feed":
            wait_s = int(asked.get("wait_ms", 0)) / 1000
            found, version = self.server.rows(
                asked["table"], int(asked["after"]), wait_s
            )
        elif path == "/v1/rows-get":
            found, version = self.server.rows(asked["table"])
            found = [row for row in found if row["key"] >= asked.get("from", "")]
            found = found[: int(asked.get("limit", 500))]
        else:
            self.reply(404)
            return
        answer = {"rows": found, "has_more": False, "ver": version}
        self.reply_json(answer | {"now_ms": int(time.monotonic() * 1000)})

    def do_POST(self):
        """Apply a transaction."""
        body = json.loads(self.body())
        if self.path != "/v1/rows-tx" or not self.server.transact(body):
            self.reply_json({"rows": []}, 412)
            return
        self.reply_json({"ver": self.server.version, "now_ms": 0})


class Role:
    """One process of the system, started with a command of the deploy file.

    :param name: ``entry`` or ``agent``.
    :param host: loopback address of its machine.
    :param folder: temporary folder for its settings and its log.
    :param document: further fields of the settings.
    """

    def __init__(self, name, host, folder, document):
        self.host = host
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self._command = [sys.executable, "-m", "cicadaplank.platform", name]
        self._path = folder / f"{name}-{host}.json"
        self.log_path = folder / f"{name}-{host}.log"
        settings = {
            "name": f"{name}-{host}",
            "host": host,
            "region": "norte",
            "data_centre": "norte-a",
            "regions": {"norte-a": "norte"},
            "listen": {"front": self.front, "ready": self.ready},
            "metrics_port": free_port(host),
            "seeds": [],
            "link_mbps": 1000.0,
            "memory_mb": 300,
            "max_fds": 4200,
            "engine": {"address": None, "service": None},
            "bounds": BOUNDS,
        }
        self._path.write_text(json.dumps(settings | document))
        self.process = None

    def start(self):
        """Start the process."""
        path = os.pathsep.join((str(ROOT / "target" / "deps"), str(ROOT)))
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {"PYTHONPATH": path, "CICADAPLANK_SETTINGS": str(self._path)}
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=kept | environment | {"PYTHONDONTWRITEBYTECODE": "1"},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self, timeout_s=1.0):
        """Ask as the platform does; tell whether the answer is 200 in time."""
        host, _, port = self.ready.rpartition(":")
        asked = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            asked.request("GET", "/v1/readyz")
            return asked.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            asked.close()

    def wait_ready(self, limit_s=20.0):
        """Wait until the process is ready; tell whether it is."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if self.process.poll() is not None:
                return False
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class BackEnd(Server):
    """Sound server of a service without weights.

    :param name: key of its row.
    :param work_s: time that a request takes.
    :param answer_bytes: length of its answers.
    """

    def __init__(self, name, work_s=0.03, answer_bytes=800):
        self.name = name
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        super().__init__(_BackEndHandler)

    def row(self, service):
        """Return its row in the list of servers."""
        return {
            "service": service,
            "address": self.address,
            "zone": "norte-a",
            "version": 1,
            "slots": 6,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }


class _BackEndHandler(Handler):
    def do_GET(self):
        """Run a request."""
        attempt = self.headers.get("X-Attempt-Id", "")
        self.body()
        if self.headers.get("X-Expect-Instance") not in (None, self.server.name):
            self.reply(421, b"", [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")])
            return
        time.sleep(self.server.work_s)
        body = f"{attempt}:{self.server.name}:".encode()
        body += b"." * max(0, self.server.answer_bytes - len(body))
        headers = [("X-Attempt-Id", attempt), ("X-Server-Signature", "s.1")]
        self.reply(200, body, headers)

    do_POST = do_GET


def serve_back_ends():
    """Run back ends as a process of their own: print their rows, serve until killed."""
    count, work_s, answer_bytes = map(float, sys.argv[2:5])
    back_ends = [
        BackEnd(f"i-{number}", work_s, int(answer_bytes))
        for number in range(int(count))
    ]
    print(json.dumps({each.name: each.row("libro") for each in back_ends}), flush=True)
    signal.pause()


def start_back_ends(count, work_s=0.03, answer_bytes=800):
    """Start such a process.

    :returns: tuple of the process and a dict from name to row.
    """
    command = [sys.executable, __file__, "back-ends"]
    command += [str(count), str(work_s), str(answer_bytes)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    return process, json.loads(process.stdout.readline())


def configuration(routes, services, version=1):
    """Return a configuration of the operator.

    :param routes: list of routes; missing fields are filled in.
    :param services: list of services.
    """
    usual = {"hostname": "host.example", "priority": 2, "max_attempts": 2}
    usual |= {"public": False, "sticky": False, "resumable": False}
    return {
        "version": version,
        "routes": [usual | route for route in routes],
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


if __name__ == "__main__" and sys.argv[1:2] == ["back-ends"]:
    serve_back_ends()
