"""Carries blocked parts of prompts between an entry instance, the store and peers."""

import traceback
import typing

from twisted.internet import defer

from cicadaplank.external import errors
from cicadaplank.gateway import guarded_calls
from cicadaplank.messages import types
from cicadaplank.requests import block_records


class BlockRegistry(typing.Protocol):
    """Record of the blocked parts in the store. The methods are coroutines."""

    def read(self):
        """Return a dict from each blocked part to the seconds for which it is blocked.

        :raises PlatformError: when the call fails.
        """

    def write(self, order):
        """Write blocks and return those that the store has now, as :meth:`read`.

        :param order: :class:`cicadaplank.requests.block_records.Write`.
        :raises PlatformError: when a call fails, or another instance wrote meanwhile.
        """


class BlockKeeper:
    """Carries out the orders of a :class:`block_records.BlockRecords`.

    :param reactor: Twisted reactor.
    :param registry: :class:`BlockRegistry`, or None when blocks are not recorded.
    :param causes: :class:`cicadaplank.requests.crash_causes.CrashCauses`.
    :param random: ``random.Random``.
    :param log: callable ``log(event, **fields)``.
    :ivar records: :class:`block_records.BlockRecords`.
    :ivar broadcast: callable ``broadcast(message, exclude)`` to all peers.
    """

    def __init__(self, reactor, registry, causes, random, log):
        self.records = block_records.BlockRecords(random, reactor.seconds())
        self.broadcast = lambda message, exclude: None
        self._reactor = reactor
        self._registry = registry
        self._causes = causes
        self._log = log

    @property
    def is_awaited(self):
        """Whether it is not known yet which parts of prompts are blocked."""
        if self._registry is None:
            return False
        return self.records.is_awaited(self._reactor.seconds())

    def tick(self):
        """Carry out the order that is due, if any."""
        if self._registry is None:
            return
        now_s = self._reactor.seconds()
        left_s = self._causes.blocked_left_s(now_s)
        causes = self._causes
        order = self.records.tick(left_s, causes.observed, causes.released, now_s)
        if order is not None:
            defer.ensureDeferred(self._carry_out(order))

    async def _carry_out(self, order):
        is_read = isinstance(order, block_records.Read)
        try:
            if is_read:
                found_left_s = await self._registry.read()
            else:
                found_left_s = await self._registry.write(order)
        except errors.PlatformError as fault:
            self.records.failed(order, self._reactor.seconds())
            call = type(order).__name__.lower()
            self._log("block_record_failed", call=call, reason=str(fault))
            return
        except Exception:
            self.records.failed(order, self._reactor.seconds())
            detail = traceback.format_exc().strip().replace("\n", " | ")
            detail = detail[-guarded_calls.MAX_DETAIL_CHARS :]
            self._log("block_record_failed", call="internal", reason=detail)
            return
        now_s = self._reactor.seconds()
        taken_out = self.records.done(found_left_s, now_s)
        self._causes.retract(taken_out, block_records.MAX_HOLD_OFF_S, now_s)
        self._causes.adopt(found_left_s, now_s)
        parts = ",".join(sorted(found_left_s))
        if is_read:
            self._log("blocked_parts_read", parts=parts)
            return
        self._log("blocked_parts_written", parts=parts)
        self.broadcast(types.BlockedPartsReport(found_left_s, True), "")

    def message_for_new_peer(self):
        """Return what an instance needs that has just started, None if unknown here."""
        if not self.records.is_known:
            return None
        left_s = self._causes.blocked_left_s(self._reactor.seconds())
        return types.BlockedPartsReport(left_s, False)

    def receive(self, report):
        """Learn from another instance, also when the reports of crashes were lost.

        :param report: :class:`cicadaplank.messages.types.BlockedPartsReport`.
        """
        now_s = self._reactor.seconds()
        self._causes.adopt(report.left_s, now_s)
        if report.is_recorded:
            taken_out = self.records.learn(report.left_s, now_s)
            self._causes.retract(taken_out, block_records.MAX_HOLD_OFF_S, now_s)
        else:
            self.records.inform()

    def store_restored(self):
        """Write the blocks again: the store has come back from an older copy."""
        self.records.forget()

    def update_metrics(self, metrics):
        """Set the gauges of the recorded blocks.

        :param metrics: :class:`cicadaplank.reports.metrics.Metrics`.
        """
        metrics.set_gauge("blocked_parts_recorded", len(self.records))
        metrics.set_gauge("blocked_parts_refused", self.records.refused)
        metrics.set_gauge("answered_parts", self._causes.answered_parts)
        metrics.set_gauge("answered_parts_dropped", self._causes.answers_dropped)
        metrics.set_gauge("crashes_dropped", self._causes.evicted)
