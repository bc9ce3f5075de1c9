"""Bound on the memory that the connections of clients hold together.

Load pattern: many clients that each stay within the limits of a request, but together
hold more than the machine has: heads of many short lines, bodies that stop just short
of their end, requests sent far ahead, answers that nobody reads.
"""

import collections
import dataclasses
import enum
import itertools

MB = 1024 * 1024
# Memory of a machine whose settings do not say.
DEFAULT_MEMORY_MB = 200
# Memory for the interpreter and the tables. Of the rest, shares are for what clients
# hold and for incomplete answers of endpoints; what is left is for copies in transit.
RESERVED_MB = 64
CLIENTS_SHARE = 0.3
ANSWERS_SHARE = 0.2
# The largest request within the default limits, and a copy of it.
MIN_CLIENTS_BYTES = 9 * MB
MIN_ANSWERS_BYTES = 6 * MB
MAX_ANSWERS_BYTES = 48 * MB
# A holder that has not advanced for this time stands still.
STILL_S = 1.0
# Cuts go on below the limit, so that each search makes room for some time.
LOW_WATER_SHARE = 0.9
# Descriptors of a machine whose settings do not say, those kept for files, and the
# share of the others for clients: each call may need a connection to an endpoint.
DEFAULT_MAX_FDS = 4096
RESERVED_FDS = 200
CLIENT_FDS_SHARE = 0.45
# The interpreter's overhead of a header: a tuple, two bytes objects and a list entry.
HEADER_BYTES = 144


class Holds(enum.Enum):
    """What the memory of a connection is held for."""

    CALL = "call"
    REQUEST = "request"
    ANSWER = "answer"


@dataclasses.dataclass(frozen=True)
class Holding:
    """Memory that a connection holds.

    :param held_bytes: number of bytes in the interpreter.
    :param kind: :class:`Holds`.
    :param since_s: time from which on it has held memory, in seconds.
    :param advanced_s: time at which it last received or was read, in seconds.
    """

    held_bytes: int
    kind: Holds
    since_s: float
    advanced_s: float

    def cut_order(self, now_s):
        """Return a key that is largest for what is cut first.

        Requests that are being answered come last. Of the others, one that stands
        still comes before one that flows, and then the one that holds most for longest.

        :param now_s: current time in seconds.
        """
        is_waiting = self.kind is not Holds.CALL
        is_still = is_waiting and now_s - self.advanced_s >= STILL_S
        held_for_s = max(now_s - self.since_s, STILL_S)
        return is_waiting, is_still, self.held_bytes * held_for_s


@dataclasses.dataclass(frozen=True)
class MachineLimits:
    """Limits of the machine that a process runs on.

    :param memory_mb: memory in MB; a process that exceeds it is killed.
    :param max_fds: number of descriptors that may be open.
    """

    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS

    @property
    def clients_bytes(self):
        """Most bytes that connections of clients hold together."""
        return max(MIN_CLIENTS_BYTES, self._share_bytes(CLIENTS_SHARE))

    @property
    def answers_bytes(self):
        """Most bytes of incomplete answers of endpoints."""
        share_bytes = self._share_bytes(ANSWERS_SHARE)
        return min(MAX_ANSWERS_BYTES, max(MIN_ANSWERS_BYTES, share_bytes))

    def _share_bytes(self, share):
        return int((self.memory_mb - RESERVED_MB) * MB * share)

    @property
    def client_connections(self):
        """Most connections of clients."""
        return max(1, int((self.max_fds - RESERVED_FDS) * CLIENT_FDS_SHARE))


def headers_bytes(headers):
    """Return the memory that a list of headers takes.

    :param headers: list of ``(name, value)``.
    """
    return HEADER_BYTES * len(headers) + text_bytes(headers)


def text_bytes(headers):
    """Return the number of bytes of names and values together.

    :param headers: list of ``(name, value)``.
    """
    return sum(map(len, itertools.chain.from_iterable(headers)))


class MemoryAccount:
    """Memory that each connection holds, and which ones are cut for want of it.

    :param limit_bytes: most bytes that all hold together.
    :ivar cuts: number of connections that were cut, by :class:`Holds`.
    """

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.cuts = collections.Counter()
        self._holdings = {}
        self._total_bytes = 0

    @property
    def total_bytes(self):
        """Number of bytes that are held."""
        return self._total_bytes

    def holding(self, holder):
        """Return the :class:`Holding` of a holder, or None."""
        return self._holdings.get(holder)

    def set_held(self, holder, held_bytes, kind, now_s, has_advanced=True):
        """Set what a connection holds.

        :param holder: connection, hashable.
        :param held_bytes: number of bytes.
        :param kind: :class:`Holds`.
        :param now_s: current time in seconds.
        :param has_advanced: whether it has received something or was read.
        """
        before = self._holdings.get(holder)
        since_s = advanced_s = now_s
        if before is not None:
            self._total_bytes -= before.held_bytes
            if before.kind is kind:
                since_s = before.since_s
                advanced_s = now_s if has_advanced else before.advanced_s
        self._holdings[holder] = Holding(held_bytes, kind, since_s, advanced_s)
        self._total_bytes += held_bytes

    def release(self, holder):
        """Forget a connection; nothing happens when it holds nothing."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._total_bytes -= holding.held_bytes

    def take_excess(self, now_s):
        """Take out the connections that are to be cut, the first one first.

        :param now_s: current time in seconds.
        :returns: list of tuples of a holder and its :class:`Holding`.
        """
        if self._total_bytes <= self.limit_bytes:
            return []
        order = sorted(
            self._holdings.items(),
            key=lambda item: item[1].cut_order(now_s),
            reverse=True,
        )
        excess = []
        low_water_bytes = self.limit_bytes * LOW_WATER_SHARE
        for holder, holding in order:
            if self._total_bytes <= low_water_bytes:
                break
            self.release(holder)
            self.cuts[holding.kind] += 1
            excess.append((holder, holding))
        return excess

    def standing_still(self, kind, limit_s, now_s):
        """Return the connections of a kind that have not advanced for some time.

        :param kind: :class:`Holds`.
        :param limit_s: time in seconds.
        :param now_s: current time in seconds.
        """
        return [
            holder
            for holder, holding in self._holdings.items()
            if holding.kind is kind and now_s - holding.advanced_s >= limit_s
        ]
