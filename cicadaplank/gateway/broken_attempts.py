"""Attempts that broke as their answers began, and the crashes that explain them.

Load pattern: requests with a part under which endpoints crash come among many others.
A connection that breaks may have been cut on its way; that its endpoint has crashed
shows some time later, by refused connections, a missing record or a later start.
"""

import dataclasses

# Attempts that broke within this time before the last one were part of the same crash.
CRASH_WINDOW_S = 1.0
# An endpoint that refuses connections, loses its record or starts anew within this time
# after attempts broke has crashed under them: a proxy may accept connections in its
# place.
MAX_DELAY_S = 5.0
# Limit on the attempts of one endpoint that are kept.
MAX_ATTEMPTS = 32


@dataclasses.dataclass(frozen=True)
class Crash:
    """Crash of an endpoint with the prompts that were there.

    :param crashed_s: time in seconds at which the last attempt broke.
    :param begun: parts of each prompt whose answer had begun.
    :param waiting: parts of each prompt without an answer.
    """

    crashed_s: float
    begun: tuple
    waiting: tuple

    @property
    def parts(self):
        """Sorted list of the parts of which one has caused the crash."""
        return sorted({part for each in self.begun or self.waiting for part in each})


@dataclasses.dataclass(frozen=True)
class _Broken:
    at_s: float
    parts: tuple
    has_begun: bool


class BrokenAttempts:
    """Attempts that broke, by endpoint, until it is known whether that has crashed."""

    def __init__(self):
        self._by_endpoint = {}

    def __len__(self):
        return len(self._by_endpoint)

    def record(self, endpoint, parts, has_begun, now_s):
        """Record an attempt that broke before its prompt was known to be sound.

        :param endpoint: hashable key of a run of an endpoint.
        :param parts: parts of the prompt that other requests may share.
        :param has_begun: whether the answer had begun.
        :param now_s: current time in seconds.
        """
        broken = self._by_endpoint.setdefault(endpoint, [])
        broken.append(_Broken(now_s, parts, has_begun))
        del broken[:-MAX_ATTEMPTS]

    def forget(self, endpoint):
        """Drop the attempts of an endpoint that has not crashed."""
        self._by_endpoint.pop(endpoint, None)

    def take_crash(self, endpoint, now_s):
        """Take out the attempts of an endpoint that has been found to be gone.

        The loss is often found later than it happened, at each endpoint after another
        time, while endpoints that are cut off together broke at the same moment.

        :param endpoint: as in :meth:`record`.
        :param now_s: current time in seconds.
        :returns: :class:`Crash`, or None when no attempt broke there shortly before.
        """
        broken = self._by_endpoint.pop(endpoint, None)
        if broken is None or now_s - broken[-1].at_s > MAX_DELAY_S:
            return None
        crashed_s = broken[-1].at_s
        recent = [each for each in broken if crashed_s - each.at_s <= CRASH_WINDOW_S]
        return Crash(
            crashed_s,
            tuple(each.parts for each in recent if each.has_begun),
            tuple(each.parts for each in recent if not each.has_begun),
        )
