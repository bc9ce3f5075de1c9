"""When an instance reads a table of the store, and for how long each read waits.

A read waits at the store for changes. One that is not answered a little after its wait
is followed by others that do not wait, while the earlier ones stay in progress: an
answer that is lost, a connection that died and a store that has just come back then
cost a fraction of a second. Waits are drawn at random, so that instances which failed
at the same moment do not read in step afterwards.
"""

import dataclasses

from cicadaplank.gateway import positions

# Range of the wait of a read in quiet times, as shares of ``poll_s``.
QUIET_WAIT_SHARES = (0.88, 1.04)
# Smallest share after a change, a failure or a pause, so that instances do not read in
# step.
SPREAD_WAIT_SHARE = 0.1
# Time after the end of its wait at which a read without an answer is followed by one
# that does not wait.
HEDGE_AFTER_S = 0.15
# Range of the time until another read while none of them is answered.
HEDGE_INTERVAL_S = (0.3, 0.4)
# The same for snapshots, which may be large.
SNAPSHOT_HEDGE_INTERVAL_S = (0.45, 0.55)
# Multiple of the time of an earlier answer within which the next one is expected.
LATENCY_FACTOR = 1.25
# Reads of one table in progress.
MAX_READS = 4
# Delay before the second retry and later ones; the first is sent at once.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.3
# Longest delay while the store has lost its history again after each snapshot.
MAX_LOST_RETRY_S = 1.0
# Random part of such a delay, in both directions.
RETRY_JITTER = 0.2
# Least time between two reads that end at once.
MIN_INTERVAL_S = 0.05
# Delay after a read that returned changes, so that the next one returns several at
# once, as in a release of many endpoints.
BATCH_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True)
class Read:
    """One read of a table.

    :param number: number of the read; later ones have higher numbers.
    :param sent_s: time in seconds at which it was sent.
    :param wait_s: seconds for which it waits for changes.
    :param base: :class:`positions.Position` after which it asks for changes,
        ``positions.NOWHERE`` for a snapshot.
    """

    number: int
    sent_s: float
    wait_s: float
    base: positions.Position

    @property
    def is_snapshot(self):
        """Whether it asks for every record."""
        return self.base == positions.NOWHERE

    def as_of_s(self, now_s, has_changes):
        """Return the time as of which its answer tells the state of the store.

        The answer may have waited in the socket of this process, so that the time at
        which it is read proves nothing.

        :param now_s: current time in seconds.
        :param has_changes: whether it has changes and may have ended its wait early.
        """
        return self.sent_s if has_changes else min(now_s, self.sent_s + self.wait_s)


class Polls:
    """Decides when a table is read.

    :ivar due_s: time in seconds at which the next read is sent if none ends before.
    """

    def __init__(self):
        self.due_s = float("-inf")
        self._reads = {}
        self._count = 0
        self._failures = 0
        self._losses = 0
        self._is_spread = True
        self._waits_next = True
        self._confirmed_s = float("-inf")

    @property
    def in_progress(self):
        """Number of reads that may still be answered."""
        return len(self._reads)

    def is_due(self, now_s):
        """Tell whether a read is to be sent now.

        :param now_s: current time in seconds.
        """
        return now_s >= self.due_s and len(self._reads) < MAX_READS

    def send(self, now_s, base, poll_s, rng):
        """Begin a read.

        :param now_s: current time in seconds.
        :param base: position after which changes are asked for, ``positions.NOWHERE``
            for a snapshot.
        :param poll_s: seconds for which a read waits in quiet times.
        :param rng: source of random numbers.
        :returns: :class:`Read`.
        """
        is_hedge = bool(self._reads)
        wait_s = 0.0
        is_snapshot = base == positions.NOWHERE
        if not is_snapshot and self._waits_next and not is_hedge:
            wait_s = self._draw_wait_s(now_s, poll_s, rng)
        self._waits_next = False
        self._count += 1
        read = Read(self._count, now_s, wait_s, base)
        self._reads[read.number] = read
        if wait_s > 0.0:
            self.due_s = now_s + wait_s + HEDGE_AFTER_S
        elif is_snapshot:
            self.due_s = now_s + rng.uniform(*SNAPSHOT_HEDGE_INTERVAL_S)
        elif not is_hedge:
            self.due_s = now_s + HEDGE_AFTER_S
        else:
            self.due_s = now_s + rng.uniform(*HEDGE_INTERVAL_S)
        return read

    def _draw_wait_s(self, now_s, poll_s, rng):
        least, most = QUIET_WAIT_SHARES
        if not self._is_spread:
            return poll_s * rng.uniform(least, most)
        self._is_spread = False
        least_s, most_s = SPREAD_WAIT_SHARE * poll_s, most * poll_s
        # The state known from the answer before must not become older than in quiet
        # times.
        left_s = max(least_s, most_s - (now_s - self._confirmed_s))
        return rng.uniform(least_s, min(most_s, left_s))

    def answered(self, read, now_s, has_changes):
        """Record an answer.

        :param read: :class:`Read`.
        :param now_s: current time in seconds.
        :param has_changes: whether it has changes and may have ended its wait early.
        :returns: time in seconds as of which it tells the state of the store.
        """
        as_of_s = read.as_of_s(now_s, has_changes)
        self._confirmed_s = max(self._confirmed_s, as_of_s)
        if read.number not in self._reads:
            return as_of_s
        # What earlier reads could tell is known now.
        self._reads = {n: r for n, r in self._reads.items() if n > read.number}
        self._is_spread |= has_changes or self._failures > 0
        self._failures = 0
        if not read.is_snapshot:
            self._losses = 0
        if read.number == self._count:
            self._waits_next = True
            delay_s = BATCH_DELAY_S if has_changes else 0.0
            self.due_s = max(now_s + delay_s, read.sent_s + MIN_INTERVAL_S)
        elif self._count in self._reads:
            # The store is slow; the answer to the newest read takes as long.
            newest = self._reads[self._count]
            latency_s = max(0.0, now_s - read.sent_s - read.wait_s)
            expected_s = newest.sent_s + newest.wait_s + LATENCY_FACTOR * latency_s
            self.due_s = max(self.due_s, expected_s)
        return as_of_s

    def failed(self, read, now_s, rng):
        """Record a read that failed.

        :param read: :class:`Read`.
        :param now_s: current time in seconds.
        :param rng: source of random numbers.
        :returns: False when a later read has been answered meanwhile.
        """
        if self._reads.pop(read.number, None) is None:
            return False
        self._is_spread = True
        if read.number != self._count:
            return True
        self._failures += 1
        delay_s = _retry_delay_s(self._failures, MAX_RETRY_S, rng)
        self.due_s = max(now_s + delay_s, read.sent_s + MIN_INTERVAL_S)
        return True

    def history_lost(self, read, now_s, rng):
        """Record that the store no longer has the changes that a read asked for.

        :param read: :class:`Read`.
        :param now_s: current time in seconds.
        :param rng: source of random numbers.
        """
        if self._reads.pop(read.number, None) is None:
            return
        self._is_spread = True
        self._losses += 1
        delay_s = _retry_delay_s(self._losses, MAX_LOST_RETRY_S, rng)
        self.due_s = max(now_s + delay_s, read.sent_s + MIN_INTERVAL_S)

    def pause(self, now_s):
        """Record that the table is not read now. The first read after it does not wait.

        :param now_s: current time in seconds.
        """
        self.due_s = now_s
        self._is_spread = True
        self._waits_next = False
        self._reads.clear()


def _retry_delay_s(failures, limit_s, rng):
    """Return the delay after some failures in a row; the first retry has none."""
    if failures < 2:
        return 0.0
    doubled_s = MIN_RETRY_S * 2 ** min(failures - 2, 8)
    jitter = rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
    return min(limit_s, doubled_s) * jitter
