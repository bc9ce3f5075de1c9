"""When an engine is told to load weights.

Load pattern: a version is named while every engine is busy, and all of them finish
their copies at about the same time. An engine that loads takes no calls. Engines
therefore load one after the other, in an order that every agent computes by rendezvous
hashing, and each of them soon enough for the time that is allowed.
"""

import dataclasses
import enum

from cicadaplank.world import rendezvous

# Parts of the allowed time after which the first and the last engine load. A copy takes
# 5.3 s of 8 s at least, and calls begin up to half a second after they are sent.
FIRST_TURN_SHARE = 0.64
LAST_TURN_SHARE = 0.86
# Time after which an order without an answer, or without effect, is repeated.
ORDER_PATIENCE_S = 1.5
# Part of a version that must be held so that it is finished although a newer one was
# named. Less than this is dropped: the newer one would come too late.
KEEP_SHARE = 0.35
# Delay before a refused order is repeated.
REFUSED_S = 0.25


class Phase(enum.Enum):
    """Phase of an engine on the way to the wanted version.

    ``COPYING``: pieces are missing. ``STAGING``: they are handed to the engine.
    ``WAITING``: it is not this engine's turn. ``ORDERED``: it was told to load.
    ``CURRENT``: it serves the wanted version.
    """

    COPYING = "copying"
    STAGING = "staging"
    WAITING = "waiting"
    ORDERED = "ordered"
    CURRENT = "current"


@dataclasses.dataclass(frozen=True)
class Target:
    """Version that an engine should serve.

    :param model: model name.
    :param version: number; newer ones are higher.
    :param named_s: when this process learned of it.
    """

    model: str
    version: int
    named_s: float


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine says of itself.

    :param versions: dict from model name to the version that it serves completely.
    :param is_busy: whether an order is in progress.
    :param orders: orders that it has accepted since its start.
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
    """Hand the pieces to the engine and check what lies there."""

    target: Target


@dataclasses.dataclass(frozen=True)
class Order:
    """Tell the engine to load the staged pieces.

    :param target: :class:`Target`.
    :param expected_orders: orders that the engine must have accepted so far.
    :param cuts: whether running calls are cut; otherwise the engine lets them end.
    """

    target: Target
    expected_orders: int
    cuts: bool = False


def finishes_first(phase, progress):
    """Tell whether an engine loads its target although a newer version was named.

    Both have to be in force within the same time of their naming. A copy that is well
    under way serves until the newer one is there.

    :param phase: :class:`Phase` of the target.
    :param progress: part of the target that is held.
    """
    return phase is not Phase.CURRENT and (
        phase is not Phase.COPYING or progress >= KEEP_SHARE
    )


def turn_of(name, target, names):
    """Return when an engine loads a version, relative to the others.

    :param name: name of the engine.
    :param target: :class:`Target`.
    :param names: names of all engines that load it.
    :returns: 0.0 for the first engine to below 1.0 for the last one.
    """
    key = f"{target.model}/{target.version}"
    ranked = rendezvous.ranked(key, set(names) | {name})
    return ranked.index(name) / len(ranked)


class Loading:
    """Decides what the agent of one engine does next.

    :param name: name of the engine, the same in all agents.
    :param allowed_s: time from the naming of a version until older ones are forbidden.
    :ivar target: :class:`Target` or None.
    :ivar phase: :class:`Phase`.
    :ivar may_cut: whether every running call can be resumed at another engine. Then
        they are cut: one long answer would keep all slots of the engine empty.
    """

    def __init__(self, name, allowed_s):
        self.target = None
        self.phase = Phase.COPYING
        self.may_cut = False
        self._name = name
        self.allowed_s = allowed_s
        self._staged_for = None
        self._is_staging = False
        self._ordered_s = float("-inf")
        self._not_before_s = float("-inf")

    def wanted(self, target):
        """Take a new target; an older one than the present is ignored."""
        known = self.target
        if known is not None and target.version <= known.version:
            return False
        self.target = target
        self.phase = Phase.COPYING
        self._staged_for = None
        return True

    def staged(self, target, complete):
        """Take the end of a staging.

        :param target: what was staged.
        :param complete: whether every piece lies there as the manifest says.
        """
        self._is_staging = False
        if complete and target == self.target:
            self._staged_for = target

    def order_answered(self, accepted, now_s):
        """Take the answer to an order.

        :param accepted: True, or False when the engine refused it or did not answer.
        :param now_s: current time in seconds.
        """
        if not accepted:
            self._ordered_s = float("-inf")
            self._staged_for = None
            self._not_before_s = now_s + REFUSED_S

    def restarted(self):
        """The engine started anew; it may have lost what was staged."""
        self._staged_for = None
        self._ordered_s = float("-inf")

    def next(self, engine, has_copy, names, now_s):
        """Return what to do now.

        :param engine: :class:`EngineState`, or None when it is not known.
        :param has_copy: whether every piece of the target is held here.
        :param names: names of all engines that load the target.
        :param now_s: current time in seconds.
        :returns: :class:`Stage`, :class:`Order` or None.
        """
        target = self.target
        if target is None or engine is None:
            return None
        if engine.versions.get(target.model, -1) >= target.version:
            self.phase = Phase.CURRENT
            return None
        if not has_copy:
            self.phase = Phase.COPYING
            return None
        if now_s < self._not_before_s:
            return None
        if self._staged_for != target:
            self.phase = Phase.STAGING
            if self._is_staging:
                return None
            self._is_staging = True
            return Stage(target)
        if not self._is_turn(engine, names, now_s):
            self.phase = Phase.WAITING
            return None
        self.phase = Phase.ORDERED
        if engine.is_busy or now_s - self._ordered_s < ORDER_PATIENCE_S:
            return None
        self._ordered_s = now_s
        return Order(target, engine.orders, self.may_cut)

    def _is_turn(self, engine, names, now_s):
        if engine.is_empty:
            return True
        turn = turn_of(self._name, self.target, names)
        share = FIRST_TURN_SHARE + turn * (LAST_TURN_SHARE - FIRST_TURN_SHARE)
        return now_s >= self.target.named_s + share * self.allowed_s
