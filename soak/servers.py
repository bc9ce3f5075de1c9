"""Servers of the soak: they run requests, and write down what reached them."""

import collections
import dataclasses
import http.server
import json
import threading
import time

LOOPBACK = "127.0.0.1"
EVENT_GAP_S = 0.01
# An answer that hangs ends with its connection after this time.
HANG_S = 8.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server.

    :param request: identifier that the client gave it.
    :param server: server name.
    :param at_s: steady time.
    :param ran: whether it was run.
    """

    request: str
    server: str
    at_s: float
    ran: bool


class Ledger:
    """What reached all servers."""

    def __init__(self):
        self.arrivals = []
        self._lock = threading.Lock()

    def add(self, request, server, ran):
        """Write down an arrival."""
        with self._lock:
            self.arrivals.append(Arrival(request, server, time.monotonic(), ran))

    def runs(self):
        """Return the number of runs by request."""
        return collections.Counter(a.request for a in self.arrivals if a.ran)


class Server(http.server.ThreadingHTTPServer):
    """One server.

    :param name: key of its row.
    :param ledger: :class:`Ledger`.
    :ivar mode: ``ok``, ``refuse`` (truthfully not run), ``error``, ``reset`` (runs and
        breaks the connection off), ``hang`` (runs and does not answer), ``wrong``
        (answers another request) or ``cut`` (breaks streams off half way).
    :ivar delay_s: time that a run takes.
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, name, ledger):
        self.name = name
        self.ledger = ledger
        self.mode = "ok"
        self.delay_s = 0.02
        super().__init__((LOOPBACK, 0), _Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Pass over connections that break: the soak breaks them."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Write no log."""

    def do_POST(self):
        """Run a request, or fail as the server's mode says."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        asked = json.loads(body)
        server, request = self.server, asked["id"]
        if self.headers["X-Expect-Instance"] != server.name:
            server.ledger.add(request, server.name, False)
            self._answer(421, b"")
            return
        runs = server.mode != "refuse"
        server.ledger.add(request, server.name, runs)
        if not runs:
            self._answer(503, b"", [("X-Not-Executed", "1")])
            return
        time.sleep(server.delay_s)
        if server.mode == "reset":
            self._break_off()
        elif server.mode == "hang":
            time.sleep(HANG_S)
            self._break_off()
        elif server.mode == "error":
            self._answer(500, b"failed")
        else:
            if server.mode == "wrong":
                request = "another request"
            if asked["events"]:
                self._stream(request, asked["events"])
            else:
                self._answer(200, f"answer to {request}".encode())

    def _head(self):
        attempt = self.headers["X-Attempt-Id"]
        if self.server.mode == "wrong":
            attempt = "another-attempt"
        self.send_header("X-Attempt-Id", attempt)
        self.send_header("X-Server-Signature", "s.1")

    def _answer(self, status, body, headers=()):
        self.send_response(status)
        self._head()
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self, request, events):
        self.send_response(200)
        self._head()
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, events + 1):
            if self.server.mode == "cut" and number > first + events // 2:
                self._break_off()
                return
            data = f"id: {number}\ndata: {request} {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(EVENT_GAP_S)
        self.wfile.write(b"0\r\n\r\n")

    def _break_off(self):
        self.close_connection = True
        self.connection.close()
