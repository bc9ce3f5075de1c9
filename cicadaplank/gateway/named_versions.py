"""Versions of weights that the operator named, and the time at which each was named.

Calls must not begin on an older version later than a fixed time after a newer one was
named. Processes hear of a version at different times, so entry instances report to each
other how long ago each version was named, and each keeps the earliest time.
"""

import dataclasses
import enum
import math

# Share of the time until old weights are forbidden after which calls are sent to the
# new weights only. The rest covers calls that wait at an engine (1.0 s was observed)
# and delayed notices of the new version.
WEIGHTS_SWITCH_SHARE = 0.85
# Limit of the named versions that are kept for each model.
MAX_NAMED_VERSIONS = 16
# Limit of the models of which versions are kept.
MAX_MODELS = 64
# A time of naming that is corrected by less than this is not logged again.
LOGGED_CORRECTION_S = 0.1


class Source(enum.Enum):
    """How this process knows when a version was named.

    ``STORE``: it read the operator's record before and after the change. ``PEER``: an
    entry instance reported it. ``ASSUMED``: it found the version in its first read of
    the record, so the version may have been named long ago.
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


class WeightsRequirement:
    """Tracks the oldest version of each model's weights that calls may run on.

    :param weights_s: seconds from the naming of a version until older ones are
        forbidden.
    :ivar rejected: number of reported ages that were malformed or of too many models.
    """

    def __init__(self, weights_s):
        self.rejected = 0
        self._allowed_s = weights_s
        self._grace_s = WEIGHTS_SWITCH_SHARE * weights_s
        # By model: the newest version in the operator's record, and each named version.
        self._read = {}
        self._named = {}

    def record_named_version(self, model, version, now_s, is_new):
        """Record the version that was read in the operator's record.

        Older versions than the one that was read before are ignored.

        :param model: model name.
        :param version: version number; newer ones are higher.
        :param now_s: current time in seconds.
        :param is_new: whether older versions stay allowed for a while. False when the
            version was named before this process started, perhaps long ago.
        :returns: tuple of each :class:`NamedVersion` that became known.
        """
        if version <= self._read.get(model, 0):
            return ()
        self._read[model] = version
        found = NamedVersion(version, now_s, now_s, Source.STORE)
        if not is_new:
            named_s = now_s - self._allowed_s
            found = NamedVersion(version, named_s, now_s, Source.ASSUMED)
        return self._learn(model, found, now_s)

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
            for version, age_s in entries:
                reported = NamedVersion(version, now_s - age_s, now_s, Source.PEER)
                found[model] = found.get(model, ()) + self._learn(
                    model, reported, now_s
                )
        return found

    def _is_valid(self, model, entries):
        if model not in self._named and len(self._named) >= MAX_MODELS:
            return False
        return isinstance(entries, list) and all(map(_is_age, entries))

    def _learn(self, model, found, now_s):
        versions = self._named.setdefault(model, {})
        known = versions.get(found.version)
        if known is None:
            versions[found.version] = found
            self._drop_superseded(versions, now_s)
            return (found,) if found.version in versions else ()
        if found.source is Source.ASSUMED or found.named_s >= known.named_s:
            return ()
        found = dataclasses.replace(found, heard_s=known.heard_s)
        versions[found.version] = found
        is_logged = known.named_s - found.named_s >= LOGGED_CORRECTION_S
        return (found,) if is_logged else ()

    def _drop_superseded(self, versions, now_s):
        """Drop versions that a newer one forbids, and the oldest beyond the limit."""
        floor = max(
            (
                named.version
                for named in versions.values()
                if named.source is not Source.ASSUMED
                and now_s - named.named_s >= self._allowed_s
            ),
            default=0,
        )
        for version in sorted(versions):
            if version < floor or len(versions) > MAX_NAMED_VERSIONS:
                del versions[version]

    def ages_s(self, now_s):
        """Return the ages to report: those of versions that still limit calls.

        Ages that this process only assumes are left out.

        :param now_s: current time in seconds.
        :returns: dict from model name to a list of ``[version, age_s]``.
        """
        found = {}
        for model, versions in self._named.items():
            self._drop_superseded(versions, now_s)
            known = [
                [named.version, now_s - named.named_s]
                for _, named in sorted(versions.items())
                if named.source is not Source.ASSUMED
            ]
            if known:
                found[model] = known
        return found

    def age_s(self, model, now_s):
        """Return the seconds since the newest version was named, as far as is known.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: seconds, since this process learned of the version when the time of
            naming is only assumed; 0.0 when no version was named.
        """
        versions = self._named.get(model)
        if not versions:
            return 0.0
        newest = versions[max(versions)]
        is_assumed = newest.source is Source.ASSUMED
        return now_s - (newest.heard_s if is_assumed else newest.named_s)

    def min_version(self, model, now_s):
        """Return the oldest version that calls may run on now.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: version number, 0 when any version is allowed.
        """
        required = [
            named.version
            for named in self._named.get(model, {}).values()
            if named.named_s + self._grace_s <= now_s
        ]
        return max(required, default=0)


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
