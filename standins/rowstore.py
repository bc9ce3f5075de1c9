"""Stand-ins of the users' platform: a store of rows and a back end."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

LOOPBACK = "127.0.0.1"


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Write no log."""

    def reply(self, status, body, headers=()):
        """Send an answer with a length."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, handler):
        super().__init__((LOOPBACK, 0), handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Pass over connections that their clients break off."""

    @property
    def address(self):
        """Return ``host:port``."""
        return f"{LOOPBACK}:{self.server_port}"

    def stop(self):
        """Stop serving."""
        self.shutdown()
        self.server_close()


# Interval at which polls that are held look whether the history was dropped.
HELD_CHECK_S = 0.05


class HistoryDropped(Exception):
    """The store no longer has the changes since a version."""


class RowStore(_Server):
    """Store of rows with long polls for changes.

    :ivar is_down: answers 503 to everything while True.
    """

    def __init__(self):
        self.is_down = False
        self.version = 0
        self._oldest_version = 0
        self._is_holding = False
        self._rows = {}
        self._changed = threading.Condition()
        super().__init__(_StoreHandler)

    def put(self, table, key, value):
        """Write one row; the value is sent as JSON, bytes as they are."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(table, key, {"value": base64.b64encode(data).decode()})

    def remove(self, table, key):
        """Remove one row."""
        self._write(table, key, {"deleted": True})

    def _write(self, table, key, fields):
        with self._changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, **fields}
            self._rows[table, key] = {**row, "ver": self.version}
            self._changed.notify_all()

    def transact(self, expected, puts):
        """Write rows if others have the versions that are expected, 0 for no row.

        :returns: whether they were written.
        """
        with self._changed:
            for row in expected:
                if self._version_of(row["table"], row["key"]) != row["ver"]:
                    return False
            for row in puts:
                value = json.loads(base64.b64decode(row["value"]))
                self.put(row["table"], row["key"], value)
            return True

    def _version_of(self, table, key):
        row = self._rows.get((table, key), {"deleted": True})
        return 0 if row.get("deleted") else row["ver"]

    def hold_polls(self):
        """Answer no long poll until the history is dropped."""
        self._is_holding = True

    def drop_history(self):
        """Forget all changes so far; polls from an earlier version get 410."""
        with self._changed:
            self._oldest_version = self.version
            self._is_holding = False
            self._changed.notify_all()

    def rows(self, table, after=-1, wait_s=0.0):
        """Return the rows of a table that changed after a version, and the version.

        :raises HistoryDropped: when the changes since that version were dropped.
        """
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                while self._is_holding and after >= 0:
                    self._changed.wait(HELD_CHECK_S)
                if 0 <= after < self._oldest_version:
                    raise HistoryDropped(f"changes after {after}")
                found = [
                    row
                    for (name, _), row in self._rows.items()
                    if name == table
                    and row["ver"] > after
                    and not (after < 0 and row.get("deleted"))
                ]
                left_s = deadline_s - time.monotonic()
                if found or left_s <= 0:
                    return found, self.version
                self._changed.wait(left_s)


def _now_ms():
    return int(1000 * time.monotonic())


class _StoreHandler(_Handler):
    def do_GET(self):
        """Answer reads."""
        path, _, query = self.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        after, wait_s = -1, 0.0
        if path == "/v1/rows-feed":
            after, wait_s = int(fields["after"]), int(fields["wait_ms"]) / 1000
        try:
            found, version = self.server.rows(fields["table"], after, wait_s)
        except HistoryDropped:
            self.reply(410, b"{}")
            return
        if self.server.is_down:
            self.reply(503, b"")
            return
        answer = {"rows": found, "has_more": False, "ver": version}
        answer["now_ms"] = _now_ms()
        self.reply(200, json.dumps(answer).encode())

    def do_POST(self):
        """Answer writes."""
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.server.is_down:
            self.reply(503, b"")
            return
        if not self.server.transact(body["expected"], body["puts"]):
            self.reply(412, b"{}")
            return
        answer = {"ver": self.server.version, "now_ms": _now_ms()}
        self.reply(200, json.dumps(answer).encode())


class BackEnd(_Server):
    """Back end that answers after a time.

    :param delay_s: time that a request takes.
    :ivar seen: headers of the requests that it ran.
    """

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.seen = []
        super().__init__(_BackEndHandler)


class _BackEndHandler(_Handler):
    def do_POST(self):
        """Run a request."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.seen.append(dict(self.headers.items()))
        time.sleep(self.server.delay_s)
        headers = [
            ("X-Attempt-Id", self.headers["X-Attempt-Id"]),
            ("X-Server-Signature", "s.1"),
        ]
        self.reply(200, b"answer to " + body, headers)
