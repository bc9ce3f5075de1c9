"""Synchronisation of copies of the store's tables with the store or with peers."""

import dataclasses
import random
import traceback
import typing

from twisted.internet import defer

from cicadaplank.external import errors
from cicadaplank.gateway import guarded_calls, polling, positions, records

# Share of the time within which a configuration has to be in force for which a long
# poll waits for changes. A longer poll needs fewer calls, but a connection that has
# gone silent is noticed only after it.
POLL_SHARE = 0.5
# Share of that time after which an instance whose copies nobody has confirmed reads the
# store itself. The rest is left for its own read.
UNCONFIRMED_SHARE = 0.7
# Longest poll, within which a silent store shows in time for :data:`MAX_CURRENT_AGE_S`.
MAX_POLL_S = 2.0
# Time within which a configuration has to be in force when none is set.
DEFAULT_IN_FORCE_S = 2.0
# Interval at which an instance that takes records from peers checks whether it has to
# read the store itself.
READ_CHECK_INTERVAL_S = 0.1
# A copy counts as current when the store or an up-to-date peer has answered within this
# time.
MAX_CURRENT_AGE_S = 3.0
# Time without an answer after which the store counts as having been unavailable.
OUTAGE_AFTER_S = 3.5
# Records of endpoints expire while the store is unavailable. Within this time after its
# recovery they are written again.
RECOVERY_GRACE_S = 2.5


@dataclasses.dataclass(frozen=True)
class PollTimes:
    """How long polls wait, and when copies count as unconfirmed.

    :param poll_s: seconds for which a long poll waits for changes.
    :param max_unconfirmed_s: seconds without confirmation after which an instance that
        takes records from peers reads the store itself.
    """

    poll_s: float
    max_unconfirmed_s: float


def poll_times(in_force_s=DEFAULT_IN_FORCE_S):
    """Return the :class:`PollTimes` of a deployment.

    :param in_force_s: seconds within which a configuration has to be in force.
    """
    poll_s = min(MAX_POLL_S, POLL_SHARE * in_force_s)
    return PollTimes(poll_s, poll_s * UNCONFIRMED_SHARE / POLL_SHARE)


class HistoryLostError(Exception):
    """The store no longer has all changes since the requested position."""


@dataclasses.dataclass(frozen=True)
class Changes:
    """Records of a table, from a snapshot or since a position.

    :param records: tuple of :class:`records.Record`.
    :param position: :class:`positions.Position` of the store up to which they are
        complete.
    """

    records: tuple
    position: positions.Position


@dataclasses.dataclass(frozen=True)
class Source:
    """Origin of records, for the log.

    :param name: name of the peer, or ``store``.
    :param requested_after_s: seconds from the request for the records to their arrival.
    :param delay_s: queueing delay of the path from a peer in seconds.
    """

    name: str
    requested_after_s: float
    delay_s: float = 0.0


class Store(typing.Protocol):
    """Client of the store that reads tables.

    The methods are coroutines and raise ``errors.PlatformError``.
    """

    def snapshot(self, table):
        """Return every record of a table.

        :param table: table name.
        :returns: :class:`Changes`.
        """

    def changes(self, table, after, wait_s):
        """Return the records of a table that changed after a position.

        :param table: table name.
        :param after: :class:`positions.Position`.
        :param wait_s: seconds to wait for a change when there is none.
        :returns: :class:`Changes` of the same era.
        :raises HistoryLostError: when a snapshot is needed, as the store has dropped
            changes or is in another era.
        """


class MeteredStore:
    """Wrapper of a :class:`Store` that counts its calls by outcome.

    :param store: :class:`Store`.
    :param count: callable ``count(name, **labels)`` that adds one to a counter.
    """

    def __init__(self, store, count):
        self._store = store
        self._count = count

    async def snapshot(self, table):
        """Call and count :meth:`Store.snapshot`."""
        return await self._await_counted("snapshot", self._store.snapshot(table))

    async def changes(self, table, after, wait_s):
        """Call and count :meth:`Store.changes`."""
        return await self._await_counted(
            "changes", self._store.changes(table, after, wait_s)
        )

    async def _await_counted(self, operation, coroutine):
        outcome = "failed"
        try:
            result = await coroutine
            outcome = "answered"
            return result
        except HistoryLostError:
            outcome = "history_lost"
            raise
        except errors.Unavailable:
            outcome = "unavailable"
            raise
        except errors.AnswerLost:
            outcome = "answer_lost"
            raise
        finally:
            self._count("store_calls", call=operation, outcome=outcome)


class Availability:
    """Tracks when the store answered and whether it is unavailable.

    :param now_s: current time in seconds.
    :ivar heard_s: time in seconds as of which answers tell the state of the store, or
        None before the first.
    """

    def __init__(self, now_s):
        self.heard_s = None
        self._started_s = now_s
        self._recovered_s = float("-inf")
        self._restored_s = float("-inf")
        self._failed = False
        self._is_paused = False

    def record_answer(self, now_s, as_of_s=None):
        """Record an answer of the store.

        :param now_s: current time in seconds.
        :param as_of_s: time in seconds as of which it tells the state of the store, if
            that is not now.
        :returns: True when the store had been unavailable: the last call failed, or no
            answer came for :data:`OUTAGE_AFTER_S` although the store was polled.
        """
        since_s = self._started_s if self.heard_s is None else self.heard_s
        was_silent = now_s - since_s > OUTAGE_AFTER_S and not self._is_paused
        was_away = self._failed or was_silent
        self._is_paused = False
        if was_away and self.heard_s is not None:
            self._recovered_s = now_s
        as_of_s = now_s if as_of_s is None else as_of_s
        self.heard_s = as_of_s if self.heard_s is None else max(self.heard_s, as_of_s)
        self._failed = False
        return was_away

    def record_pause(self):
        """Record that the store is not polled now, so that its silence is no outage."""
        self._failed = False
        self._is_paused = True

    def record_failure(self):
        """Record a failed call.

        :returns: True when it is the first failure since the last answer or pause.
        """
        is_new = not self._failed
        self._failed = True
        return is_new

    def record_restore(self, now_s):
        """Record that the store has come back from an older copy of its data.

        :param now_s: current time in seconds.
        """
        self._restored_s = now_s

    def was_restored(self, now_s):
        """Tell whether the store lost records that are to be written again soon.

        :param now_s: current time in seconds.
        :returns: True for :data:`RECOVERY_GRACE_S` after a restore was noticed.
        """
        return now_s - self._restored_s < RECOVERY_GRACE_S

    def records_may_have_expired(self, now_s):
        """Tell whether missing records may only have expired during an outage.

        :param now_s: current time in seconds.
        :returns: True during an outage of the store and for :data:`RECOVERY_GRACE_S`
            after it.
        """
        return self._failed or now_s - self._recovered_s < RECOVERY_GRACE_S

    def age_s(self, now_s):
        """Return the age of the state that answers tell, or the time since the start.

        :param now_s: current time in seconds.
        """
        return now_s - (self._started_s if self.heard_s is None else self.heard_s)


class TableSync:
    """Background task that keeps a copy of one table of the store up to date.

    :param reactor: Twisted reactor.
    :param store: :class:`Store`.
    :param table: table name.
    :param changed: callback that applies the copy, with the set of keys that changed
        last. It is called again when it fails.
    :param log: callable ``log(event, **fields)``.
    :param is_needed: callable that returns whether the store is polled now.
    :param restored: callback without arguments, called when the copy is of a later era
        than before.
    :ivar copy: the :class:`records.RecordTable`.
    :ivar times: :class:`PollTimes`.
    :ivar availability: :class:`Availability` of the store.
    :ivar guarded: :class:`guarded_calls.GuardedCalls` of ``changed``.
    :ivar answers_read: number of answers of the store.
    :ivar changes_read: number of answers of the store that changed the copy.
    :ivar polls: :class:`polling.Polls`.
    :ivar rng: source of the random times of reads.
    :ivar confirmed_s: time in seconds as of which the store is known to have held no
        newer change than the copy, or None before the first answer. It is set after a
        change is reported, which happened later than the time known before.
    """

    def __init__(
        self,
        reactor,
        store,
        table,
        changed,
        log,
        is_needed=lambda: True,
        restored=lambda: None,
    ):
        self.table = table
        self.copy = records.RecordTable()
        self.times = poll_times()
        self.availability = Availability(reactor.seconds())
        self.confirmed_s = None
        self._last_change_s = reactor.seconds()
        self._reactor = reactor
        self._store = store
        self.guarded = guarded_calls.GuardedCalls(reactor, log)
        self._on_change = changed
        self._log = log
        self._is_needed = is_needed
        self._on_restore = restored
        self.answers_read = 0
        self.changes_read = 0
        self.polls = polling.Polls()
        self.rng = random.Random()
        self._timer = None
        # Position after which the store is known to have lost its history.
        self._lost_after = positions.NOWHERE

    def start(self):
        """Start to follow the store."""
        self._advance()

    def _advance(self):
        """Send the read that is due, and return here when the next one is."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        now_s = self._reactor.seconds()
        delay_s = READ_CHECK_INTERVAL_S
        is_due = False
        if not self._is_needed():
            self.availability.record_pause()
            self.polls.pause(now_s)
        elif self.polls.is_due(now_s):
            is_due = True
        elif self.polls.due_s > now_s:
            delay_s = self.polls.due_s - now_s
        self._timer = self._reactor.callLater(delay_s, self._advance)
        if is_due:
            defer.ensureDeferred(self._read(now_s))

    def read_anew(self):
        """Replace the copy by a snapshot: it may lack records that it counts as read.

        Reads that wait for changes go on meanwhile.
        """
        self._lost_after = max(self._lost_after, self.copy.position)
        self.polls.due_s = self._reactor.seconds()
        self._advance()

    async def _read(self, started_s):
        base = self.copy.position
        if base <= self._lost_after:
            base = positions.NOWHERE
        read = self.polls.send(started_s, base, self.times.poll_s, self.rng)
        try:
            if read.is_snapshot:
                changes = await self._store.snapshot(self.table)
            else:
                changes = await self._store.changes(self.table, base, read.wait_s)
            self._answer(read, changes)
        except HistoryLostError as fault:
            self._lose_history(read, fault)
        except errors.PlatformError as fault:
            self._fail(read, fault)
        except Exception as fault:
            # An answer that cannot be used must not end the reads of the table.
            detail = traceback.format_exc().strip().replace("\n", " | ")
            self._log(
                "read_failed",
                table=self.table,
                detail=detail[-guarded_calls.MAX_DETAIL_CHARS :],
            )
            self._fail(read, fault)
        self._advance()

    def _lose_history(self, read, fault):
        if read.base >= self.copy.position:
            self._log(
                "history_lost",
                table=self.table,
                position=str(read.base),
                reason=str(fault),
            )
            self._lost_after = max(self._lost_after, read.base)
        self.polls.history_lost(read, self._reactor.seconds(), self.rng)

    def _fail(self, read, fault):
        # A read that was overtaken by an answered one says nothing of the store now.
        is_pending = self.polls.failed(read, self._reactor.seconds(), self.rng)
        if is_pending and self.availability.record_failure():
            self._log("store_lost", table=self.table, reason=str(fault))

    def _answer(self, read, changes):
        now_s = self._reactor.seconds()
        position = changes.position
        if position.era < self.copy.position.era:
            raise errors.AnswerLost(
                f"answer of era {position.era}, expected {self.copy.position.era}"
            )
        if read.is_snapshot and position < self._lost_after:
            raise errors.AnswerLost(
                f"snapshot at {position}, expected {self._lost_after} or later"
            )
        changed = self._apply(changes, read.base)
        if read.is_snapshot:
            self._lost_after = positions.NOWHERE
        # An answer with records ended the wait early, also if peers sent them before.
        as_of_s = self.polls.answered(read, now_s, bool(changes.records))
        self._record_answer(as_of_s)
        self.answers_read += 1
        if changed:
            self.changes_read += 1
            self._notify(changed, Source("store", now_s - read.sent_s))
        known_s = as_of_s if self.confirmed_s is None else self.confirmed_s
        self.confirmed_s = max(as_of_s, known_s)

    def _apply(self, changes, base):
        """Apply records to the copy.

        :param changes: :class:`Changes`.
        :param base: position after which they are complete, ``positions.NOWHERE`` for a
            snapshot.
        :returns: set of keys that changed.
        """
        before = self.copy.position
        if base == positions.NOWHERE:
            changed = self.copy.replace(changes.records, changes.position)
        else:
            changed = self.copy.merge(changes.records, changes.position, base)
        if positions.NOWHERE < before and before.era < self.copy.position.era:
            self.availability.record_restore(self._reactor.seconds())
            self._log(
                "store_restored",
                table=self.table,
                before=str(before),
                position=str(self.copy.position),
                changed=len(changed),
            )
            self._on_restore()
        return changed

    def _notify(self, changed, source):
        self._last_change_s = self._reactor.seconds()
        self._log(
            "records_received",
            table=self.table,
            era=self.copy.position.era,
            version=self.copy.position.version,
            keys=len(changed),
            source=source.name,
            requested_after_s=source.requested_after_s,
            path_delay_s=source.delay_s,
        )
        self.guarded.call(self.table, self._on_change, changed)

    def version_age_s(self, now_s):
        """Return the seconds since the copy last changed, or since the start.

        :param now_s: current time in seconds.
        """
        return now_s - self._last_change_s

    def _record_answer(self, as_of_s):
        now_s = self._reactor.seconds()
        away_s = self.availability.age_s(now_s)
        if self.availability.record_answer(now_s, as_of_s):
            self._log(
                "store_regained",
                table=self.table,
                position=str(self.copy.position),
                away_s=away_s,
            )

    def apply_from_peer(self, changes, base, source):
        """Apply records that a peer sent.

        :param changes: :class:`Changes`.
        :param base: position after which they are complete, ``positions.NOWHERE`` for a
            snapshot.
        :param source: :class:`Source`.
        """
        changed = self._apply(changes, base)
        if changed:
            self._notify(changed, source)
