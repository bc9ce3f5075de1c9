"""Callers beside planned work, which use connections in unusual ways."""

import dataclasses
import http.client
import json
import random
import select
import socket
import threading
import time

from soak import checks, incidents, lost

KEYS = tuple(f"key-planned-{number}" for number in range(6))
ROUTES = 4
TIMEOUT_S = 6.0
PAUSE_S = (0.01, 0.06)
EVENTS = 8
KINDS = ("once", "free", "stream", "stream")
MANNERS = ("kept", "kept", "kept", "pipelined", checks.HALF_CLOSED)
# Work in seconds that requests take: most none, some as long as half a grace period.
SHORT_WORK_S, LONG_WORK_S = (0.0, 0.0, 0.0, 0.4), (3.0, 4.0)
LONG_SHARE = 0.06
CONNECT_S = 1.0
# Times after the signal of a stop at which late callers open connections, just before
# the listener closes, and send the rest of their requests.
OPEN_S, FINISH_S = (2.5, 2.95), (4.0, 7.0)
# The same for callers whose requests are whole just when the time ends in which a stop
# may cut them.
FINISH_AT_CLOSE_S = (2.97, 3.3)


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller.

    :param name: identifier.
    :param kind: ``once``, ``free`` or ``stream``.
    :param route: number of its route.
    :param key: API key.
    :param work_s: time that it takes.
    """

    name: str
    kind: str
    route: int
    key: str
    work_s: float

    def encode(self):
        """Return its bytes."""
        events = EVENTS if self.kind == "stream" else 0
        body = {"id": self.name, "events": events, "work_s": self.work_s}
        data = json.dumps(body).encode()
        lines = [
            f"POST /q{self.route}/{self.kind}/x HTTP/1.1",
            "Host: host.example",
            f"Authorization: Bearer {self.key}",
            f"X-Attempt-Id: {self.name}",
            f"X-Deadline-Ms: {int(TIMEOUT_S * 1000)}",
            f"X-Prefix-Hash: system:10,{self.name}:10",
            f"X-Model: {incidents.MODEL}",
            f"Content-Length: {len(data)}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


class Connection:
    """One connection to an entry process, whose answers are read in their order.

    :param process: :class:`soak.entries.EntryProcess`.
    :ivar life: life of the process to which the connection leads.
    :ivar is_open: whether a further request may be sent.
    """

    def __init__(self, process):
        host, _, port = process.front.rpartition(":")
        life = process.life
        self._sock = socket.create_connection((host, int(port)), CONNECT_S)
        # The process may have been replaced during the dial.
        self.life = life if life == process.life else -1
        self._file = self._sock.makefile("rb")
        self.is_open = True

    def makefile(self, mode):
        """Return the file of all answers (for ``http.client``)."""
        return _Shared(self._file)

    def send(self, data):
        """Send bytes and return the time."""
        self._sock.sendall(data)
        return time.monotonic()

    def end_sending(self):
        """Close the sending side."""
        self._sock.shutdown(socket.SHUT_WR)
        self.is_open = False

    def has_input(self):
        """Tell whether the process has sent something or closed the connection."""
        return bool(select.select([self._sock], [], [], 0)[0])

    def read(self, deadline_s):
        """Read one answer.

        :param deadline_s: steady time after which the caller gives up.
        :returns: status (0 for none), body, and whether the answer is complete.
        """
        self._sock.settimeout(max(0.01, deadline_s - time.monotonic()))
        status = 0
        try:
            response = http.client.HTTPResponse(self, method="POST")
            response.begin()
            status = response.status
            body = response.read()
            self.is_open = self.is_open and not response.will_close
            return status, body, True
        except http.client.IncompleteRead as fault:
            self.is_open = False
            return status, fault.partial, False
        except (OSError, http.client.HTTPException):
            self.is_open = False
            return status, b"", False

    def close(self):
        """Close the connection."""
        self.is_open = False
        self._file.close()
        self._sock.close()


class _Shared:
    """A file that stays open when one of its readers closes it."""

    def __init__(self, file):
        self._file = file

    def __getattr__(self, name):
        return getattr(self._file, name)

    def close(self):
        """Leave the file open for the next answer."""


class Caller(threading.Thread):
    """Sends requests to all entries until the end.

    :param name: its name; requests differ by it.
    :param fleet: :class:`soak.fleet.Fleet`.
    :ivar seen: list of :class:`soak.checks.Seen`.
    """

    def __init__(self, name, fleet):
        super().__init__(daemon=True)
        self.seen = []
        self.is_ending = False
        self._caller = name
        self._fleet = fleet
        self._rng = random.Random(f"{fleet.seed}-{name}")
        self._count = 0
        self._connections = {}

    def run(self):
        """Send requests until the end."""
        while not self.is_ending:
            entry = self._rng.randrange(len(self._fleet.entries))
            manner = self._rng.choice(MANNERS)
            count = 2 if manner == "pipelined" else 1
            requests = [self.draw() for _ in range(count)]
            try:
                self._call(entry, manner, requests)
            except OSError:
                self._forget(entry)
            time.sleep(self._rng.uniform(*PAUSE_S))
        for entry in list(self._connections):
            self._forget(entry)

    def draw(self):
        """Return a new request."""
        self._count += 1
        rng = self._rng
        work_s = rng.choice(SHORT_WORK_S)
        if rng.random() < LONG_SHARE:
            work_s = rng.uniform(*LONG_WORK_S)
        return Request(
            f"{self._caller}-{self._count}",
            rng.choice(KINDS),
            rng.randrange(ROUTES),
            rng.choice(("key-1",) * 6 + KEYS),
            work_s,
        )

    def _call(self, entry, manner, requests):
        connection = self._connections.get(entry)
        if connection is not None and connection.has_input():
            self._forget(entry)
            connection = None
        if connection is None:
            connection = Connection(self._fleet.entries[entry])
            self._connections[entry] = connection
        began_s = time.monotonic()
        data = b"".join(request.encode() for request in requests)
        written_s = connection.send(data)
        if manner == checks.HALF_CLOSED:
            connection.end_sending()
        self.read_answers(connection, entry, manner, requests, (began_s, written_s))
        if not connection.is_open:
            self._forget(entry)

    def read_answers(self, connection, entry, manner, requests, times_s):
        """Read the answers to requests that were sent on a connection.

        :param connection: :class:`Connection`.
        :param entry: number of the entry.
        :param manner: how the connection is used.
        :param requests: list of :class:`Request`.
        :param times_s: steady times at which they were begun and their last byte sent.
        """
        began_s, written_s = times_s
        overdue_s = TIMEOUT_S + lost.OVERDUE_S
        self._fleet.ledger.count(f"requests {manner}", len(requests))
        long_ones = sum(request.work_s >= LONG_WORK_S[0] for request in requests)
        self._fleet.ledger.count("requests with long work", long_ones)
        behind = ""
        for request in requests:
            status, body, is_whole = connection.read(written_s + overdue_s)
            self.seen.append(
                checks.Seen(
                    request.name,
                    request.kind,
                    entry,
                    connection.life,
                    status,
                    body,
                    EVENTS if request.kind == "stream" else 0,
                    is_whole,
                    0,
                    began_s,
                    time.monotonic(),
                    request.key,
                    written_s=written_s,
                    deadline_s=TIMEOUT_S,
                    manner=manner,
                    behind=behind,
                    is_droppable=True,
                )
            )
            behind = request.name

    def _forget(self, entry):
        connection = self._connections.pop(entry, None)
        if connection is not None:
            connection.close()


@dataclasses.dataclass(frozen=True)
class Late:
    """When a caller uses an entry that stops.

    :param open_s: steady time at which it connects.
    :param finish_s: steady time at which it sends the rest of its requests.
    :param count: number of requests.
    :param has_begun: whether it sends their first part when it connects.
    :param ends_sending: whether it closes its sending side after them.
    """

    open_s: float
    finish_s: float
    count: int
    has_begun: bool
    ends_sending: bool

    @classmethod
    def draw(cls, rng, signalled_s, finish_s=FINISH_S):
        """Draw the times of one caller.

        :param rng: :class:`random.Random`.
        :param signalled_s: steady time of the signal.
        :param finish_s: range of the seconds from it to the rest of the requests.
        """
        return cls(
            signalled_s + rng.uniform(*OPEN_S),
            signalled_s + rng.uniform(*finish_s),
            rng.choice((1, 1, 2)),
            rng.random() < 0.8,
            rng.random() < 0.2,
        )


class LateCaller(Caller):
    """Opens a connection before the listener closes, and goes on late in the grace.

    :param entry: number of the entry that stops.
    :param late: :class:`Late`.
    """

    def __init__(self, name, fleet, entry, late):
        super().__init__(name, fleet)
        self._entry, self._late = entry, late

    def run(self):
        """Send the requests, unless the entry closes the connection before."""
        try:
            self._send()
        except OSError:
            self._fleet.ledger.count("late connections that failed")

    def _send(self):
        late, ledger = self._late, self._fleet.ledger
        time.sleep(max(0.0, late.open_s - time.monotonic()))
        connection = Connection(self._fleet.entries[self._entry])
        requests = [self.draw() for _ in range(late.count)]
        data = b"".join(request.encode() for request in requests)
        # The first part ends inside the headers or inside the body.
        sent_bytes = self._rng.randrange(1, len(requests[0].encode()))
        sent_bytes = sent_bytes if late.has_begun else 0
        began_s = connection.send(data[:sent_bytes])
        time.sleep(max(0.0, late.finish_s - time.monotonic()))
        if connection.has_input():
            status, _, _ = connection.read(time.monotonic() + CONNECT_S)
            what = f"answered {status}" if status else "closed"
            begun = "begun" if sent_bytes else "idle"
            ledger.count(f"late {begun} connections {what} before")
            connection.close()
            return
        written_s = connection.send(data[sent_bytes:])
        if late.ends_sending:
            connection.end_sending()
        manner = "late"
        if late.count > 1:
            manner = "late pipelined"
        if late.ends_sending:
            manner += f" {checks.HALF_CLOSED}"
        times_s = began_s, written_s
        self.read_answers(connection, self._entry, manner, requests, times_s)
        connection.close()
