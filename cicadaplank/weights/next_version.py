"""Decides which version of weights an agent completes next.

Answers the load of versions that are named faster than they can be copied, while the
sources of their pieces come and go. The newest version is always copied in the end. An
older one that the engine does not serve yet comes first when that leaves the engine
without permitted weights for less time: its pieces may be held by other agents while
those of the newest can only be had from an origin that does not respond.

The decision holds no state. The agent makes it anew whenever a version is named, a
manifest arrives, a piece moves, or a source goes or comes back.
"""

import dataclasses

# The choice is changed only if it saves more than this time, so that estimates which
# vary with each piece do not change the target of a load back and forth.
MIN_SAVING_S = 0.5
# Time that a copy takes, as a multiple of its transmission time on the machine's link:
# the last pieces wait for each other.
COPY_FACTOR = 1.3
# An older version comes first at the origin if what the origin still has to send of it
# is at most this share of what it has to send of the newest.
FIRST_AT_ORIGIN_SHARE = 0.5
# Share of the missing pieces that may be held by agents that this one does not see.
UNSEEN_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A named version that the engine does not serve yet.

    :param version: version number; newer ones are higher.
    :param serves_until_s: time in seconds from which calls are sent to newer versions
        only; infinite for the newest.
    :param missing_bytes: bytes that this agent does not hold.
    :param unsourced_bytes: those of them that only the origin is known to have.
    :param is_at_origin: whether the origin provides the version.
    """

    version: int
    serves_until_s: float
    missing_bytes: int
    unsourced_bytes: int
    is_at_origin: bool = True

    @property
    def is_stuck(self):
        """Whether it cannot be completed without the origin.

        An agent sees what some of the others hold, so that a few pieces without a known
        source do not count.
        """
        return self.unsourced_bytes > UNSEEN_SHARE * self.missing_bytes


@dataclasses.dataclass(frozen=True)
class Sources:
    """What is known of the link and of the origin.

    :param link_bytes_per_s: rate at which this machine receives pieces.
    :param is_origin_up: whether the last request to the origin succeeded.
    :param outage_s: time after which an origin that does not respond is expected back.
    """

    link_bytes_per_s: float
    is_origin_up: bool
    outage_s: float

    def durations_s(self, candidate, is_stuck):
        """Return how long a copy takes, and how long it waits for the origin first.

        :param candidate: :class:`Candidate`.
        :param is_stuck: whether it cannot be completed without the origin.
        :returns: tuple of both in seconds.
        """
        copy_s = COPY_FACTOR * candidate.missing_bytes / self.link_bytes_per_s
        is_waiting = is_stuck and not self.is_origin_up
        return copy_s, self.outage_s if is_waiting else 0.0


def choose(candidates, served_until_s, sources, now_s, present=None):
    """Return the version to complete next.

    :param candidates: :class:`Candidate` of each version that is newer than the one
        served, the oldest first; at least one.
    :param served_until_s: time in seconds until which calls are sent to the version
        that the engine serves, or would be if it served one.
    :param sources: :class:`Sources`.
    :param now_s: current time in seconds.
    :param present: version that was chosen last, or None.
    :returns: version number.
    """
    newest = candidates[-1]
    costs_s = {}
    for candidate in candidates:
        cost_s = _cost_s(candidate, newest, served_until_s, sources, now_s)
        if cost_s is not None:
            costs_s[candidate.version] = cost_s
    best = min(costs_s, key=lambda version: (costs_s[version], -version))
    if present in costs_s and costs_s[present] - costs_s[best] <= MIN_SAVING_S:
        return present
    return best


def _cost_s(candidate, newest, served_until_s, sources, now_s):
    """Return the time without service if a candidate is completed before the newest.

    :returns: seconds, or None when the candidate cannot be completed in time to serve.
    """
    is_newest = candidate is newest
    is_stuck = candidate.unsourced_bytes > 0 if is_newest else candidate.is_stuck
    copy_s, outage_s = sources.durations_s(candidate, is_stuck)
    ready_s = now_s + outage_s + copy_s
    gap_s = max(0.0, ready_s - max(served_until_s, now_s))
    if is_newest:
        return gap_s
    if ready_s >= candidate.serves_until_s:
        return None
    if candidate.is_stuck and not candidate.is_at_origin:
        return None
    # While the origin does not respond, pieces of the older version use a link that
    # the newest cannot use.
    newest_s, outage_s = sources.durations_s(newest, newest.unsourced_bytes > 0)
    newest_ready_s = max(ready_s, now_s + outage_s) + newest_s
    return gap_s + max(0.0, newest_ready_s - candidate.serves_until_s)


def origin_order(candidates):
    """Return the versions in the order in which their pieces come from the origin.

    An older version of which the origin still has to send little comes first: the
    agents can then complete it among themselves, also if the origin fails.

    :param candidates: :class:`Candidate` of each version, the oldest first.
    :returns: tuple of version numbers, without those that the origin does not provide.
    """
    newest = candidates[-1]
    limit_bytes = FIRST_AT_ORIGIN_SHARE * newest.unsourced_bytes
    provided = [c for c in candidates if c.is_at_origin]
    older = [
        c for c in provided if c is not newest and c.unsourced_bytes <= limit_bytes
    ]
    rest = [c for c in provided if c not in older and c is not newest]
    return tuple(c.version for c in (*older, newest, *rest))
