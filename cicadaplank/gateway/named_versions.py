"""Versions of weights that the operator named, and the time at which each was named.

Calls must not begin on an older version later than a fixed time after a newer one was
named. Processes hear of a version at different times, so entry instances report to each
other how long ago each version was named, and each keeps the earliest time.
"""

import dataclasses
import enum
import math

# Share of the time until old weights are forbidden after which calls are sent to the
# new weights only. The rest covers calls that wait at an engine, also at one that goes
# on with a call whose connection was closed.
WEIGHTS_SWITCH_SHARE = 0.85
# A call that waits at an engine with older weights is withdrawn this long before they
# are forbidden. It covers the interval between checks, 0.05 s, and the time until the
# engine detects that the connection is closed.
WITHDRAWAL_MARGIN_S = 0.25
# Limit of the named versions that are kept for each model.
MAX_NAMED_VERSIONS = 16
# Limit of the models of which versions are kept.
MAX_MODELS = 64
# Limit of the gaps between read versions that are kept for each model.
MAX_GAPS = 16
# A time of naming that is corrected by less than this is not logged again.
LOGGED_CORRECTION_S = 0.1


class Source(enum.Enum):
    """How this process knows when a version was named.

    ``STORE``: it read the operator's record before and after the change. ``PEER``: an
    entry instance reported it. ``ASSUMED``: it only knows that the version may have
    been named as early as that, because it found the version in its first read of the
    record, or read a newer one without having seen this one.
    """

    STORE = "store"
    PEER = "peer"
    ASSUMED = "assumed"


@dataclasses.dataclass(frozen=True)
class NamedVersion:
    """A version of a model's weights that the operator named as the one to serve.

    :param version: version number.
    :param named_s: time in seconds at which it was named, as far as is known.
    :param heard_s: time in seconds at which this process learned of it.
    :param source: :class:`Source` of ``named_s``.
    """

    version: int
    named_s: float
    heard_s: float
    source: Source


@dataclasses.dataclass(frozen=True)
class Gap:
    """Versions of which this process did not see the naming.

    The operator's record holds the newest version only, so that any of them may have
    been named and replaced between two reads, or before the first read.

    :param first: oldest version of the gap.
    :param last: newest version of the gap.
    :param earliest_s: time in seconds before which none of them was named. For the gap
        before the first read it is long enough ago to forbid older versions at once.
    :param heard_s: time in seconds of the read after the gap, before which all of them
        were named.
    """

    first: int
    last: int
    earliest_s: float
    heard_s: float


@dataclasses.dataclass(frozen=True)
class Bound:
    """End of the time in which a call may begin on a version.

    :param version: oldest version on which it may begin after that.
    :param left_s: seconds until then, negative when it has passed.
    """

    version: int
    left_s: float


class WeightsRequirement:
    """Tracks the oldest version of each model's weights that calls may run on.

    :param weights_s: seconds from the naming of a version until older ones are
        forbidden.
    :ivar rejected: number of reported ages that were malformed or of too many models.
    """

    def __init__(self, weights_s):
        self.rejected = 0
        self._models = {}
        self.set_allowed(weights_s)

    def set_allowed(self, weights_s):
        """Apply a new allowed time, also to versions that are known already.

        :param weights_s: seconds from the naming of a version until older ones are
            forbidden.
        """
        self._allowed_s = weights_s
        self._grace_s = WEIGHTS_SWITCH_SHARE * weights_s

    def record_named_version(self, model, version, now_s, confirmed_s):
        """Record the version that was read in the operator's record.

        Older versions than the one that was read before are ignored.

        :param model: model name.
        :param version: version number; newer ones are higher.
        :param now_s: current time in seconds.
        :param confirmed_s: time in seconds at which the record was last known to hold
            the version that was read before. None for the first read of this process:
            the versions may have been named long ago.
        :returns: tuple of each :class:`NamedVersion` that became known or is assumed.
        """
        versions = self._models.setdefault(model, _ModelVersions())
        previous = versions.newest_read
        if version <= previous:
            return ()
        versions.newest_read = version
        learned = ()
        if confirmed_s is None:
            gap = Gap(previous + 1, version, now_s - self._allowed_s, now_s)
        else:
            gap = Gap(previous + 1, version - 1, confirmed_s, now_s)
            learned = versions.learn(NamedVersion(version, now_s, now_s, Source.STORE))
        assumed = versions.add_gap(gap)
        versions.drop_superseded(now_s - self._allowed_s)
        return assumed + learned

    def record_reported_ages(self, ages_s, now_s):
        """Record the ages that an entry instance reported.

        A report may be late on its way, which makes a version look younger. Reports
        are repeated, so the earliest time is kept.

        :param ages_s: dict from model name to a list of ``[version, age_s]``.
        :param now_s: current time in seconds.
        :returns: dict from model name to a tuple of each :class:`NamedVersion` that
            became known or was corrected.
        """
        found = {}
        for model, entries in ages_s.items():
            if not self._is_valid(model, entries):
                self.rejected += 1
                continue
            versions = self._models.setdefault(model, _ModelVersions())
            learned = ()
            for version, age_s in entries:
                named = NamedVersion(version, now_s - age_s, now_s, Source.PEER)
                learned += versions.learn(named)
                versions.drop_superseded(now_s - self._allowed_s)
            found[model] = learned
        return found

    def _is_valid(self, model, entries):
        if model not in self._models and len(self._models) >= MAX_MODELS:
            return False
        return is_valid_ages(entries)

    def ages_s(self, now_s):
        """Return the ages to report: those of versions that still limit calls.

        Ages that this process only assumes are left out.

        :param now_s: current time in seconds.
        :returns: dict from model name to a list of ``[version, age_s]``.
        """
        found = {}
        for model, versions in self._models.items():
            versions.drop_superseded(now_s - self._allowed_s)
            if versions.known:
                found[model] = [
                    [version, now_s - named.named_s]
                    for version, named in sorted(versions.known.items())
                ]
        return found

    def age_s(self, model, now_s):
        """Return the seconds since the newest version was named, as far as is known.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: seconds, since this process learned of the version when the time of
            naming is only assumed; 0.0 when no version was named.
        """
        versions = self._all(model)
        if not versions:
            return 0.0
        newest = max(versions, key=lambda named: named.version)
        is_assumed = newest.source is Source.ASSUMED
        return now_s - (newest.heard_s if is_assumed else newest.named_s)

    def newest_version(self, model):
        """Return the newest version that is known to be named, or None.

        :param model: model name.
        """
        return max((named.version for named in self._all(model)), default=None)

    def min_version(self, model, now_s):
        """Return the oldest version that calls may run on now.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: version number, 0 when any version is allowed.
        """
        required = [
            named.version
            for named in self._all(model)
            if named.named_s + self._grace_s <= now_s
        ]
        return max(required, default=0)

    def near_bound(self, model, version, now_s):
        """Return the bound of a version if calls that wait on it are to be withdrawn.

        They are :data:`WITHDRAWAL_MARGIN_S` before the bound, but not before further
        calls are sent to newer versions only.

        :param model: model name.
        :param version: version that the engine serves.
        :param now_s: current time in seconds.
        :returns: :class:`Bound`, or None when they may go on waiting.
        """
        wait_s = max(self._grace_s, self._allowed_s - WITHDRAWAL_MARGIN_S)
        due = [
            named
            for named in self._all(model)
            if named.version > version and named.named_s + wait_s <= now_s
        ]
        if not due:
            return None
        forbidden_s = min(named.named_s for named in due) + self._allowed_s
        return Bound(max(named.version for named in due), forbidden_s - now_s)

    def _all(self, model):
        versions = self._models.get(model)
        return versions.all() if versions else []


class _ModelVersions:
    """Named versions of one model.

    :ivar newest_read: newest version that was read in the operator's record, or 0.
    :ivar known: dict from version to the :class:`NamedVersion` whose time of naming is
        known.
    """

    def __init__(self):
        self.newest_read = 0
        self.known = {}
        self._gaps = []

    def all(self):
        """Return the known versions, and the newest unknown one of each gap.

        It limits calls more than the older ones of its gap.
        """
        assumed = map(self._assumed, self._gaps)
        return [*self.known.values(), *filter(None, assumed)]

    def _assumed(self, gap):
        version = gap.last
        while version >= gap.first and version in self.known:
            version -= 1
        if version < gap.first:
            return None
        return NamedVersion(version, gap.earliest_s, gap.heard_s, Source.ASSUMED)

    def add_gap(self, gap):
        """Add a gap.

        :param gap: :class:`Gap`; it may be empty.
        :returns: tuple of the :class:`NamedVersion` that is assumed for it, if any.
        """
        assumed = self._assumed(gap)
        if assumed is None:
            return ()
        self._gaps.append(gap)
        del self._gaps[:-MAX_GAPS]
        return (assumed,)

    def learn(self, found):
        """Record the time of a naming if it is earlier than the known one.

        :param found: :class:`NamedVersion`.
        :returns: tuple of the :class:`NamedVersion` that became known or was corrected
            by :data:`LOGGED_CORRECTION_S` or more.
        """
        known = self.known.get(found.version)
        if known is None:
            # A later time than that of a read which showed the version is that of a
            # peer that had been cut off.
            if any(
                gap.first <= found.version <= gap.last and found.named_s > gap.heard_s
                for gap in self._gaps
            ):
                return ()
            self.known[found.version] = found
            return (found,)
        if found.named_s >= known.named_s:
            return ()
        found = dataclasses.replace(found, heard_s=known.heard_s)
        self.known[found.version] = found
        is_logged = known.named_s - found.named_s >= LOGGED_CORRECTION_S
        return (found,) if is_logged else ()

    def drop_superseded(self, forbidden_s):
        """Drop versions that a newer one forbids, and the oldest beyond the limit.

        :param forbidden_s: time in seconds; versions that were named by then forbid
            older ones.
        """
        floor = max(
            (n.version for n in self.known.values() if n.named_s <= forbidden_s),
            default=0,
        )
        for version in sorted(self.known):
            if version < floor or len(self.known) > MAX_NAMED_VERSIONS:
                del self.known[version]
        self._gaps = [gap for gap in self._gaps if gap.last >= floor]


def is_valid_ages(entries):
    """Tell whether a value of a message is a list of ``[version, age_s]``."""
    return isinstance(entries, list) and all(map(_is_age, entries))


def _is_age(entry):
    """Tell whether an entry of a report is ``[version, age_s]``."""
    if not isinstance(entry, list) or len(entry) != 2:
        return False
    version, age_s = entry
    return (
        type(version) is int
        and type(age_s) in (int, float)
        and math.isfinite(age_s)
        and age_s >= 0
    )
