"""Limits of endpoints that are cold.

Load pattern: an endpoint that has just come back is the emptiest of its service, and
every entry instance would send its next call there. While it is cold it bears a rate of
requests that holds for all instances together.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WarmUp:
    """Warm-up of an endpoint.

    :param until_s: time in seconds until which it is cold.
    :param limit_per_s: requests per second that it bears until then, None for any.
    """

    until_s: float
    limit_per_s: float | None


WARM = WarmUp(float("-inf"), None)


def of(left_s, per_s, now_s):
    """Return the :class:`WarmUp` of an endpoint.

    :param left_s: seconds for which it stays cold.
    :param per_s: requests per second that it bears while it is cold, 0.0 for any.
    :param now_s: current time in seconds.
    """
    return WarmUp(now_s + left_s, per_s) if left_s > 0 and per_s > 0 else WARM


def lower(first_per_s, second_per_s):
    """Return the lower one of two limits, each None for no limit."""
    given = [each for each in (first_per_s, second_per_s) if each is not None]
    return min(given, default=None)
