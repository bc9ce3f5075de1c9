"""Stand-ins of the users' platform, and the start of the project's programs.

Everything runs on loopback addresses and the real clock. One process serves the store,
the model servers, the plain servers and the origin of weights, and plays the clients.
The project's programs are separate processes with the deploy file's commands.
"""

import asyncio
import base64
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 100,
    "recovery_s": 12,
    "event_delay_ms": 120,
    "retry_after_s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
ZONES = {"norte-a": "norte", "litoral-a": "litoral", "este-a": "este"}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
HEARTBEAT_S = 1.2
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
STORE_ANSWER_S = 0.004


class CannotRunError(Exception):
    """The case could not be played, which says nothing of the rule."""


class Record:
    """What was sent, answered and run, in the order in which it happened.

    :param folder: folder of the case, for ``record.txt``.
    """

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def say(self, text):
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


# HTTP.


@dataclasses.dataclass
class Message:
    """Request or answer.

    :param line: request or status line.
    :param headers: dict, names in lower case.
    :param body: bytes.
    """

    line: str
    headers: dict
    body: bytes = b""

    @property
    def status(self):
        """Status of an answer, 0 for none."""
        return int(self.line.split(" ")[1]) if self.line else 0

    @property
    def path(self):
        """Path of a request, without query."""
        return self.line.split(" ")[1].partition("?")[0]

    @property
    def query(self):
        """Query of a request as a dict."""
        query = self.line.split(" ")[1].partition("?")[2]
        return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


async def _read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    line, *fields = data.decode("latin-1").split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return Message(line, headers)


async def _read_request(reader):
    message = await _read_head(reader)
    length = int(message.headers.get("content-length", 0))
    message.body = await reader.readexactly(length) if length else b""
    return message


def answer_bytes(status, body=b"", headers=()):
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """Server of one address.

    :param handle: coroutine function that takes a :class:`Message` and the writer and
        writes the answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.is_away = False
        self.address = ""

    async def start(self, host, port=0):
        """Listen on an address; the kernel chooses the port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self

    def go_away(self):
        """Reset every connection, and every new one, until :meth:`come_back`."""
        self.is_away = True
        for writer in list(self._writers):
            reset(writer)

    def come_back(self):
        """Serve again."""
        self.is_away = False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while not self.is_away:
                request = await _read_request(reader)
                await self._handle(request, writer)
                await writer.drain()
            reset(writer)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def send(address, method, path, headers=(), body=b"", within_s=10.0):
    """Send one request of a client on a new connection.

    :returns: the :class:`Message` of the answer; status 0 when none came in time or
        the connection ended before its end.
    """
    try:
        return await asyncio.wait_for(
            _send(address, method, path, headers, body), within_s
        )
    except (TimeoutError, ConnectionError):
        return Message("", {})
    except asyncio.IncompleteReadError:
        return Message("", {})


async def _send(address, method, path, headers, body):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await _read_head(reader)
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            answer.body = await _read_chunks(reader)
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        return answer
    finally:
        writer.close()


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


# The platform's store.


class Store:
    """The platform's metadata store.

    :ivar version: version of the newest transaction.
    :ivar era: value of ``Store-Era``.
    """

    def __init__(self):
        self.version = 0
        self.era = 1
        self._rows = {}
        self._copies = []
        self._changed = asyncio.Condition()
        self.server = HttpServer(self._handle)

    @property
    def is_away(self):
        """Whether it serves nobody."""
        return self.server.is_away

    async def put(self, table, key, value):
        """Write a row and return the version of the transaction."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        fields = {"value": base64.b64encode(data).decode()}
        return await self._write(table, key, fields)

    async def remove(self, table, key):
        """Remove a row."""
        return await self._write(table, key, {"deleted": True})

    async def _write(self, table, key, fields):
        if self.is_away:
            raise CannotRunError("a write while the store is away")
        async with self._changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            self._rows[table, key] = {**row, **fields}
            self._changed.notify_all()
            return self.version

    def copy_now(self):
        """Keep a copy of what it holds."""
        self._copies.append((time.monotonic(), dict(self._rows), self.version))

    def restore(self, age_s):
        """Come back from the newest copy that is at least as old.

        :returns: age of the copy in seconds, and the version that is lost.
        """
        now_s = time.monotonic()
        old = [copy for copy in self._copies if now_s - copy[0] >= age_s]
        at_s, rows, version = old[-1]
        lost, self.version = self.version, version
        self._rows = dict(rows)
        self.era += 1
        return now_s - at_s, lost

    def rows(self, table, after=-1):
        """Return the rows of a table that changed after a version."""
        return [
            row
            for (name, _), row in self._rows.items()
            if name == table
            and row["ver"] > after
            and not (after < 0 and row.get("deleted"))
        ]

    async def _handle(self, request, writer):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_away:
            reset(writer)
            return
        status, fields = await self._answer(request)
        if self.is_away:
            reset(writer)
            return
        fields |= {"ver": self.version, "now_ms": int(1000 * time.monotonic())}
        headers = [("Store-Era", self.era), ("Content-Type", "application/json")]
        writer.write(answer_bytes(status, json.dumps(fields).encode(), headers))

    async def _answer(self, request):
        query = request.query
        if request.path == "/v1/rows-get":
            rows = self.rows(query["table"])
            return 200, {"rows": rows, "has_more": False}
        if request.path == "/v1/rows-feed":
            return await self._feed(query)
        if request.path == "/v1/rows-tx":
            body = json.loads(request.body)
            for row in body["puts"]:
                data = base64.b64decode(row["value"])
                await self.put(row["table"], row["key"], data)
            return 200, {}
        return 404, {}

    async def _feed(self, query):
        after, era = int(query["after"]), self.era
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after > self.version or era != self.era:
                return 410, {}
            rows = self.rows(query["table"], after)
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": sorted(rows, key=lambda row: row["ver"])}
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError, TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)


# Servers.


class PlainServer:
    """Server of a service without weights.

    :param record: :class:`Record`.
    :param name: id of the server.
    :param service: name of its service.
    :param zone: name of its zone.
    :param work_s: time that a request takes.
    :ivar runs: list of the :class:`Message` that it ran.
    """

    slots = 6
    # Whether each run gets a line of the record.
    logs_runs = True

    def __init__(self, record, name, service, zone, work_s=0.045):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.runs = []
        self.born = int(1000 * time.time())
        self.seq = 0
        self.beat_s = time.monotonic()
        self.awake = asyncio.Event()
        self.awake.set()
        self.server = HttpServer(self.handle)

    @property
    def entry(self):
        """Entry of the server in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self, store):
        """Write the entry again and again while the store is there."""
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            await self.awake.wait()
            if not store.is_away:
                self.seq += 1
                self.beat_s = time.monotonic()
                await store.put("servers", self.name, self.entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def lapse(self, store):
        """Remove the entry after three heartbeat intervals of silence, as the store."""
        while True:
            await asyncio.sleep(0.1)
            is_silent = time.monotonic() - self.beat_s > 3 * HEARTBEAT_S
            if is_silent and not self.awake.is_set() and not store.is_away:
                self.record.say(f"the entry of {self.name} lapses")
                await store.remove("servers", self.name)
                await self.awake.wait()

    async def handle(self, request, writer):
        """Run a request."""
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            headers = [("X-Attempt-Id", attempt), ("X-Instance-Id", self.name)]
            writer.write(answer_bytes(421, b"", headers))
            return
        self.runs.append(request)
        if self.logs_runs:
            self.record.say(f"server {self.name} runs {attempt}")
        await self.answer(request, writer, attempt)

    async def answer(self, request, writer, attempt):
        """Answer a request that it runs."""
        await asyncio.sleep(self.work_s)
        headers = [("X-Attempt-Id", attempt), ("X-Server-Signature", SIGNATURE)]
        writer.write(answer_bytes(200, b"done " + attempt.encode(), headers))


class StreamServer(PlainServer):
    """Model server without weights of its own that answers with a stream of events."""

    slots = 16
    events = 24
    gap_s = 0.04

    async def answer(self, request, writer, attempt):
        """Write the events of an answer."""
        writer.write(stream_head(attempt))
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            writer.write(chunk(f"id: {number}\ndata: token {number}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def stream_head(attempt):
    """Return the head of a stream in chunks."""
    lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {attempt}"]
    lines += [f"X-Server-Signature: {SIGNATURE}", "Content-Type: text/event-stream"]
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data):
    """Return one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# Weights.


class Weights:
    """Pieces of the versions of one model.

    :param model: name of the model.
    :param pieces: number of pieces.
    :param piece_bytes: size of a piece.
    """

    layers = 16

    def __init__(self, model, pieces=48, piece_bytes=49152):
        self.model = model
        self.pieces = pieces
        self.piece_bytes = piece_bytes

    def piece(self, version, number):
        """Return the bytes of a piece."""
        seed = f"{self.model}/{version}/{number}".encode()
        return hashlib.shake_128(seed).digest(self.piece_bytes)

    def digest(self, version, number):
        """Return the digest of a piece."""
        return hashlib.sha256(self.piece(version, number)).hexdigest()


class Origin:
    """Origin of weights.

    :param weights: :class:`Weights`.
    :param bytes_per_s: rate at which one machine's link takes a piece.
    """

    def __init__(self, weights, bytes_per_s):
        self.newest = 1
        self._weights = weights
        self._bytes_per_s = bytes_per_s
        self.server = HttpServer(self._handle)

    async def _handle(self, request, writer):
        version = int(request.query.get("version", self.newest))
        weights = self._weights
        if request.path.startswith("/v1/manifest/"):
            numbers = range(weights.pieces)
            fields = {
                "model": weights.model,
                "version": version,
                "chunk_bytes": weights.piece_bytes,
                "layers": weights.layers,
                "digests": [weights.digest(version, number) for number in numbers],
            }
            writer.write(answer_bytes(200, json.dumps(fields).encode()))
            return
        data = weights.piece(version, int(request.query["num"]))
        await asyncio.sleep(len(data) / self._bytes_per_s)
        writer.write(answer_bytes(200, data))


@dataclasses.dataclass
class Staged:
    """A piece that is staged at a model server.

    :param data: its bytes.
    :param bad_since_s: monotonic time at which it turned bad, or None.
    """

    data: bytes
    bad_since_s: float | None = None


class ModelServer(StreamServer):
    """Model server that holds staged pieces and takes orders to load them.

    :param record: :class:`Record`.
    :param name: id of the server.
    :param service: name of its service.
    :param zone: name of its zone.
    :param weights: :class:`Weights`.
    :ivar version: version of the layers that it holds.
    :ivar spoilt: how long pieces had been bad when they were loaded, by number.
    :ivar read_back: numbers of the pieces that were read since they were put.
    """

    warm_s = 0.3

    def __init__(self, record, name, service, zone, weights):
        super().__init__(record, name, service, zone)
        self.weights = weights
        self.version = 1
        self.staged = {
            number: Staged(weights.piece(1, number)) for number in range(weights.pieces)
        }
        self.spoilt = {}
        self.read_back = set()
        self.orders = 0
        self.is_loading = False
        self.tokens = []

    @property
    def models(self):
        """What it says of its models."""
        return [{"name": self.weights.model, "version": self.version, "adapters": []}]

    @property
    def entry(self):
        """Entry of the server in the store."""
        return super().entry | {"stage": "mixed", "models": self.models}

    def is_staged(self, version):
        """Tell whether every piece of a version was put and read back since."""
        return len(self.read_back) == self.weights.pieces and all(
            self.staged[number].data == self.weights.piece(version, number)
            for number in self.read_back
        )

    def rot(self, share, rng):
        """Turn a share of the staged pieces bad."""
        count = max(1, round(share * len(self.staged)))
        for number in sorted(rng.sample(sorted(self.staged), count)):
            data = bytearray(self.staged[number].data)
            data[rng.randrange(len(data))] ^= 0x40
            self.staged[number] = Staged(bytes(data), time.monotonic())
            self.record.say(f"server {self.name}: staged piece {number} turns bad")

    async def handle(self, request, writer):
        """Serve an order, a staged piece, the report or a request."""
        await self.awake.wait()
        path = request.path
        if path == "/v1/report":
            fields = {"stage": "mixed", "models": self.models, "busy": self.is_loading}
            fields |= {"seq": self.orders, "queued": 0, "active": 0, "kv_used": 0}
            fields |= {"kv_total": 1640000, "handles": 0, "born": self.born}
            writer.write(answer_bytes(200, json.dumps(fields).encode()))
        elif path.startswith("/v1/stage-put/"):
            number = int(request.query["num"])
            self.staged[number] = Staged(request.body)
            self.read_back.discard(number)
            writer.write(answer_bytes(200))
        elif path.startswith("/v1/stage-get/"):
            number = int(request.query["num"])
            self.read_back.add(number)
            writer.write(answer_bytes(200, self.staged[number].data))
        elif path == "/v1/order":
            writer.write(answer_bytes(self._order(json.loads(request.body))))
        else:
            await super().handle(request, writer)

    def _order(self, order):
        if self.is_loading or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.is_loading = True
        now_s, version = time.monotonic(), order["version"]
        self.spoilt = {
            number: None if piece.bad_since_s is None else now_s - piece.bad_since_s
            for number, piece in self.staged.items()
            if piece.data != self.weights.piece(version, number)
        }
        self.record.say(
            f"server {self.name} accepts the order to load version {version}; "
            f"pieces that are not of it: {sorted(self.spoilt)}"
        )
        asyncio.get_running_loop().call_later(self.warm_s, self._loaded, version)
        return 202

    def _loaded(self, version):
        self.version, self.is_loading = version, False

    async def answer(self, request, writer, attempt):
        """Answer with a stream, whose tokens are made with the loaded layers."""
        self.tokens.append((attempt, self.version, dict(self.spoilt)))
        self.record.say(
            f"server {self.name} makes tokens for {attempt} with version "
            f"{self.version}, layers taken with spoilt pieces {sorted(self.spoilt)}"
        )
        await super().answer(request, writer, attempt)


# The project's programs.


def free_port(hosts, count=1):
    """Return the first of some ports that are free on every host."""
    rng = random.Random()
    while True:
        port = rng.randrange(20000, 30000)
        if all(_is_free(host, port + i) for host in hosts for i in range(count)):
            return port


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


@dataclasses.dataclass
class Machine:
    """A machine of the system.

    :param name: its name.
    :param host: its address.
    :param zone: its zone.
    """

    name: str
    host: str
    zone: str


class System:
    """The project's programs as processes, started as the deploy file says.

    :param record: :class:`Record`.
    :param store_address: ``host:port`` of the store.
    :param hosts: addresses of all machines.
    """

    def __init__(self, record, store_address, hosts):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        port = free_port(hosts, 19)
        self.peer_port, self.front_port = port, port + 16
        self.ready_port, self.metrics_port = port + 17, port + 18
        self._store = store_address
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._seeds = []
        self.processes = {}

    def front(self, machine):
        """Return the address for clients of a machine."""
        return f"{machine.host}:{self.front_port}"

    def _settings(self, machine, engine=None, service=None):
        listen = {"front": None, "ready": None}
        if engine is None:
            listen = {
                "front": self.front(machine),
                "ready": f"{machine.host}:{self.ready_port}",
            }
        return {
            "name": machine.name,
            "host": machine.host,
            "region": ZONES[machine.zone],
            "data_centre": machine.zone,
            "regions": ZONES,
            "listen": listen,
            "ports": [self.peer_port, self.peer_port + 15],
            "metrics_port": self.metrics_port,
            "seeds": self._seeds,
            "store": self._store,
            "link_mbps": 1000.0 if engine is None else 4.7,
            "engine": {"address": engine, "service": service},
            "bounds": BOUNDS,
        }

    def start_entries(self, machines):
        """Start the entry program on machines."""
        self._seeds = [f"{each.host}:8000" for each in machines[:3]]
        for machine in machines:
            self._start("entry", machine, self._settings(machine))

    def start_agent(self, machine, engine, service):
        """Start the agent program beside a model server."""
        self._start("agent", machine, self._settings(machine, engine, service))

    def _start(self, role, machine, settings):
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CICADAPLANK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = open(self.folder / f"{machine.name}.log", "w", encoding="utf-8")
        self.processes[machine.name] = subprocess.Popen(
            self._roles[role]["run"].split(" "),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record.say(f"{role} {machine.name} starts")

    async def wait_ready(self, machines, within_s=30.0):
        """Wait until machines say that they are ready."""
        until_s = time.monotonic() + within_s
        for machine in machines:
            address = f"{machine.host}:{self.ready_port}"
            while True:
                headers = [("Host", address), ("Connection", "close")]
                answer = await send(address, "GET", "/v1/readyz", headers, b"", 1.0)
                if answer.status == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{machine.name} does not get ready")
                await asyncio.sleep(0.1)
        self.record.say("all entries are ready")

    def log(self, machine):
        """Return what a process has written."""
        return (self.folder / f"{machine.name}.log").read_text(errors="replace")

    def signal(self, machine, number):
        """Send a signal to a process."""
        self.record.say(f"{signal.Signals(number).name} to {machine.name}")
        self.processes[machine.name].send_signal(number)

    def stop(self):
        """End all processes and remove the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def has_trouble():
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def _stop_signalled(number, frame):
    raise SystemExit(NOT_RUN)


def play(folder, case, within_s=115.0):
    """Play a case and exit with its result.

    :param folder: folder of the case.
    :param case: coroutine function that takes a :class:`Record` and a list of
        functions to call at the end, and returns whether the rule held.
    :param within_s: seconds after which the case could not run.
    """
    if not (ROOT / "target/deps").is_dir():
        print("the deploy file's build has not run")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, _stop_signalled)
    record, at_end, code = Record(folder), [], NOT_RUN

    async def run():
        # The result does not wait for connections that are still being served.
        task = asyncio.ensure_future(case(record, at_end))
        done, _ = await asyncio.wait({task}, timeout=within_s)
        if not done:
            raise CannotRunError(f"it took more than {within_s} s")
        return task.result()

    try:
        loop = asyncio.new_event_loop()
        code = HELD if loop.run_until_complete(run()) else BROKEN
    except CannotRunError as error:
        record.say(f"could not run: {error}")
    except Exception:
        record.say("could not run: " + traceback.format_exc().replace("\n", " | "))
    finally:
        for function in at_end:
            function()
    result = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code]
    record.say(f"result: {result}")
    print(result, flush=True)
    os._exit(code)
