"""Servers of the soak: they run requests, and write down what reached them."""

import collections
import dataclasses
import http.server
import json
import os
import socket
import threading
import time
import zlib

from soak import extras, links

LOOPBACK = "127.0.0.1"
EVENT_GAP_S = 0.01
# An answer that hangs ends with its connection after this time.
HANG_S = 8.0
# Time in seconds that a busy server names.
BUSY_S = "0.7"
# How the end of an answer is marked, drawn from the identifier of its request.
FRAMINGS = ("length", "chunks", "close")
# Limit that is no number and says nothing.
NO_LIMIT = "many"
ENDLESS_BLOCK_BYTES = 16 * 1024
SILENT_PLACES = ("heads", "bodies", "between events", "inside events")


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server.

    :param request: identifier that the client gave it.
    :param server: server name.
    :param at_s: steady time.
    :param ran: whether it was run.
    :param is_bad: whether its prompt has the part that crashes servers.
    :param is_misdirected: whether it was meant for another server.
    :param weights: version of the weights that the server had.
    """

    request: str
    server: str
    at_s: float
    ran: bool
    is_bad: bool = False
    is_misdirected: bool = False
    weights: int = 0


class Ledger:
    """What reached all servers."""

    def __init__(self):
        self.arrivals = []
        # Number of times that each situation came about.
        self.situations = collections.Counter()
        # Requests that a server failed, and when the last server stopped work on each.
        self.failed = set()
        self.ended_s = {}
        self._lock = threading.Lock()

    def add(self, request, server, ran, **marks):
        """Write down an arrival."""
        arrival = Arrival(request, server, time.monotonic(), ran, **marks)
        with self._lock:
            self.arrivals.append(arrival)

    def count(self, situation, number=1):
        """Count situations that came about."""
        with self._lock:
            self.situations[situation] += number

    def record_end(self, request):
        """Write down that a server works no longer on a request."""
        with self._lock:
            self.ended_s[request] = time.monotonic()

    def runs(self):
        """Return the number of runs by request."""
        return collections.Counter(a.request for a in self.arrivals if a.ran)


class Server(http.server.ThreadingHTTPServer):
    """One server.

    :param name: key of its row.
    :param ledger: :class:`Ledger`.
    :ivar mode: ``ok``, ``refuse`` (truthfully not run), ``error``, ``reset`` (runs and
        breaks the connection off), ``hang`` (runs and does not answer), ``wrong``
        (answers another request), ``busy`` (like ``refuse``, and names a time for which
        it wants no calls), ``cut`` (breaks streams off half way, inside an
        event), ``endless_head`` and ``endless_body`` (send them until the connection is
        closed) or ``garbage`` (sends further bytes after each answer).
    :ivar incident_mode: empty, ``repeat`` or ``repeat_bare`` (refuse the first request
        of a connection, and write that refusal again as they run a later one, the
        latter without its identifier), or ``broken_`` and a status (breaks streams off
        between two events, and answers those that go on with that status).
    :ivar silence_s: steady times between which it sends nothing.
    :ivar weights: version of the weights that it has.
    :ivar delay_s: time that a run takes.
    :ivar is_leaving: whether it says in its answers that it leaves.
    :ivar limit: text of the limit that it names in its answers, or empty.
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, name, ledger):
        self.name = name
        self.ledger = ledger
        self.mode = "ok"
        self.incident_mode = ""
        self.delay_s = 0.02
        self.silence_s = (0.0, 0.0)
        self.is_leaving = False
        self.limit = ""
        self.weights = 1
        self.has_crashed = False
        # Called with this server when it crashes.
        self.crash = lambda server: None
        super().__init__((LOOPBACK, 0), _Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Pass over connections that break: the soak breaks them."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # The refusal that was written on this connection, or empty.
    _refusal = b""

    def log_message(self, *args):
        """Write no log."""

    def do_POST(self):
        """Run a request, or fail as the server's mode says."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        asked = json.loads(body)
        self._request, self._began_s = asked["id"], time.monotonic()
        if self.server.mode != "ok" or self.server.incident_mode:
            self.server.ledger.failed.add(self._request)
        try:
            self._run(asked)
        finally:
            self.server.ledger.record_end(self._request)

    def _run(self, asked):
        server, request = self.server, asked["id"]
        if self.headers["X-Expect-Instance"] != server.name:
            server.ledger.add(request, server.name, False, is_misdirected=True)
            self._answer(421, b"")
            return
        mode = server.incident_mode
        repeats = mode.startswith("repeat")
        status = self._status_of_rest(mode)
        if status:
            server.ledger.count("broken streams")
        runs = server.mode not in ("refuse", "busy") and status not in (421, 503)
        runs = runs and not (repeats and not self._refusal)
        is_bad = extras.BAD_PART in self._parts()
        server.ledger.add(
            request, server.name, runs, is_bad=is_bad, weights=server.weights
        )
        if not runs:
            headers = [("X-Not-Executed", "1")]
            if server.mode == "busy":
                headers.append(("Retry-After", BUSY_S))
            if repeats:
                self._refusal = self._make_refusal(self.headers["X-Attempt-Id"])
                self.wfile.write(self._refusal)
            else:
                self._answer(status or 503, b"", headers)
            return
        if repeats:
            server.ledger.count("repeated refusals")
            is_bare = mode == "repeat_bare"
            self.wfile.write(self._make_refusal() if is_bare else self._refusal)
        # Streams take the time of their work between their events.
        work_s = asked.get("work_s", 0.0)
        time.sleep(server.delay_s + (0.0 if asked["events"] else work_s))
        self._keep_silent("heads")
        if is_bad:
            self._begin_and_crash()
            return
        if server.mode == "reset":
            self._break_off()
        elif server.mode == "hang":
            time.sleep(HANG_S)
            self._break_off()
        elif server.mode == "endless_head":
            self._send_endless(b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n")
        elif server.mode == "endless_body":
            self.send_response(200)
            self._head()
            self.end_headers()
            self._send_endless(b"id: 1\ndata: ", b"x")
        elif server.mode == "error":
            self._answer(500, b"failed")
        elif status:
            self._answer(status, b"no part of the stream")
        else:
            if server.mode == "wrong":
                request = "another request"
            if asked["events"]:
                self._stream(request, asked["events"], work_s)
            else:
                self._answer(200, f"answer to {request}".encode())
            # Bytes after an answer that ends with its connection belong to it.
            if server.mode == "garbage" and not self.close_connection:
                self.close_connection = True
                self.wfile.write(b"\x00\x01 garbage")

    def _status_of_rest(self, mode):
        """Return the status with which the rest of a stream is answered, 0 for none."""
        if not mode.startswith("broken_"):
            return 0
        if int(self.headers.get("Last-Event-Id") or 0) == 0:
            return 0
        return int(mode.rpartition("_")[2])

    def _make_refusal(self, attempt=""):
        lines = ["HTTP/1.1 503 Service Unavailable", "Content-Length: 0"]
        lines += ["X-Not-Executed: 1", "X-Server-Signature: s.1"]
        words = (
            ("X-Attempt-Id", attempt),
            ("Server-Leaving", "1" if self.server.is_leaving else ""),
            ("Server-Limit", self.server.limit),
        )
        lines += [f"{name}: {value}" for name, value in words if value]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _parts(self):
        """Return the parts of the prompt that other requests may share."""
        entries = self.headers.get("X-Prefix-Hash", "").split(",")[:-1]
        return [entry.partition(":")[0] for entry in entries]

    def _keep_silent(self, place):
        """Send nothing while the server is silent.

        Requests that arrive meanwhile are silent at one place each.
        """
        since_s, until_s = self.server.silence_s
        left_s = until_s - time.monotonic()
        chosen = SILENT_PLACES[zlib.crc32(self._request.encode()) % len(SILENT_PLACES)]
        if left_s <= 0.0 or self._began_s > since_s and place != chosen:
            return
        self.server.ledger.count(f"silences {place}")
        time.sleep(left_s)

    def _begin_and_crash(self):
        self.server.ledger.failed.add(self._request)
        self.send_response(200)
        self._head()
        self.send_header("Content-Type", "text/event-stream")
        self._send_framing("chunks", 0)
        self.close_connection = True
        self.server.crash(self.server)

    def _send_endless(self, first, unit):
        self.server.ledger.failed.add(self._request)
        self.close_connection = True
        self.wfile.write(first)
        end_s = time.monotonic() + HANG_S
        while time.monotonic() < end_s:
            self.wfile.write(unit * (ENDLESS_BLOCK_BYTES // len(unit)))

    def _framing(self, request):
        return FRAMINGS[zlib.crc32(request.encode()) % len(FRAMINGS)]

    def _send_framing(self, framing, length):
        """Send the header that marks the end of a body, and the end of the headers."""
        if framing == "length":
            self.send_header("Content-Length", str(length))
        elif framing == "chunks":
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.close_connection = True
        self.end_headers()

    def _send_part(self, framing, data):
        self.wfile.write(
            b"%x\r\n%b\r\n" % (len(data), data) if framing == "chunks" else data
        )

    def _send_silently(self, framing, data, place):
        """Send a part, with a silence in its middle if the server is silent."""
        half = len(data) // 2
        if self.server.silence_s[1] <= time.monotonic():
            self._send_part(framing, data)
            return
        self._send_part(framing, data[:half])
        self._keep_silent(place)
        self._send_part(framing, data[half:])

    def _head(self):
        attempt = self.headers["X-Attempt-Id"]
        if self.server.mode == "wrong":
            attempt = "another-attempt"
        self.send_header("X-Attempt-Id", attempt)
        self.send_header("X-Server-Signature", "s.1")
        self.send_header("X-Server-Name", self.server.name)
        if self.server.is_leaving:
            self.send_header("Server-Leaving", "1")
        if self.server.limit:
            self.send_header("Server-Limit", self.server.limit)

    def _answer(self, status, body, headers=()):
        self.send_response(status)
        self._head()
        for name, value in headers:
            self.send_header(name, value)
        framing = self._framing(self.headers["X-Attempt-Id"])
        self._send_framing(framing, len(body))
        if body:
            self._send_silently(framing, body, "bodies")
        if framing == "chunks":
            self.wfile.write(b"0\r\n\r\n")

    def _stream(self, request, events, work_s):
        self.send_response(200)
        self._head()
        self.send_header("Content-Type", "text/event-stream")
        framing = self._framing(request)
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        parts = [
            f"id: {number}\ndata: {request} {number}\n\n".encode()
            for number in range(first, events + 1)
        ]
        self._send_framing(framing, sum(map(len, parts)))
        for number, data in enumerate(parts):
            if self.server.mode == "cut" and number > events // 2:
                self._send_part(framing, data[: len(data) // 2])
                self._break_off(resets=number % 2 == 0)
                return
            is_broken = self.server.incident_mode.startswith("broken_")
            if is_broken and number > events // 2:
                self._break_off(resets=True)
                return
            self._keep_silent("between events")
            self._send_silently(framing, data, "inside events")
            time.sleep(max(EVENT_GAP_S, work_s / events))
        self._keep_silent("between events")
        if framing == "chunks":
            self.wfile.write(b"0\r\n\r\n")

    def _break_off(self, resets=False):
        self.server.ledger.failed.add(self._request)
        self.close_connection = True
        if resets:
            linger = (socket.SOL_SOCKET, socket.SO_LINGER, links.RESETTING_LINGER)
            self.connection.setsockopt(*linger)
            os.close(self.connection.detach())
            return
        self.connection.close()
