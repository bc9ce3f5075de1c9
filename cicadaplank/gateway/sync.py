"""Keeps copies of the store's tables current, from the store or from peers."""

import dataclasses
import typing

from twisted.internet import defer

from cicadaplank.external import errors
from cicadaplank.gateway import records

# A call for changes returns after this time when there are none. A connection that has
# gone silent is noticed this late; longer waits cost fewer calls.
WAIT_S = 2.0
# Delay after a call that brought changes. What follows at once, as in a release of many
# endpoints, comes with the next call; changes have to be in force after 2 s.
GATHER_S = 0.1
# Delay after a failed call. It grows to the maximum while the store is away.
BACK_OFF_S = 0.1
MAX_BACK_OFF_S = 0.5
# The copy is called current while the store or an up-to-date peer was heard within this
# time.
CURRENT_S = 3.0
# Time without an answer after which the store counts as having been away.
AWAY_S = 3.5
# Records of endpoints lapse while the store is away and are back this long after it.
RETURN_S = 2.5


class HistoryLostError(Exception):
    """The store has no history back to the version that was asked for."""


@dataclasses.dataclass(frozen=True)
class Changes:
    """Records of a table.

    :param records: tuple of :class:`records.Record`.
    :param version: version of the store up to which they are complete.
    """

    records: tuple
    version: int


class Store(typing.Protocol):
    """Reads tables. The coroutines raise ``errors.PlatformError``."""

    def snapshot(self, table):
        """Return :class:`Changes` with every record."""

    def changes(self, table, after, wait_s):
        """Return :class:`Changes` after a version.

        :raises HistoryLostError: when a snapshot is needed.
        """


class MeteredStore:
    """A store whose calls are counted by outcome.

    :param store: :class:`Store`.
    :param count: callable ``count(name, **labels)``.
    """

    def __init__(self, store, count):
        self._store = store
        self._count = count

    async def snapshot(self, table):
        """Return what the store's call returns."""
        return await self._metered("snapshot", self._store.snapshot(table))

    async def changes(self, table, after, wait_s):
        """Return what the store's call returns."""
        return await self._metered("changes", self._store.changes(table, after, wait_s))

    async def _metered(self, call, answer):
        outcome = "failed"
        try:
            answered = await answer
            outcome = "answered"
            return answered
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
            self._count("store_calls", call=call, outcome=outcome)


class Availability:
    """When the store was heard, and how long it was away.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self.heard_s = None
        self._started_s = now_s
        self._returned_s = float("-inf")
        self._failed = False
        self._is_paused = False

    def answered(self, now_s):
        """Take an answer of the store.

        :returns: True when it had been away.
        """
        since_s = self._started_s if self.heard_s is None else self.heard_s
        was_silent = now_s - since_s > AWAY_S and not self._is_paused
        was_away = self._failed or was_silent
        self._is_paused = False
        if was_away and self.heard_s is not None:
            self._returned_s = now_s
        self.heard_s = now_s
        self._failed = False
        return was_away

    def paused(self):
        """Note that the store is not asked for a while; its silence means nothing."""
        self._failed = False
        self._is_paused = True

    def failed(self):
        """Take a failed call.

        :returns: True when the call before it was answered.
        """
        is_new = not self._failed
        self._failed = True
        return is_new

    def may_have_lapsed(self, now_s):
        """Tell whether records that are missing may be written again soon."""
        return self._failed or now_s - self._returned_s < RETURN_S

    def age_s(self, now_s):
        """Return the time since the store was heard."""
        return now_s - (self._started_s if self.heard_s is None else self.heard_s)


class TableSync:
    """Task that follows one table of the store.

    :param reactor: Twisted reactor.
    :param store: :class:`Store`.
    :param table: table name.
    :param changed: called with the set of keys that changed.
    :param log: callable ``log(event, **fields)``.
    :param is_needed: callable that tells whether the table is followed now.
    """

    def __init__(self, reactor, store, table, changed, log, is_needed=lambda: True):
        self.table = table
        self.copy = records.RecordTable()
        self.availability = Availability(reactor.seconds())
        self._changed_s = reactor.seconds()
        self._reactor = reactor
        self._store = store
        self._changed = changed
        self._log = log
        self._is_needed = is_needed
        self._back_off_s = BACK_OFF_S
        self._needs_snapshot = True

    def start(self):
        """Begin to follow the table."""
        defer.ensureDeferred(self._follow())

    async def _follow(self):
        while True:
            if not self._is_needed():
                self.availability.paused()
                await self._sleep(MAX_BACK_OFF_S)
                continue
            try:
                if await self._read():
                    await self._sleep(GATHER_S)
            except HistoryLostError:
                self._log("history_lost", table=self.table, version=self.copy.version)
                self._needs_snapshot = True
            except Exception as fault:
                if self.availability.failed():
                    self._log("store_lost", table=self.table, reason=str(fault))
                await self._sleep(self._back_off_s)
                self._back_off_s = min(MAX_BACK_OFF_S, 2 * self._back_off_s)

    async def _read(self):
        base = self.copy.version
        if self._needs_snapshot or base < 0:
            taken = await self._store.snapshot(self.table)
            self._needs_snapshot = False
            self._heard()
            changed = self.copy.replace(taken.records, taken.version)
        else:
            taken = await self._store.changes(self.table, base, WAIT_S)
            self._heard()
            changed = self.copy.merge(taken.records, taken.version, base)
        if changed:
            self._tell(changed)
        return changed

    def _tell(self, changed):
        self._changed_s = self._reactor.seconds()
        self._changed(changed)

    def version_age_s(self, now_s):
        """Return the time since the copy last changed.

        :param now_s: current time in seconds.
        """
        return now_s - self._changed_s

    def _heard(self):
        self._back_off_s = BACK_OFF_S
        now_s = self._reactor.seconds()
        away_s = self.availability.age_s(now_s)
        if self.availability.answered(now_s):
            self._log(
                "store_regained",
                table=self.table,
                version=self.copy.version,
                away_s=away_s,
            )

    def _sleep(self, delay_s):
        woken = defer.Deferred()
        self._reactor.callLater(delay_s, woken.callback, None)
        return woken

    def from_peer(self, taken, base):
        """Take records from a peer.

        :param taken: :class:`Changes`.
        :param base: version after which they are complete, -1 for a snapshot.
        """
        if base < 0:
            changed = self.copy.replace(taken.records, taken.version)
        else:
            changed = self.copy.merge(taken.records, taken.version, base)
        if changed:
            self._log("records_from_peer", table=self.table, version=taken.version)
            self._tell(changed)
