"""Crowds of clients on loopback that hold connections and what they sent on them."""

import collections
import dataclasses
import re
import selectors
import socket
import time

LOOPBACK = "127.0.0.1"
HOST = b"Host: host.example\r\n"
ACCOUNT = b"Authorization: Bearer key-1\r\n"
HEAD_BYTES = 16_000
BODY_BYTES = 480 * 1024
# A crowd has sent what it can when nothing more was taken for this time.
QUIET_S = 1.0
# Clock ticks of processor time a process may use in that time and count as idle.
QUIET_TICKS = 20
LIMIT_S = 60.0
SMALL_WINDOW_BYTES = 4096
# Clients that read slowly read at this interval for this time.
SIP_PAUSE_S = 0.5
SIPPING_S = 8.0


@dataclasses.dataclass(frozen=True)
class Form:
    """What each connection of a crowd sends.

    :param parts: tuple of bytes, sent one after the other.
    :param is_half_closed: whether the sending side is closed behind the parts.
    :param many_addresses: whether the connections come from different addresses.
    :param reads: whether the clients read what they are sent.
    :param rounds: how often the parts are sent, each time behind an answer.
    :param sip_bytes: bytes that each client reads every :data:`SIP_PAUSE_S` for
        :data:`SIPPING_S` once it has sent all parts.
    """

    parts: tuple
    is_half_closed: bool = False
    many_addresses: bool = False
    reads: bool = False
    rounds: int = 1
    sip_bytes: int = 0


def head(path=b"/old/1", extra=b"", is_whole=True):
    """Return the head of a request."""
    attempt = b"X-Attempt-Id: attempt-crowd\r\n"
    start = b"POST " + path + b" HTTP/1.1\r\n" + HOST + ACCOUNT + attempt
    return start + extra + (b"\r\n" if is_whole else b"")


def lines(line):
    """Return as many equal header lines as a head may hold."""
    return line * ((HEAD_BYTES - len(head())) // len(line))


def chunk(size):
    """Return one chunk of a body."""
    return b"%x\r\n" % size + b"a" * size + b"\r\n"


CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: %d\r\n"
SMALL = head(extra=LENGTH % 1) + b"a"
# A whole request of legal size, of an account that exists and of one that does not.
MANY_LINES = head(extra=LENGTH % 1 + lines(b"a:b\r\n")[:-100]) + b"a"
MANY_LINES_UNKNOWN = MANY_LINES.replace(b"key-1", b"key-0")

FORMS = {
    "heads of short lines that do not end": Form(
        (head(extra=lines(b"a:b\r\n"), is_whole=False),)
    ),
    "heads of odd lines that do not end": Form(
        (head(extra=lines(b"!:\r\n"), is_whole=False),)
    ),
    "heads of short lines and bodies that stop": Form(
        (head(extra=lines(b"a:b\r\n") + LENGTH % BODY_BYTES) + b"a",)
    ),
    "heads that come byte by byte": Form(
        tuple(bytes([byte]) for byte in head(extra=lines(b"a:b\r\n"), is_whole=False))
    ),
    "bodies in chunks of one byte that stop": Form(
        (head(extra=CHUNKED) + chunk(1) * 60_000,)
    ),
    "bodies in chunks of 64 KB that stop": Form(
        (head(extra=CHUNKED) + chunk(65_536) * (BODY_BYTES // 65_536),)
    ),
    "bodies with a length that stop": Form(
        (head(extra=LENGTH % BODY_BYTES) + b"a" * (BODY_BYTES - 1),)
    ),
    "bodies whose sender has closed its side": Form(
        (head(extra=LENGTH % BODY_BYTES) + b"a" * (BODY_BYTES - 1),),
        is_half_closed=True,
    ),
    "bodies that wait for an interim answer and stop": Form(
        (
            head(extra=LENGTH % BODY_BYTES + b"Expect: 100-continue\r\n"),
            b"a" * (BODY_BYTES - 1),
        ),
        reads=True,
    ),
    "trailers that do not end": Form(
        (head(extra=CHUNKED) + chunk(65_536) + b"0\r\n" + lines(b"a:b\r\n"),)
    ),
    "many requests at once on each connection": Form((SMALL * 2000,)),
    "bodies of one client account from many addresses": Form(
        (head(extra=LENGTH % BODY_BYTES) + b"a" * (BODY_BYTES - 1),),
        many_addresses=True,
    ),
    "requests for long answers that nobody reads": Form(
        (head(b"/old/long", LENGTH % 1) + b"a",)
    ),
    "requests for long streams that nobody reads": Form(
        (head(b"/stream/long", LENGTH % 1) + b"a",)
    ),
    "a whole head of short lines, read their answers and stay idle": Form(
        (MANY_LINES,), reads=True, rounds=2
    ),
    "a refused head of short lines, read their answers and stay idle": Form(
        (MANY_LINES_UNKNOWN,), reads=True, rounds=2
    ),
    "whole heads of short lines again and again": Form((MANY_LINES,), rounds=10),
    "refused heads of short lines again and again": Form(
        (MANY_LINES_UNKNOWN,), rounds=10
    ),
    "requests for long answers that are read slowly": Form(
        (head(b"/old/long", LENGTH % 1) + b"a",), sip_bytes=2048
    ),
    "requests for long streams that are read slowly": Form(
        (head(b"/stream/long", LENGTH % 1) + b"a",), sip_bytes=2048
    ),
    "nothing at all": Form(()),
}


class Crowd:
    """Connections that send one form and stay open.

    :param address: ``host:port`` of the process.
    :param form: :class:`Form`.
    :param count: number of connections.
    """

    def __init__(self, address, form, count):
        host, _, port = address.rpartition(":")
        self._target = host, int(port)
        self._form = form
        self._selector = selectors.DefaultSelector()
        self._left = {}
        self._rounds = {}
        for number in range(count):
            self._open(number)

    def _open(self, number):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        if self._form.many_addresses:
            sock.bind((f"127.0.0.{2 + number % 200}", 0))
        sock.settimeout(LIMIT_S)
        self._left[sock] = collections.deque(map(memoryview, self._form.parts))
        self._rounds[sock] = self._form.rounds
        try:
            sock.connect(self._target)
        except OSError:
            # A refused or reset connection is allowed.
            self._left[sock].clear()
            return
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_WRITE)

    def send(self):
        """Send what the process takes, until it takes nothing more."""
        end_s = time.monotonic() + LIMIT_S
        quiet_s = time.monotonic()
        while time.monotonic() < min(end_s, quiet_s + QUIET_S):
            ready = self._selector.select(0.1) if self._selector.get_map() else ()
            for key, _ in ready:
                if self._send_part(key.fileobj):
                    quiet_s = time.monotonic()
            if not ready:
                time.sleep(0.05)
        if self._form.sip_bytes:
            self._sip()

    def _sip(self):
        """Read a little of the answers now and then."""
        end_s = time.monotonic() + SIPPING_S
        while time.monotonic() < end_s:
            for sock in self._left:
                try:
                    sock.recv(self._form.sip_bytes)
                except OSError:
                    # Nothing has come, or the connection was reset, which is allowed.
                    continue
            time.sleep(SIP_PAUSE_S)

    def _send_part(self, sock):
        left = self._left[sock]
        try:
            if not left and self._rounds[sock] > 0:
                return self._begin_round(sock)
            if self._form.reads:
                self._read(sock)
            if left:
                sent = sock.send(left[0])
                left[0] = left[0][sent:]
                if not left[0]:
                    left.popleft()
                if not left:
                    self._rounds[sock] -= 1
                    if self._rounds[sock] > 0:
                        self._selector.modify(sock, selectors.EVENT_READ)
                return sent > 0
            self._selector.unregister(sock)
            if self._form.is_half_closed:
                sock.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            pass
        except OSError:
            left.clear()
            if sock in self._selector.get_map():
                self._selector.unregister(sock)
        return False

    def _begin_round(self, sock):
        """Send the parts once more, as the answer has come."""
        if not sock.recv(SMALL_WINDOW_BYTES):
            self._rounds[sock] = 0
            self._selector.unregister(sock)
            return False
        self._left[sock].extend(map(memoryview, self._form.parts))
        self._selector.modify(sock, selectors.EVENT_WRITE)
        return True

    @staticmethod
    def _read(sock):
        try:
            sock.recv(4096)
        except BlockingIOError:
            pass

    def close(self):
        """Close all connections."""
        for sock in self._left:
            sock.close()
        self._selector.close()


def peak_bytes(pid):
    """Return the peak of the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/status") as file:
        return int(re.search(r"VmHWM:\s+(\d+) kB", file.read()).group(1)) * 1024


def cpu_ticks(pid):
    """Return the processor time that a process has used, in clock ticks."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def wait_until_idle(pid):
    """Wait until a process uses little processor time: it has read what was sent."""
    end_s = time.monotonic() + LIMIT_S
    while time.monotonic() < end_s:
        before = cpu_ticks(pid)
        time.sleep(QUIET_S)
        if cpu_ticks(pid) - before < QUIET_TICKS:
            return
