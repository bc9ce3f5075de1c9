"""Reports to the entry instances on which prompt prefixes an engine has cached."""

import collections
import dataclasses

from cicadaplank.messages import types
from cicadaplank.world import links

POLL_INTERVAL_S = 1.0
# Limit of events for each poll; a longer backlog takes several polls.
MAX_EVENTS_PER_POLL = 2_000
MAX_PREFIXES = 4_096
MAX_HELD_BLOCKS = 65_536
MAX_REMOVED_BLOCKS = 16_384
MAX_PENDING_CHANGES = 4_096
MAX_WATCHERS = 1_024
MAX_CHANGES_PER_REPORT = 64
MAX_SNAPSHOT_PREFIXES = 128
MIN_REPORT_INTERVAL_S = 0.5
# For all watchers together: an eighth of the control traffic of a daemon.
REPORT_BYTES_PER_S = 512.0
REPORT_BURST_BYTES = 4_096.0
# Sizes of the envelope with an instance name of 40 bytes, and of one prefix digest of
# 16 hex digits.
REPORT_HEADER_BYTES = 80
CHANGE_BYTES = 18
# When an eviction has waited this long for the budget, one short report that does not
# wait for the budget clears all hints.
MAX_EVICTION_DELAY_S = 5.0
# When no read has succeeded for this time, evictions may have been missed.
MAX_READ_GAP_S = 5.0


@dataclasses.dataclass(frozen=True)
class ReadCacheEvents:
    """Read the engine's cache events.

    The caller responds with :meth:`PrefixCacheReporter.events_read` or
    :meth:`PrefixCacheReporter.read_failed`.

    :param after: sequence number; only later events are read.
    :param limit: maximum number of events.
    """

    after: int
    limit: int


@dataclasses.dataclass(frozen=True)
class SendReport:
    """Send a report to entry instances.

    The caller calls :meth:`PrefixCacheReporter.undelivered` for each one that it cannot
    send to.

    :param watchers: tuple of names of entry instances.
    :param report: :class:`cicadaplank.messages.types.CacheReport`.
    """

    watchers: tuple
    report: types.CacheReport


class PrefixCacheReporter:
    """Turns the cache events of one engine into reports about prefixes.

    The response to a request names the cache block that ends the prefix of its prompt.
    The events tell which blocks the engine stored and removed. Each read starts with
    the last event of the previous read: when it is missing or differs, the engine has
    restarted or dropped events.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self.counts = collections.Counter()
        self._last_event = None
        self._last_read_s = now_s
        self._next_poll_s = now_s
        self._reading = False
        self._prefixes = collections.OrderedDict()
        self._prefixes_of_block = {}
        self._held_blocks = collections.OrderedDict()
        self._removed_blocks = collections.OrderedDict()
        self._pending_changes = collections.OrderedDict()
        self._reported_prefixes = set()
        self._is_clear_pending = False
        self._served_rows = {}
        self._watchers = set()
        self._snapshot_watchers = set()
        self._sequence = 0
        self._next_report_s = now_s
        self._budget = links.TokenBucket(REPORT_BYTES_PER_S, REPORT_BURST_BYTES, now_s)

    @property
    def sizes(self):
        """Dict from name to number of entries of the bounded collections."""
        return {
            "prefixes": len(self._prefixes),
            "held_blocks": len(self._held_blocks),
            "removed_blocks": len(self._removed_blocks),
            "pending": len(self._pending_changes),
            "watchers": len(self._watchers),
        }

    # Cache events of the engine.

    def events_read(self, events, now_s):
        """Apply the events that were read.

        :param events: tuple of :class:`cicadaplank.external.engines.CacheEvent`.
        :param now_s: current time in seconds.
        :returns: False when the engine may have restarted.
        """
        self._reading = False
        self._last_read_s = now_s
        self.counts["events_read"] += len(events)
        is_continuous = True
        if self._last_event is not None:
            if events and events[0] == self._last_event:
                events = events[1:]
            else:
                is_continuous = False
                self._reset("events_discontinued")
        for event in events:
            if (
                self._last_event is not None
                and event.sequence != self._last_event.sequence + 1
            ):
                self._reset("events_missing")
            self._last_event = event
            if event.kind == "stored":
                self._block_stored(event.block, now_s)
            elif event.kind == "removed":
                self._block_removed(event.block, now_s)
        return is_continuous

    def read_failed(self, now_s):
        """Record that the events could not be read.

        :param now_s: current time in seconds.
        """
        self._reading = False
        self.counts["reads_failed"] += 1
        if self._last_event is not None and now_s - self._last_read_s > MAX_READ_GAP_S:
            self._reset("events_silent")

    def _reset(self, cause):
        """Drop all state inferred from events; the map of prefixes to blocks is kept.

        :param cause: name of the counter that is incremented.
        """
        self.counts[cause] += 1
        self._last_event = None
        self._held_blocks.clear()
        self._removed_blocks.clear()
        self._clear_reported()

    def _clear_reported(self):
        self._pending_changes.clear()
        self._reported_prefixes.clear()
        self._is_clear_pending = True

    def _block_stored(self, block, now_s):
        self._removed_blocks.pop(block, None)
        self._held_blocks[block] = None
        self._held_blocks.move_to_end(block)
        self._queue_changes(block, True, now_s)
        if len(self._held_blocks) > MAX_HELD_BLOCKS:
            self.counts["held_blocks_dropped"] += 1
            oldest, _ = self._held_blocks.popitem(last=False)
            self._queue_changes(oldest, False, now_s)

    def _block_removed(self, block, now_s):
        self._held_blocks.pop(block, None)
        self._removed_blocks[block] = None
        self._removed_blocks.move_to_end(block)
        self._queue_changes(block, False, now_s)
        if len(self._removed_blocks) > MAX_REMOVED_BLOCKS:
            self.counts["removed_blocks_dropped"] += 1
            self._removed_blocks.popitem(last=False)

    def _queue_changes(self, block, held, now_s):
        for prefix in self._prefixes_of_block.get(block, ()):
            if not held or prefix not in self._reported_prefixes:
                self._queue_change(prefix, held, now_s)

    def _queue_change(self, prefix, held, now_s):
        if not held:
            self._reported_prefixes.discard(prefix)
        queued = self._pending_changes.get(prefix)
        if queued is None or queued[0] != held:
            self._pending_changes[prefix] = (held, now_s)
            self._pending_changes.move_to_end(prefix)
        if len(self._pending_changes) > MAX_PENDING_CHANGES:
            self.counts["pending_dropped"] += len(self._pending_changes)
            self._clear_reported()

    # Requests.

    def request_completed(self, prefix, block, now_s):
        """Record the block that ends the prefix of a completed request.

        :param prefix: prefix digest.
        :param block: hash of the engine's cache block, or empty when not known.
        :param now_s: current time in seconds.
        """
        if not prefix or not block:
            return
        self._unlink(prefix)
        self._prefixes[prefix] = block
        self._prefixes_of_block.setdefault(block, {})[prefix] = None
        if len(self._prefixes) > MAX_PREFIXES:
            self.counts["prefixes_dropped"] += 1
            oldest = next(iter(self._prefixes))
            self._unlink(oldest)
            self._queue_change(oldest, False, now_s)
        if self._last_event is None:
            # Evictions are not known, so the prefix is not reported as cached.
            return
        if block in self._removed_blocks:
            # The entry instance infers from the response that the prefix is cached;
            # the report corrects this.
            self._queue_changes(block, False, now_s)
        else:
            # The engine may hold blocks whose events were lost in a gap.
            self._block_stored(block, now_s)

    def _unlink(self, prefix):
        block = self._prefixes.pop(prefix, None)
        if block is None:
            return
        prefixes = self._prefixes_of_block[block]
        del prefixes[prefix]
        if not prefixes:
            del self._prefixes_of_block[block]

    def set_served_rows(self, rows):
        """Set the weights that the engine serves.

        When a row changes or ends, all prefixes are dropped: blocks that were computed
        with other weights cannot be used.

        :param rows: dict from row name to manifest digest.
        """
        before, self._served_rows = self._served_rows, dict(rows)
        if any(rows.get(row) != digest for row, digest in before.items()):
            self.counts["weights_changed"] += 1
            self._prefixes.clear()
            self._prefixes_of_block.clear()
            self._clear_reported()

    # Reports to entry instances.

    def watcher_connected(self, watcher, now_s):
        """Add an entry instance and send it a snapshot.

        :param watcher: name of the entry instance.
        :param now_s: current time in seconds.
        :returns: tuple of :class:`SendReport`; empty when there are too many watchers.
        """
        if watcher not in self._watchers and len(self._watchers) >= MAX_WATCHERS:
            self.counts["watchers_rejected"] += 1
            return ()
        self._watchers.add(watcher)
        return (self._snapshot(watcher, now_s),)

    def watcher_lost(self, watcher):
        """Remove an entry instance.

        :param watcher: name of the entry instance.
        """
        self._watchers.discard(watcher)
        self._snapshot_watchers.discard(watcher)

    def undelivered(self, watcher):
        """Record that a report was not sent; a snapshot replaces it.

        :param watcher: name of the entry instance.
        """
        if watcher in self._watchers:
            self.counts["reports_undelivered"] += 1
            self._snapshot_watchers.add(watcher)

    def tick(self, now_s):
        """Poll the events and send the reports that are due.

        :param now_s: current time in seconds.
        :returns: tuple of :class:`ReadCacheEvents` and :class:`SendReport`.
        """
        actions = ()
        if not self._reading and now_s >= self._next_poll_s:
            self._reading = True
            self._next_poll_s = now_s + POLL_INTERVAL_S
            after = max(0, self._last_event.sequence - 1) if self._last_event else 0
            actions += (ReadCacheEvents(after, MAX_EVENTS_PER_POLL),)
        overdue = self._is_eviction_overdue(now_s)
        if overdue:
            self.counts["evictions_late"] += 1
            self._clear_reported()
        if overdue or now_s >= self._next_report_s:
            actions += self._due_reports(now_s)
        return actions

    def _due_reports(self, now_s):
        actions = ()
        up_to_date = tuple(sorted(self._watchers - self._snapshot_watchers))
        if self._pending_changes or self._is_clear_pending:
            report = self._next_report(max(1, len(up_to_date)))
            actions += (SendReport(up_to_date, report),) if up_to_date else ()
            self._charge_budget(report, len(up_to_date), now_s)
        outdated, self._snapshot_watchers = sorted(self._snapshot_watchers), set()
        return actions + tuple(self._snapshot(watcher, now_s) for watcher in outdated)

    def _is_eviction_overdue(self, now_s):
        eviction_times = (
            since for held, since in self._pending_changes.values() if not held
        )
        return now_s - next(eviction_times, now_s) > MAX_EVICTION_DELAY_S

    def _next_report(self, watchers):
        max_changes = int(
            (REPORT_BURST_BYTES / watchers - REPORT_HEADER_BYTES) // CHANGE_BYTES
        )
        max_changes = min(MAX_CHANGES_PER_REPORT, max(1, max_changes))
        # Evictions first: a wrong hint costs more than a missing one.
        ordered = sorted(
            self._pending_changes, key=lambda prefix: self._pending_changes[prefix][0]
        )
        sent = {
            prefix: self._pending_changes.pop(prefix)[0]
            for prefix in ordered[:max_changes]
        }
        stored = [prefix for prefix, held in sent.items() if held]
        evicted = [prefix for prefix, held in sent.items() if not held]
        self._reported_prefixes.update(stored)
        self._sequence += 1
        cleared, self._is_clear_pending = self._is_clear_pending, False
        return types.CacheReport(self._sequence, stored, evicted, cleared)

    def _snapshot(self, watcher, now_s):
        """Return a report of the newest cached prefixes, which clears earlier hints.

        Its sequence number is the current one, so that the next report continues it.
        """
        latest_first = reversed(self._prefixes.items())
        held = [prefix for prefix, block in latest_first if block in self._held_blocks]
        held = held[:MAX_SNAPSHOT_PREFIXES]
        report = types.CacheReport(self._sequence, held, [], True)
        self._charge_budget(report, 1, now_s)
        return SendReport((watcher,), report)

    def _charge_budget(self, report, watchers, now_s):
        changes = len(report.stored) + len(report.evicted)
        size_bytes = watchers * (REPORT_HEADER_BYTES + CHANGE_BYTES * changes)
        self.counts["reports"] += watchers
        self.counts["report_bytes"] += size_bytes
        delay_s = self._budget.reserve(size_bytes, now_s)
        self._next_report_s = max(
            self._next_report_s, now_s + max(MIN_REPORT_INTERVAL_S, delay_s)
        )
