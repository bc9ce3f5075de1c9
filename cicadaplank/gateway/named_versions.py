"""Versions of weights that the operator named, and the time at which each was named.

Calls must not begin on an older version later than a fixed time after a newer one was
named. No process knows the time of naming: it lies between the time as of which a copy
of the operator's record is known to have held the version before, and the time at which
some process read the new one. Entry instances report both to each other, and each keeps
the narrowest interval. Calls are bound by its beginning, which is safe without any
message.
"""

import dataclasses
import enum

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
# A version whose earliest time is corrected by less than this is not logged again.
LOGGED_CORRECTION_S = 0.1
# Bounds of the values of a report.
MAX_VERSION = 2**53
MAX_AGE_S = 1e9


class Source(enum.Enum):
    """How this process knows when a version was named.

    ``STORE``: it read the operator's record before and after the change. ``PEER``: an
    entry instance reported it or narrowed the interval. ``ASSUMED``: it only knows that
    the version may have been named as early as that, because it found the version in
    its first read of the record, or read a newer one without having seen this one.
    """

    STORE = "store"
    PEER = "peer"
    ASSUMED = "assumed"


@dataclasses.dataclass(frozen=True)
class NamedVersion:
    """A version of a model's weights that the operator named as the one to serve.

    :param version: version number.
    :param earliest_s: time in seconds before which it was not named.
    :param latest_s: time in seconds by which it was named.
    :param source: :class:`Source` of the times.
    """

    version: int
    earliest_s: float
    latest_s: float
    source: Source

    def narrowed(self, found):
        """Return the version with the times that both statements allow.

        The later time wins where the statements contradict each other.

        :param found: :class:`NamedVersion` of the same version.
        """
        latest_s = min(self.latest_s, found.latest_s)
        earliest_s = min(max(self.earliest_s, found.earliest_s), latest_s)
        if (earliest_s, latest_s) == (self.earliest_s, self.latest_s):
            return self
        return dataclasses.replace(found, earliest_s=earliest_s, latest_s=latest_s)

    def ages_s(self, now_s):
        """Return the version as the entry of a report.

        :param now_s: current time in seconds.
        :returns: list of the version, and of the least and the greatest number of
            seconds since it was named.
        """
        return [self.version, now_s - self.latest_s, now_s - self.earliest_s]


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
    :param is_observed: whether the record was read before the gap.
    """

    first: int
    last: int
    earliest_s: float
    heard_s: float
    is_observed: bool


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
        :param confirmed_s: time in seconds as of which the record is known to have held
            no newer version than the one that was read before. None when that is not
            known, as at the first read: the versions may have been named long ago.
        :returns: tuple of each :class:`NamedVersion` that became known or is assumed.
        """
        versions = self._models.setdefault(model, _ModelVersions())
        previous = versions.newest_read
        if version <= previous:
            return ()
        versions.newest_read = version
        learned = ()
        if confirmed_s is None:
            gap = Gap(previous + 1, version, now_s - self._allowed_s, now_s, False)
        else:
            gap = Gap(previous + 1, version - 1, confirmed_s, now_s, True)
            named = NamedVersion(version, confirmed_s, now_s, Source.STORE)
            learned = versions.learn(named)
        assumed = versions.add_gap(gap)
        versions.drop_superseded(now_s - self._allowed_s)
        return assumed + learned

    def record_reported_ages(self, ages_s, now_s, delay_s=None, confirmed_s=None):
        """Record the ages that an entry instance reported.

        A version was named by the time of its least age, however late the report is.
        It was not named before that of its greatest age when the report was made, so
        that the delay of the report is added to this age.

        :param ages_s: dict from model name to a list of ``[version, age_s,
            max_age_s]``; reports of older builds lack ``max_age_s``.
        :param now_s: current time in seconds.
        :param delay_s: greatest number of seconds for which the report may have been
            under way, None when that is not known.
        :param confirmed_s: as in :meth:`record_named_version`.
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
            for version, age_s, *max_age_s in entries:
                bounds_s = []
                if max_age_s and delay_s is not None:
                    bounds_s.append(now_s - delay_s - max_age_s[0])
                if confirmed_s is not None and version > versions.newest_read:
                    bounds_s.append(confirmed_s)
                if not bounds_s and version not in versions.known:
                    bounds_s.append(now_s - self._allowed_s)
                latest_s = now_s - age_s
                earliest_s = min(max(bounds_s, default=float("-inf")), latest_s)
                learned += versions.learn(
                    NamedVersion(version, earliest_s, latest_s, Source.PEER)
                )
            # Only now, as a later entry may move the time of a newer version.
            versions.drop_superseded(now_s - self._allowed_s)
            found[model] = learned
        return found

    def _is_valid(self, model, entries):
        if model not in self._models and len(self._models) >= MAX_MODELS:
            return False
        return is_valid_ages(entries)

    def ages_s(self, now_s):
        """Return the ages to report: those of versions that still limit calls.

        Ages of versions that were there at the first read are left out.

        :param now_s: current time in seconds.
        :returns: dict from model name to a list of :meth:`NamedVersion.ages_s`.
        """
        found = {}
        for model, versions in self._models.items():
            versions.drop_superseded(now_s - self._allowed_s)
            if reported := versions.reported():
                found[model] = [named.ages_s(now_s) for named in reported]
        return found

    def age_s(self, model, now_s):
        """Return the seconds for which the newest version is known to be named.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: seconds; 0.0 when no version was named.
        """
        versions = self._all(model)
        if not versions:
            return 0.0
        return now_s - versions[-1].latest_s

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
            if named.earliest_s + self._grace_s <= now_s
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
            if named.version > version and named.earliest_s + wait_s <= now_s
        ]
        if not due:
            return None
        forbidden_s = min(named.earliest_s for named in due) + self._allowed_s
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

        It limits calls more than the older ones of its gap. Each version was named
        after the known ones before it.
        """
        assumed = filter(None, map(self._assumed, self._gaps))
        found, earliest_s = [], float("-inf")
        for named in sorted([*self.known.values(), *assumed], key=_version):
            if named.earliest_s < earliest_s:
                start_s = min(earliest_s, named.latest_s)
                named = dataclasses.replace(named, earliest_s=start_s)
            if named.version in self.known:
                earliest_s = named.earliest_s
            found.append(named)
        return found

    def _assumed(self, gap):
        version = gap.last
        while version >= gap.first and version in self.known:
            version -= 1
        if version < gap.first:
            return None
        return NamedVersion(version, gap.earliest_s, gap.heard_s, Source.ASSUMED)

    def reported(self):
        """Return the versions to report to other instances, in ascending order."""
        observed = (gap for gap in self._gaps if gap.is_observed)
        assumed = filter(None, map(self._assumed, observed))
        found = {named.version: named for named in assumed} | self.known
        return [named for _, named in sorted(found.items())]

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
        """Record when a version was named, and narrow the known interval.

        :param found: :class:`NamedVersion`.
        :returns: tuple of the :class:`NamedVersion` that became known, or whose
            earliest time was corrected by :data:`LOGGED_CORRECTION_S` or more.
        """
        known = self.known.get(found.version)
        if known is None:
            for gap in self._gaps:
                if gap.first <= found.version <= gap.last:
                    if found.earliest_s > gap.heard_s:
                        # This process had read the version or a newer one by then.
                        return ()
                    seen = dataclasses.replace(
                        found, earliest_s=gap.earliest_s, latest_s=gap.heard_s
                    )
                    found = found.narrowed(seen)
            self.known[found.version] = found
            return (found,)
        found = known.narrowed(found)
        if found is known:
            return ()
        self.known[found.version] = found
        correction_s = abs(found.earliest_s - known.earliest_s)
        return (found,) if correction_s >= LOGGED_CORRECTION_S else ()

    def drop_superseded(self, forbidden_s):
        """Drop versions that a newer one forbids, and the oldest beyond the limit.

        :param forbidden_s: time in seconds; versions that were named by then forbid
            older ones.
        """
        floor = max(
            (n.version for n in self.known.values() if n.earliest_s <= forbidden_s),
            default=0,
        )
        for version in sorted(self.known):
            if version < floor or len(self.known) > MAX_NAMED_VERSIONS:
                del self.known[version]
        self._gaps = [gap for gap in self._gaps if gap.last >= floor]


def _version(named):
    return named.version


def from_ages(entries, now_s):
    """Read the entries of a notice, whose delay is not known.

    :param entries: list of ``[version, age_s, max_age_s]``.
    :param now_s: current time in seconds.
    :returns: dict from version to :class:`NamedVersion`, empty when an entry is
        malformed.
    """
    if not is_valid_ages(entries):
        return {}
    return {
        version: NamedVersion(
            version, now_s - ages_s[-1], now_s - ages_s[0], Source.PEER
        )
        for version, *ages_s in entries
    }


def is_valid_ages(entries):
    """Tell whether a value of a message is a list of ``[version, age_s, max_age_s]``.

    The entries of older builds lack ``max_age_s``.
    """
    return isinstance(entries, list) and all(map(_is_age, entries))


def _is_age(entry):
    if not isinstance(entry, list) or len(entry) not in (2, 3):
        return False
    version, *ages_s = entry
    return (
        type(version) is int
        and 0 <= version <= MAX_VERSION
        and all(type(age_s) in (int, float) for age_s in ages_s)
        and 0 <= ages_s[0] <= ages_s[-1] <= MAX_AGE_S
    )
