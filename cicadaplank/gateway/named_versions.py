"""Versions of weights that the operator named, and the time at which each was named.

Calls must not begin on an older version later than a fixed time after a newer one was
named.
"""

import collections
import dataclasses
import enum

# Share of the time until old weights are forbidden after which calls are sent to the
# new weights only. The rest covers calls that wait at an engine (1.0 s was observed)
# and delayed notices of the new version.
WEIGHTS_SWITCH_SHARE = 0.85
# Limit of the named versions that are kept for each model.
MAX_NAMED_VERSIONS = 16


class Source(enum.Enum):
    """How this process knows when a version was named.

    ``STORE``: it read the operator's record before and after the change. ``ASSUMED``:
    it found the version in its first read of the record, so the version may have been
    named long ago.
    """

    STORE = "store"
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
    """

    def __init__(self, weights_s):
        self._allowed_s = weights_s
        self._grace_s = WEIGHTS_SWITCH_SHARE * weights_s
        self._named = collections.defaultdict(list)

    def record_named_version(self, model, version, now_s, is_new):
        """Record a named version; older versions than the newest one are ignored.

        :param model: model name.
        :param version: version number; newer ones are higher.
        :param now_s: current time in seconds.
        :param is_new: whether older versions stay allowed for a while. False when the
            version was named before this process started, perhaps long ago.
        :returns: tuple of the added :class:`NamedVersion`.
        """
        versions = self._named[model]
        if versions and version <= versions[-1].version:
            return ()
        found = NamedVersion(version, now_s, now_s, Source.STORE)
        if not is_new:
            named_s = now_s - self._allowed_s
            found = NamedVersion(version, named_s, now_s, Source.ASSUMED)
        versions.append(found)
        del versions[:-MAX_NAMED_VERSIONS]
        return (found,)

    def age_s(self, model, now_s):
        """Return the seconds since this process learned of the newest version.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: seconds, 0.0 when no version was named.
        """
        versions = self._named.get(model)
        return now_s - versions[-1].heard_s if versions else 0.0

    def min_version(self, model, now_s):
        """Return the oldest version that calls may run on now.

        :param model: model name.
        :param now_s: current time in seconds.
        :returns: version number, 0 when any version is allowed.
        """
        required = [
            n.version
            for n in self._named.get(model, ())
            if n.named_s + self._grace_s <= now_s
        ]
        return max(required, default=0)
