"""Decides when an engine loads a version of weights.

Typically, a version is named while every engine is busy, and all engines finish their
copies at about the same time. An engine accepts no calls while it loads. The engines of
a service therefore load one after the other, in an order that every agent computes by
rendezvous hashing, and all of them before older versions are forbidden.
"""

import dataclasses
import enum

from cicadaplank.world import rendezvous

# Shares of the allowed time after which the first and the last engine load. A copy
# takes at least 5.3 s of 8 s, and calls start up to half a second after they are sent.
FIRST_TURN_SHARE = 0.64
LAST_TURN_SHARE = 0.86
# An order without response or effect is repeated after this time.
ORDER_RETRY_S = 1.5
# Share of a version that must be held for its copy to be finished although a newer
# version was named. A copy with less is dropped, as it would make the newer one late.
MIN_SHARE_TO_FINISH = 0.35
# Delay before staging and the order are repeated after the engine refused the order.
REFUSED_RETRY_S = 0.25
# A check of the staged pieces tells their state at its beginning, and a report that of
# the engine when it was requested. Greatest ages of both at which an order is sent. A
# piece may have been damaged for 3 s when the engine reads it; the rest is left for the
# order's way to the engine.
MAX_CHECK_AGE_S = 1.5
MAX_REPORT_AGE_S = 1.0
# Greatest age of the check when the engine is known to have accepted the order. Beyond
# it the pieces are read again.
MAX_ACCEPTED_CHECK_AGE_S = 2.5


class Phase(enum.Enum):
    """Phase of an engine's update to the target version.

    ``COPYING``: pieces are missing. ``STAGING``: they are uploaded to the engine.
    ``WAITING``: other engines load first. ``CHECKING``: the staged pieces are checked
    again. ``ORDERED``: the engine was ordered to load. ``CURRENT``: it serves the
    target version.
    """

    COPYING = "copying"
    STAGING = "staging"
    WAITING = "waiting"
    CHECKING = "checking"
    ORDERED = "ordered"
    CURRENT = "current"


@dataclasses.dataclass(frozen=True)
class Target:
    """Version of a model's weights that an engine is to serve.

    :param model: model name.
    :param version: version number; newer versions have higher ones.
    :param named_s: monotonic time at which it was named, in seconds, as far as this
        process knows. Targets that differ only in it are equal.
    """

    model: str
    version: int
    named_s: float = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State that an engine reports.

    :param versions: dict from model name to the version that it serves completely.
    :param is_busy: whether it is executing an order to load.
    :param orders: number of orders that it has accepted since its start.
    :param is_empty: whether it serves no weights at all.
    :param started_ms: Unix time of its start in milliseconds.
    """

    versions: dict
    is_busy: bool
    orders: int
    is_empty: bool
    started_ms: int


@dataclasses.dataclass(frozen=True)
class Stage:
    """Action: upload the pieces to the engine and verify what it holds.

    :param target: :class:`Target`.
    """

    target: Target


@dataclasses.dataclass(frozen=True)
class Order:
    """Action: order the engine to load the staged pieces.

    :param target: :class:`Target`.
    :param expected_orders: number of orders that the engine must have accepted so far.
    :param cuts: whether the engine aborts running calls instead of letting them end.
    :param not_after_s: monotonic time in seconds after which the order is not sent any
        more, as the check of the pieces is too old.
    """

    target: Target
    expected_orders: int
    cuts: bool = False
    not_after_s: float = float("inf")


@dataclasses.dataclass(frozen=True)
class Verify:
    """Action: read the staged pieces again after the engine may have loaded them.

    :param target: :class:`Target`.
    """

    target: Target


def should_finish_target(phase, progress):
    """Tell whether an engine loads its target although a newer version was named.

    Each version has to be in force within the allowed time of its own naming. A copy
    that has progressed far enough is finished, and its version is served until the
    newer one is ready.

    :param phase: :class:`Phase` of the target.
    :param progress: share of the target that is held, 0.0 to 1.0.
    """
    return phase is not Phase.CURRENT and (
        phase is not Phase.COPYING or progress >= MIN_SHARE_TO_FINISH
    )


def load_position(name, target, names):
    """Return the position of an engine in the order in which engines load a version.

    :param name: name of the engine.
    :param target: :class:`Target`.
    :param names: names of all engines that load it.
    :returns: 0.0 for the first engine to below 1.0 for the last one.
    """
    key = f"{target.model}/{target.version}"
    ranked = rendezvous.ranked(key, set(names) | {name})
    return ranked.index(name) / len(ranked)


class LoadScheduler:
    """State machine that chooses the next action of one engine's agent.

    A check of the staged pieces counts from its beginning. It holds for an order that
    is sent within :data:`MAX_CHECK_AGE_S`, and for a load whose order was accepted
    within :data:`MAX_ACCEPTED_CHECK_AGE_S`.

    :param name: name of the engine, the same in all agents.
    :param allowed_s: time from the naming of a version until older ones are forbidden,
        in seconds.
    :ivar target: :class:`Target`, or None until a version is named.
    :ivar phase: :class:`Phase`.
    :ivar may_abort_calls: whether every running call can be resumed at another engine.
        Then a load aborts them: a single long response would otherwise delay it and
        leave the other slots of the engine unused meanwhile.
    :ivar is_unverified: whether the engine may have loaded pieces of which no check
        tells that they were intact.
    """

    def __init__(self, name, allowed_s):
        self.target = None
        self.phase = Phase.COPYING
        self.may_abort_calls = False
        self.allowed_s = allowed_s
        self.is_unverified = False
        self._name = name
        self._staged_target = None
        self._checked_s = float("-inf")
        self._is_reading = False
        self._ordered_s = float("-inf")
        self._not_before_s = float("-inf")
        # Checks that began before this time do not count.
        self._valid_since_s = float("-inf")
        # Orders that may still be accepted, and the beginning of the oldest check on
        # which one of them rests.
        self._open_orders = 0
        self._open_check_s = None
        self._is_verification_due = False

    def wanted(self, target):
        """Set the target if its version is newer than that of the present one.

        For the same version, the time of naming is replaced.

        :param target: :class:`Target`.
        :returns: whether the target changed.
        """
        previous = self.target
        if previous is not None and target.version <= previous.version:
            if target == previous:
                self.target = target
            return False
        self.target = target
        self.phase = Phase.COPYING
        self._staged_target = None
        self._drop_open_orders()
        return True

    def _drop_open_orders(self):
        self._open_orders = 0
        self._open_check_s = None
        self._is_verification_due = False
        self.is_unverified = False

    def staged(self, target, complete, started_s, replaced=0):
        """Record that staging ended.

        :param target: :class:`Target` that was staged.
        :param complete: whether the engine holds every piece as the manifest states.
        :param started_s: time in seconds at which the check of the pieces began.
        :param replaced: number of pieces that were missing or damaged.
        """
        self._is_reading = False
        if target != self.target or started_s < self._valid_since_s:
            return
        if replaced and self._open_orders:
            # An order that has no answer may have been accepted with these pieces.
            self.is_unverified = True
        if complete:
            self._staged_target = target
            self._checked_s = started_s

    def verified(self, target, is_intact):
        """Record that the pieces were read after the engine had accepted the order.

        Damaged pieces stay damaged, so that pieces which are intact now were intact
        when they were loaded.

        :param target: :class:`Target` that was loaded.
        :param is_intact: whether the engine holds every piece as the manifest states,
            None when they could not be read.
        """
        self._is_reading = False
        if target != self.target or is_intact is None:
            return
        self._is_verification_due = False
        self.is_unverified |= not is_intact

    def order_answered(self, accepted, now_s):
        """Record the engine's response to an order. A refused one is repeated.

        :param accepted: whether the engine accepted the order; False also when it was
            not sent. An order without response may still be accepted.
        :param now_s: current time in seconds.
        """
        if accepted:
            self._order_taken(now_s)
            return
        self._open_orders = max(0, self._open_orders - 1)
        self._ordered_s = float("-inf")
        self._staged_target = None
        self._not_before_s = now_s + REFUSED_RETRY_S

    def _order_taken(self, now_s):
        """Record that the engine has accepted an order by now."""
        if not self._open_orders:
            return
        age_s = now_s - self._open_check_s
        self._open_orders = 0
        if age_s > MAX_ACCEPTED_CHECK_AGE_S:
            self._is_verification_due = True

    def restarted(self, now_s):
        """Record that the engine restarted and may have lost the staged pieces.

        :param now_s: current time in seconds.
        """
        self.pieces_changed(now_s)
        self._drop_open_orders()

    def pieces_changed(self, now_s):
        """Record that the pieces or the manifest changed, so that no check counts.

        :param now_s: current time in seconds.
        """
        self._staged_target = None
        self._ordered_s = float("-inf")
        self._valid_since_s = now_s

    def may_have_calls(self, engine, now_s):
        """Tell whether calls may be sent to the engine now.

        :param engine: :class:`EngineState`, or None when it is not known.
        :param now_s: current time in seconds.
        :returns: False when it serves no weights, or only weights that are forbidden.
        """
        if engine is None or engine.is_empty:
            return engine is None
        target = self.target
        if target is None or engine.versions.get(target.model, -1) >= target.version:
            return True
        return now_s < target.named_s + self.allowed_s

    def next(self, engine, has_copy, names, now_s, reported_s=None):
        """Update the phase and return the next action.

        :param engine: :class:`EngineState`, or None when it is not known.
        :param has_copy: whether this agent holds every piece of the target.
        :param names: names of all engines that load the target.
        :param now_s: current time in seconds.
        :param reported_s: time in seconds at which the engine's state was requested,
            None for now.
        :returns: :class:`Stage`, :class:`Order`, :class:`Verify`, or None for no
            action.
        """
        target = self.target
        if target is None or engine is None:
            return None
        if engine.versions.get(target.model, -1) >= target.version:
            self.phase = Phase.CURRENT
            self._order_taken(now_s)
            return self._next_verification(has_copy)
        if not has_copy:
            self.phase = Phase.COPYING
            return None
        if now_s < self._not_before_s:
            return None
        if self._staged_target != target:
            self.phase = Phase.STAGING
            return self._next_check()
        if not self._is_load_due(engine, names, now_s):
            self.phase = Phase.WAITING
            return None
        if engine.is_busy or now_s - self._ordered_s < ORDER_RETRY_S:
            self.phase = Phase.ORDERED
            return None
        if now_s - self._checked_s > MAX_CHECK_AGE_S:
            self.phase = Phase.CHECKING
            return self._next_check()
        reported_s = now_s if reported_s is None else reported_s
        if now_s - reported_s > MAX_REPORT_AGE_S:
            return None
        return self._order(engine, now_s)

    def _next_check(self):
        if self._is_reading:
            return None
        self._is_reading = True
        return Stage(self.target)

    def _next_verification(self, has_copy):
        if not self._is_verification_due or not has_copy or self._is_reading:
            return None
        self._is_reading = True
        return Verify(self.target)

    def _order(self, engine, now_s):
        self.phase = Phase.ORDERED
        self._ordered_s = now_s
        if not self._open_orders:
            self._open_check_s = self._checked_s
        self._open_orders += 1
        not_after_s = self._checked_s + MAX_CHECK_AGE_S
        return Order(self.target, engine.orders, self.may_abort_calls, not_after_s)

    def _is_load_due(self, engine, names, now_s):
        if engine.is_empty:
            return True
        position = load_position(self._name, self.target, names)
        share = FIRST_TURN_SHARE + position * (LAST_TURN_SHARE - FIRST_TURN_SHARE)
        return now_s >= self.target.named_s + share * self.allowed_s
