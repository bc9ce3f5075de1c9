"""Steps for clients that nobody controls, against the real entry process."""

import http.client
import os
import socket
import threading
import time

import behave

from features import crowds
from standins import rowstore

MB = 1024 * 1024
LONG_BYTES = 3 * MB
# The stand-in accepts as many headers as a request of legal size has.
http.client._MAXHEADERS = 5000
EVENT = b"data: " + b"a" * 1000 + b"\n\n"
LIMIT_S = 30.0
WATCH_S = 0.02
CHUNK_BYTES = 50_000


def long_body(count):
    """Return a body of a number of bytes, in which each part is recognisable."""
    numbers = (b"%07d\n" % number for number in range((count + 7) // 8))
    return b"".join(numbers)[:count]


class _LongBackEndHandler(rowstore._BackEndHandler):
    def do_POST(self):
        """Run a request; answer some with many bytes."""
        if self.path.startswith("/old/answer/"):
            self._answer_framed()
            return
        if not self.path.endswith("/long"):
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        is_stream = self.path.startswith("/stream/")
        headers = [
            ("X-Attempt-Id", self.headers["X-Attempt-Id"]),
            ("X-Server-Signature", "s.1"),
        ]
        if is_stream:
            headers.append(("Content-Type", "text/event-stream"))
        body = EVENT * (LONG_BYTES // len(EVENT)) if is_stream else b"a" * LONG_BYTES
        self.reply(200, body, headers)

    def _answer_framed(self):
        """Answer with as many bytes as the path names, framed as it says."""
        *_, framing, count = self.path.split("/")
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        body = long_body(int(count))
        self.send_response(200)
        self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
        self.send_header("X-Server-Signature", "s.1")
        if framing == "length":
            self.send_header("Content-Length", str(len(body)))
        elif framing == "chunks":
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Connection", "close")
        self.end_headers()
        if framing == "chunks":
            for start in range(0, len(body), CHUNK_BYTES):
                part = body[start : start + CHUNK_BYTES]
                self.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
            self.wfile.write(b"0\r\n\r\n")
        else:
            self.wfile.write(body)


class _LongBackEnd(rowstore._Server):
    delay_s = 0.0
    # Length of the listen backlog: a crowd's calls are dialled at once.
    request_queue_size = 512

    def __init__(self):
        self.seen = []
        super().__init__(_LongBackEndHandler)


def _route(name, prefix, route_type):
    return {
        "name": name,
        "hostname": "host.example",
        "prefix": prefix,
        "route_type": route_type,
        "timeout_ms": 20_000,
        "goal_ms": 15_000,
        "priority": 1,
        "service": "s",
        "max_attempts": 2,
    }


@behave.given("a store and a back end with long answers")
def step_stand_ins(context):
    context.store = rowstore.RowStore()
    context.back_end = _LongBackEnd()
    context.cleanups += [context.store.stop, context.back_end.stop]
    configuration = {
        "version": 1,
        "routes": [
            _route("r", "/old/", "idempotent"),
            _route("t", "/stream/", "streaming"),
        ],
        "services": [{"name": "s", "health_path": "/h", "max_conns": 400}],
        "limits": {"header_timeout_ms": 15_000, "idle_timeout_ms": 60_000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"]}],
    }
    context.store.put("op", "config", configuration)
    server = {"service": "s", "address": context.back_end.address}
    server |= {"zone": "a", "slots": 400, "state": "ready", "seq": 1}
    context.store.put("servers", "i-1", server)


@behave.given("a machine with {memory_mb:d} MB of memory and {max_fds:d} descriptors")
def step_machine(context, memory_mb, max_fds):
    context.machine = {"memory_mb": memory_mb, "max_fds": max_fds}


def _watch_descriptors(context, is_over):
    """Record the largest number of open descriptors until the crowd is over."""
    context.most_fds = 0
    while not is_over.wait(WATCH_S) and context.process.poll() is None:
        count = len(os.listdir(f"/proc/{context.process.pid}/fd"))
        context.most_fds = max(context.most_fds, count)


@behave.when("{count:d} clients each send {form}")
def step_crowd(context, count, form):
    is_over = threading.Event()
    watch = threading.Thread(target=_watch_descriptors, args=(context, is_over))
    watch.start()
    try:
        crowd = crowds.Crowd(context.front, crowds.FORMS[form], count)
        context.cleanups.append(crowd.close)
        crowd.send()
        crowds.wait_until_idle(context.process.pid)
        context.crowd = crowd
    finally:
        is_over.set()
        watch.join()


@behave.then("the process lives and its peak memory is below {limit_mb:d} MB")
def step_memory(context, limit_mb):
    assert context.process.poll() is None, context.log.read_text()[-2000:]
    peak_mb = crowds.peak_bytes(context.process.pid) / MB
    assert peak_mb < limit_mb, f"{peak_mb:.0f} MB"


@behave.then("it has at most {limit:d} descriptors open")
def step_descriptors(context, limit):
    assert context.most_fds <= limit, context.most_fds


@behave.then("an ordinary request is answered when the crowd has left")
def step_answered(context):
    context.crowd.close()
    deadline_s = time.monotonic() + LIMIT_S
    answer = None
    while answer != (200, b"answer to one") and time.monotonic() < deadline_s:
        answer = _ask(context)
    assert answer == (200, b"answer to one"), answer
    assert context.process.poll() is None


def _ask(context):
    connection = http.client.HTTPConnection(context.front, timeout=LIMIT_S)
    headers = {"Host": "host.example", "Authorization": "Bearer key-1"}
    headers["X-Attempt-Id"] = f"attempt-{time.monotonic_ns()}"
    try:
        connection.request("POST", "/old/1", b"one", headers)
        response = connection.getresponse()
        return response.status, response.read()
    except OSError as fault:
        return None, str(fault)
    finally:
        connection.close()


@behave.then("a request with 15,500 bytes of header lines of 5 bytes is answered")
def step_short_lines(context):
    host, _, port = context.front.rpartition(":")
    length = crowds.LENGTH % 1
    lines = crowds.lines(b"a:b\r\n")[: -5 * len(length)]
    data = crowds.head(extra=length + lines) + b"a"
    with socket.create_connection((host, int(port)), LIMIT_S) as sock:
        sock.sendall(data)
        answer = sock.recv(4096)
    assert answer.startswith(b"HTTP/1.1 200 "), answer
