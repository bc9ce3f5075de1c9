"""What the store is told of blocked parts of prompts, and what a new process learns.

Load pattern: requests with a part that crashes endpoints come all the time, while entry
instances are killed or replaced, one or all of them. An instance that knows of no crash
sends such requests until enough endpoints have crashed once more. The store is the only
place that outlasts the instances: a block is written there by the instance that found
it, and a process that starts sends nothing with shared parts before it has read the
blocks, or an instance that knows them has told it.
"""

import dataclasses

# Longest time for which calls with shared parts wait for the blocks at the start. With
# an unreachable store and no other instance, nobody could tell of them.
MAX_UNKNOWN_S = 2.0
# Interval at which a failed read is repeated, and bounds of the interval at which a
# failed write is, which doubles.
READ_AGAIN_S = 0.25
WRITE_AGAIN_S, MAX_WRITE_AGAIN_S = 0.5, 8.0
# Instances that have not seen a crash of the part themselves write its block after this
# time and a random one, unless another instance has told that it is written.
OTHERS_WRITE_AFTER_S = 1.0
OTHERS_SPREAD_S = 1.0
MAX_HOLD_OFF_S = OTHERS_WRITE_AFTER_S + OTHERS_SPREAD_S
# A block is written again when it ends later than its record by this time.
RENEW_AFTER_S = 30.0
# A block that another instance has taken out is written again after this time, so that
# instances that know of different crashes do not undo each other's writes all the time.
CONTEST_S = 10.0
# Bounds of the records that are kept and of the length of a part.
MAX_RECORDS = 64
MAX_PART_CHARS = 200


@dataclasses.dataclass(frozen=True)
class Read:
    """Order: read the blocks from the store."""


@dataclasses.dataclass(frozen=True)
class Write:
    """Order: write blocks to the store, and remove those that hold no longer.

    :param left_s: maps each blocked part to the seconds for which it is blocked.
    :param removed: parts that have been answered since they were written.
    """

    left_s: dict
    removed: tuple = ()


class BlockRecords:
    """Records of the blocked parts in the store, as known to one instance.

    :param random: ``random.Random``, which spreads the writes of several instances.
    :param now_s: current time in seconds.
    :ivar refused: number of blocks that are not written as their part is longer than
        ``MAX_PART_CHARS``.
    """

    def __init__(self, random, now_s):
        self.refused = 0
        self._random = random
        self._is_known = False
        self._since_s = now_s
        self._read_at_s = now_s
        self._is_busy = False
        self._write_again_s = WRITE_AGAIN_S
        self._not_before_s = float("-inf")
        # End of each block in seconds, as the store has it.
        self._recorded_until_s = {}
        # Time in seconds from which this instance may write a block.
        self._write_at_s = {}
        # Time in seconds at which each block was found to be taken out.
        self._taken_out_s = {}
        # Blocked parts that are too long to be written.
        self._too_long = set()

    def __len__(self):
        return len(self._recorded_until_s)

    @property
    def is_known(self):
        """Whether the store or another instance has told which parts are blocked."""
        return self._is_known

    def is_awaited(self, now_s):
        """Tell whether calls with shared parts are not to be sent yet.

        :param now_s: current time in seconds.
        """
        return not self._is_known and now_s - self._since_s < MAX_UNKNOWN_S

    def inform(self):
        """Record that another instance has told which parts are blocked."""
        self._is_known = True

    def learn(self, left_s, now_s):
        """Record which blocks the store has, from itself or from another instance.

        :param left_s: maps each part to the seconds for which it is blocked.
        :param now_s: current time in seconds.
        :returns: set of the parts whose block was taken out since.
        """
        self._is_known = True
        known = self._recorded_until_s
        # Clocks differ a little: a block that ends was not taken out.
        taken_out = {
            part
            for part, until_s in known.items()
            if part not in left_s and until_s > now_s + RENEW_AFTER_S
        }
        self._taken_out_s.update(dict.fromkeys(taken_out, now_s))
        for part, at_s in list(self._taken_out_s.items()):
            if at_s + CONTEST_S <= now_s:
                del self._taken_out_s[part]
        kept = sorted(left_s, key=left_s.get, reverse=True)[:MAX_RECORDS]
        self._recorded_until_s = {part: now_s + left_s[part] for part in kept}
        return taken_out

    def forget(self):
        """Count all blocks as not written: the store has lost its latest changes."""
        self._recorded_until_s.clear()

    def tick(self, blocked_left_s, observed, released, now_s):
        """Return the next order, or None.

        One order is carried out at a time; :meth:`done` or :meth:`failed` follows.

        :param blocked_left_s: maps each blocked part to the seconds for which it is
            blocked.
        :param observed: parts of crashes that this instance has observed itself.
        :param released: parts whose block this instance has ended. One that does not
            block a part may only have missed its crashes.
        :param now_s: current time in seconds.
        :returns: :class:`Read`, :class:`Write` or None.
        """
        if self._is_busy:
            return None
        too_long = {p for p in blocked_left_s if len(p) > MAX_PART_CHARS}
        self.refused += len(too_long - self._too_long)
        self._too_long = too_long
        if too_long:
            blocked_left_s = {
                p: s for p, s in blocked_left_s.items() if p not in too_long
            }
        if self._read_at_s is not None and self._read_at_s <= now_s:
            self._is_busy = True
            return Read()
        order = self._due_write(blocked_left_s, observed, released, now_s)
        self._is_busy = order is not None
        return order

    def _due_write(self, blocked_left_s, observed, released, now_s):
        known = self._recorded_until_s
        for part in [p for p, until_s in known.items() if until_s <= now_s]:
            del known[part]
        missing = {
            part: left_s
            for part, left_s in blocked_left_s.items()
            if now_s + left_s > known.get(part, now_s) + RENEW_AFTER_S
        }
        answered = {
            part
            for part, until_s in known.items()
            if part in released and until_s > now_s + RENEW_AFTER_S
        }
        for part in self._write_at_s.keys() - missing.keys() - answered:
            del self._write_at_s[part]
        for part in (*missing, *answered):
            if part not in self._write_at_s:
                at_s = now_s + self._hold_off_s(part in observed)
                if part in missing and part in self._taken_out_s:
                    at_s = max(at_s, self._taken_out_s[part] + CONTEST_S)
                self._write_at_s[part] = at_s
        if now_s < self._not_before_s:
            return None
        due = {part for part, at_s in self._write_at_s.items() if at_s <= now_s}
        if not due:
            return None
        written = {part: missing[part] for part in due if part in missing}
        return Write(written, tuple(sorted(due & answered)))

    def _hold_off_s(self, is_observer):
        if is_observer:
            return 0.0
        return OTHERS_WRITE_AFTER_S + self._random.uniform(0.0, OTHERS_SPREAD_S)

    def done(self, found_left_s, now_s):
        """Handle the end of an order.

        :param found_left_s: blocks that the store has now, as in :class:`Write`.
        :param now_s: current time in seconds.
        :returns: as :meth:`learn`.
        """
        self._is_busy = False
        self._read_at_s = None
        self._write_again_s = WRITE_AGAIN_S
        return self.learn(found_left_s, now_s)

    def failed(self, order, now_s):
        """Handle a failed order: it is repeated.

        :param order: the :class:`Read` or :class:`Write`.
        :param now_s: current time in seconds.
        """
        self._is_busy = False
        if isinstance(order, Write):
            self._not_before_s = now_s + self._write_again_s
            self._write_again_s = min(MAX_WRITE_AGAIN_S, 2 * self._write_again_s)
        elif now_s - self._since_s < MAX_UNKNOWN_S:
            self._read_at_s = now_s + READ_AGAIN_S
        else:
            self._read_at_s = now_s + MAX_WRITE_AGAIN_S


def merged(found_left_s, order):
    """Return the blocks that the store is to have after a write.

    :param found_left_s: blocks that it has, as in :class:`Write`.
    :param order: :class:`Write`.
    :returns: dict as in :class:`Write`, of at most ``MAX_RECORDS`` blocks: those that
        end last.
    """
    left_s = {p: s for p, s in found_left_s.items() if p not in order.removed}
    for part, each_s in order.left_s.items():
        left_s[part] = max(each_s, left_s.get(part, 0.0))
    kept = sorted(left_s, key=left_s.get, reverse=True)[:MAX_RECORDS]
    return {part: left_s[part] for part in kept}
