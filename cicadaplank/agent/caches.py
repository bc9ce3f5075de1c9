"""What an engine's cache events say about prefixes, for the entry instances."""

import collections
import dataclasses

from cicadaplank.messages import types
from cicadaplank.world import links

POLL_S = 1.0
# Events read at once; a longer backlog is read over several polls.
MAX_EVENTS_PER_POLL = 2_000
MAX_PREFIXES = 4_096
MAX_HELD_BLOCKS = 65_536
MAX_REMOVED_BLOCKS = 16_384
MAX_PENDING = 4_096
MAX_WATCHERS = 1_024
MAX_CHANGES_PER_REPORT = 64
MAX_SNAPSHOT_PREFIXES = 128
MIN_REPORT_S = 0.5
# Over all watchers: an eighth of the control traffic of a daemon.
REPORT_BYTES_PER_S = 512.0
REPORT_BURST_BYTES = 4_096.0
# Envelope with an instance name of 40 bytes, and one digest of 16 hex digits.
REPORT_BYTES = 80
CHANGE_BYTES = 18
# After this time an eviction that does not fit into the budget ends all hints, with one
# short report that does not wait for the budget.
MAX_EVICTION_DELAY_S = 5.0
# Without events for this time, evictions may have been missed.
MAX_SILENCE_S = 5.0


@dataclasses.dataclass(frozen=True)
class ReadEvents:
    """Read the engine's cache events.

    The edge calls :meth:`Caches.events_read` or :meth:`Caches.read_failed`.

    :param after: sequence number of the last event that is not wanted.
    :param limit: number of events to read at most.
    """

    after: int
    limit: int


@dataclasses.dataclass(frozen=True)
class SendReport:
    """Send a report; the edge calls :meth:`Caches.undelivered` when it cannot.

    :param watchers: tuple of names of entry instances.
    :param report: :class:`cicadaplank.messages.types.CacheReport`.
    """

    watchers: tuple
    report: types.CacheReport


class Caches:
    """Turns the cache events of one engine into reports about prefixes.

    A completed request names the block that ends its prefix. The events say which
    blocks the engine holds. Each read repeats the last event that is known: when it is
    missing or another one, the engine has restarted or dropped events.

    :param now_s: current time in seconds.
    """

    def __init__(self, now_s):
        self.counts = collections.Counter()
        self._last = None
        self._read_s = now_s
        self._poll_s = now_s
        self._reading = False
        self._prefixes = collections.OrderedDict()
        self._prefixes_of_block = {}
        self._held = collections.OrderedDict()
        self._removed = collections.OrderedDict()
        self._pending = collections.OrderedDict()
        self._reported = set()
        self._cleared = False
        self._rows = {}
        self._watchers = set()
        self._behind = set()
        self._sequence = 0
        self._report_s = now_s
        self._budget = links.TokenBucket(REPORT_BYTES_PER_S, REPORT_BURST_BYTES, now_s)

    @property
    def sizes(self):
        """Sizes of the tables, by name."""
        return {
            "prefixes": len(self._prefixes),
            "held_blocks": len(self._held),
            "removed_blocks": len(self._removed),
            "pending": len(self._pending),
            "watchers": len(self._watchers),
        }

    # Events of the engine.

    def events_read(self, events, now_s):
        """Take the events that were read.

        :param events: tuple of :class:`cicadaplank.external.engines.CacheEvent`.
        :param now_s: current time in seconds.
        :returns: False when the engine may have restarted.
        """
        self._reading = False
        self._read_s = now_s
        self.counts["events_read"] += len(events)
        continued = True
        if self._last is not None:
            if events and events[0] == self._last:
                events = events[1:]
            else:
                continued = False
                self._forget("events_discontinued")
        for event in events:
            if self._last is not None and event.sequence != self._last.sequence + 1:
                self._forget("events_missing")
            self._last = event
            if event.kind == "stored":
                self._stored(event.block, now_s)
            elif event.kind == "removed":
                self._evicted(event.block, now_s)
        return continued

    def read_failed(self, now_s):
        """Record that the events could not be read.

        :param now_s: current time in seconds.
        """
        self._reading = False
        self.counts["reads_failed"] += 1
        if self._last is not None and now_s - self._read_s > MAX_SILENCE_S:
            self._forget("events_silent")

    def _forget(self, cause):
        """Drop what was inferred from events; the blocks of prefixes stay known."""
        self.counts[cause] += 1
        self._last = None
        self._held.clear()
        self._removed.clear()
        self._clear_reported()

    def _clear_reported(self):
        self._pending.clear()
        self._reported.clear()
        self._cleared = True

    def _stored(self, block, now_s):
        self._removed.pop(block, None)
        self._held[block] = None
        self._held.move_to_end(block)
        self._change(block, True, now_s)
        if len(self._held) > MAX_HELD_BLOCKS:
            self.counts["held_blocks_dropped"] += 1
            oldest, _ = self._held.popitem(last=False)
            self._change(oldest, False, now_s)

    def _evicted(self, block, now_s):
        self._held.pop(block, None)
        self._removed[block] = None
        self._removed.move_to_end(block)
        self._change(block, False, now_s)
        if len(self._removed) > MAX_REMOVED_BLOCKS:
            self.counts["removed_blocks_dropped"] += 1
            self._removed.popitem(last=False)

    def _change(self, block, held, now_s):
        for prefix in self._prefixes_of_block.get(block, ()):
            if not held or prefix not in self._reported:
                self._set_pending(prefix, held, now_s)

    def _set_pending(self, prefix, held, now_s):
        if not held:
            self._reported.discard(prefix)
        waiting = self._pending.get(prefix)
        if waiting is None or waiting[0] != held:
            self._pending[prefix] = (held, now_s)
            self._pending.move_to_end(prefix)
        if len(self._pending) > MAX_PENDING:
            self.counts["pending_dropped"] += len(self._pending)
            self._clear_reported()

    # Requests.

    def served(self, prefix, block, now_s):
        """Take the block that ends the prefix of a completed request.

        :param prefix: prefix digest.
        :param block: hash of the engine's block, or empty when the engine names none.
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
            self._set_pending(oldest, False, now_s)
        if self._last is None:
            # Nothing is known of evictions, so nothing is claimed.
            return
        if block in self._removed:
            # The entry instance infers from the answer that the prefix is held.
            self._change(block, False, now_s)
        else:
            # After a gap the engine may hold blocks whose events were lost.
            self._stored(block, now_s)

    def _unlink(self, prefix):
        block = self._prefixes.pop(prefix, None)
        if block is None:
            return
        prefixes = self._prefixes_of_block[block]
        del prefixes[prefix]
        if not prefixes:
            del self._prefixes_of_block[block]

    def rows_served(self, rows):
        """Take the weights that the engine serves; blocks of others are useless.

        :param rows: maps row name to manifest digest.
        """
        before, self._rows = self._rows, dict(rows)
        if any(rows.get(row) != digest for row, digest in before.items()):
            self.counts["weights_changed"] += 1
            self._prefixes.clear()
            self._prefixes_of_block.clear()
            self._clear_reported()

    # Entry instances.

    def watcher_connected(self, watcher, now_s):
        """Take an entry instance, which gets what is known now.

        :param watcher: name of the entry instance.
        :param now_s: current time in seconds.
        :returns: tuple of :class:`SendReport`.
        """
        if watcher not in self._watchers and len(self._watchers) >= MAX_WATCHERS:
            self.counts["watchers_rejected"] += 1
            return ()
        self._watchers.add(watcher)
        return (self._snapshot(watcher, now_s),)

    def watcher_lost(self, watcher):
        """Forget an entry instance.

        :param watcher: name of the entry instance.
        """
        self._watchers.discard(watcher)
        self._behind.discard(watcher)

    def undelivered(self, watcher):
        """Record that a report was not sent; a snapshot is sent in its place.

        :param watcher: name of the entry instance.
        """
        if watcher in self._watchers:
            self.counts["reports_undelivered"] += 1
            self._behind.add(watcher)

    def tick(self, now_s):
        """Let time pass.

        :param now_s: current time in seconds.
        :returns: tuple of :class:`ReadEvents` and :class:`SendReport`.
        """
        taken = ()
        if not self._reading and now_s >= self._poll_s:
            self._reading = True
            self._poll_s = now_s + POLL_S
            after = max(0, self._last.sequence - 1) if self._last else 0
            taken += (ReadEvents(after, MAX_EVENTS_PER_POLL),)
        late = self._is_late(now_s)
        if late:
            self.counts["evictions_late"] += 1
            self._clear_reported()
        if late or now_s >= self._report_s:
            taken += self._due_reports(now_s)
        return taken

    def _due_reports(self, now_s):
        taken = ()
        current = tuple(sorted(self._watchers - self._behind))
        if self._pending or self._cleared:
            report = self._next_report(max(1, len(current)))
            taken += (SendReport(current, report),) if current else ()
            self._spend(report, len(current), now_s)
        behind, self._behind = sorted(self._behind), set()
        return taken + tuple(self._snapshot(watcher, now_s) for watcher in behind)

    def _is_late(self, now_s):
        waiting = (since for held, since in self._pending.values() if not held)
        return now_s - next(waiting, now_s) > MAX_EVICTION_DELAY_S

    def _next_report(self, watchers):
        room = int((REPORT_BURST_BYTES / watchers - REPORT_BYTES) // CHANGE_BYTES)
        room = min(MAX_CHANGES_PER_REPORT, max(1, room))
        # A wrong hint costs more than a missing one: evictions go first.
        ordered = sorted(self._pending, key=lambda prefix: self._pending[prefix][0])
        sent = {prefix: self._pending.pop(prefix)[0] for prefix in ordered[:room]}
        stored = [prefix for prefix, held in sent.items() if held]
        evicted = [prefix for prefix, held in sent.items() if not held]
        self._reported.update(stored)
        self._sequence += 1
        cleared, self._cleared = self._cleared, False
        return types.CacheReport(self._sequence, stored, evicted, cleared)

    def _snapshot(self, watcher, now_s):
        """Return what is known as one report, which the next one continues."""
        latest = reversed(self._prefixes.items())
        held = [prefix for prefix, block in latest if block in self._held]
        held = held[:MAX_SNAPSHOT_PREFIXES]
        report = types.CacheReport(self._sequence, held, [], True)
        self._spend(report, 1, now_s)
        return SendReport((watcher,), report)

    def _spend(self, report, watchers, now_s):
        changes = len(report.stored) + len(report.evicted)
        size_bytes = watchers * (REPORT_BYTES + CHANGE_BYTES * changes)
        self.counts["reports"] += watchers
        self.counts["report_bytes"] += size_bytes
        delay_s = self._budget.reserve(size_bytes, now_s)
        self._report_s = max(self._report_s, now_s + max(MIN_REPORT_S, delay_s))
