"""What endpoints have said of themselves in their answers.

An endpoint that leaves says so before its row does, and one that turns a call away may
say for how long it wants no more of them. Load pattern: a rolling replacement, or a
burst that fills endpoints one after the other. One in need names the requests a second
that it takes from all entry instances together, as long as that holds.

What an endpoint says holds for one run of it, whatever its row says, and also while the
row is missing. It ends with the run, or with the time that was named.
"""

import collections
import dataclasses
import math

# Longest time for which an endpoint is left alone because it said so. Releases and
# restarts take less; one that names an hour may be the only one of its service.
MAX_BUSY_S = 60.0
# Entry instances come back spread over this share of the named time, up to the maximum,
# so that they do not fill the endpoint again in the same instant.
RETURN_SPREAD_SHARE = 0.2
MAX_RETURN_SPREAD_S = 1.0
# Time for which the word of another instance counts that an endpoint leaves. Its row
# says so within this time, unless the word is false or stale.
MAX_HEARSAY_S = 10.0
# A smaller limit, also none at all, counts as this one: a call now and then shows
# whether it still holds. A larger one is more than all entry instances send.
MIN_LIMIT_PER_S = 0.1
MAX_LIMIT_PER_S = 10_000.0
# Limit on the runs of endpoints of which something is kept.
MAX_RUNS = 2048


@dataclasses.dataclass(frozen=True)
class Word:
    """What one run of an endpoint has said of itself.

    :param leaving_s: time in seconds at which it first said that it leaves, or None.
    :param busy_until_s: time in seconds until which it wants no calls.
    :param hearsay_until_s: time in seconds until which it is avoided because another
        instance said that it leaves.
    :param limit_per_s: requests per second that it takes from all entry instances
        together, or None while it names no limit.
    :param limit_said_s: time in seconds at which it last named a limit or none.
    """

    leaving_s: float | None = None
    busy_until_s: float = 0.0
    hearsay_until_s: float = 0.0
    limit_per_s: float | None = None
    limit_said_s: float = float("-inf")

    @property
    def is_leaving(self):
        """Whether the endpoint itself has said that it leaves."""
        return self.leaving_s is not None

    def is_busy(self, now_s):
        """Tell whether it wants no calls now.

        :param now_s: current time in seconds.
        """
        return now_s < self.busy_until_s

    def is_said_to_leave(self, now_s):
        """Tell whether another instance has said so, and not long ago.

        :param now_s: current time in seconds.
        """
        return now_s < self.hearsay_until_s


NOTHING = Word()


class Announcements:
    """What the runs of all endpoints have said, as known to one instance.

    :param random: ``random.Random``; spreads the return of several instances.
    :ivar counts: number of words by kind, of rejected ones, and of ``evicted`` runs.
    """

    def __init__(self, random):
        self.counts = collections.Counter()
        self._random = random
        self._words = collections.OrderedDict()

    def of(self, run):
        """Return the :class:`Word` of a run.

        :param run: key of one run of an endpoint.
        """
        return self._words.get(run, NOTHING)

    def record_leaving(self, run, now_s):
        """Record that an endpoint has said that it leaves.

        :param run: key of one run of an endpoint.
        :param now_s: current time in seconds.
        :returns: whether it had not said so before.
        """
        word = self.of(run)
        if word.is_leaving:
            return False
        self.counts["leaving"] += 1
        self._set(run, dataclasses.replace(word, leaving_s=now_s))
        return True

    def record_busy(self, run, for_s, now_s):
        """Record that an endpoint has turned a call away for some time.

        :param run: key of one run of an endpoint.
        :param for_s: seconds for which it wants no calls.
        :param now_s: current time in seconds.
        :returns: seconds for which it is left alone, 0.0 when it named no time.
        """
        if not for_s > 0 or math.isnan(for_s):
            return 0.0
        for_s = min(for_s, MAX_BUSY_S)
        for_s += self._random.uniform(
            0.0, min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * for_s)
        )
        word = self.of(run)
        until_s = max(word.busy_until_s, now_s + for_s)
        self.counts["busy"] += 1
        self._set(run, dataclasses.replace(word, busy_until_s=until_s))
        return for_s

    def merge_leaving(self, run, age_s, now_s):
        """Record the word of another instance that an endpoint leaves.

        :param run: key of one run of an endpoint.
        :param age_s: seconds since the endpoint said so.
        :param now_s: current time in seconds.
        :returns: whether it counts; one that is too old or has no valid age does not.
        """
        if not isinstance(age_s, (int, float)) or not 0 <= age_s < MAX_HEARSAY_S:
            self.counts["rejected"] += 1
            return False
        word = self.of(run)
        until_s = now_s + MAX_HEARSAY_S - age_s
        if until_s <= word.hearsay_until_s:
            return False
        self.counts["hearsay"] += 1
        self._set(run, dataclasses.replace(word, hearsay_until_s=until_s))
        return True

    def record_limit(self, run, limit_per_s, now_s):
        """Record that an endpoint has named a limit.

        :param run: key of one run of an endpoint.
        :param limit_per_s: requests per second, 0.0 or more.
        :param now_s: current time in seconds.
        :returns: whether it is another one than before.
        """
        kind = "limit"
        if limit_per_s < MIN_LIMIT_PER_S:
            kind, limit_per_s = "limit_too_small", MIN_LIMIT_PER_S
        elif limit_per_s > MAX_LIMIT_PER_S:
            kind, limit_per_s = "limit_too_large", None
        self.counts[kind] += 1
        return self._set_limit(run, limit_per_s, now_s)

    def record_no_limit(self, run, sent_s, now_s):
        """Record that an endpoint has named no limit in an answer.

        A limit that was named after the call was sent stays.

        :param run: key of one run of an endpoint.
        :param sent_s: time in seconds at which the call was sent.
        :param now_s: current time in seconds.
        :returns: whether it had named one before.
        """
        word = self.of(run)
        if word.limit_per_s is None or sent_s <= word.limit_said_s:
            return False
        self.counts["limit_ended"] += 1
        return self._set_limit(run, None, now_s)

    def merge_limit(self, run, limit_per_s, age_s, now_s):
        """Record the word of another instance on the limit of an endpoint.

        :param run: key of one run of an endpoint.
        :param limit_per_s: requests per second, or None for no limit.
        :param age_s: seconds since the endpoint said so.
        :param now_s: current time in seconds.
        :returns: whether it is another one than before. Something older than what is
            known, or without a valid age or limit, does not count.
        """
        is_valid = 0 <= age_s < float("inf")
        if limit_per_s is not None:
            is_valid &= MIN_LIMIT_PER_S <= limit_per_s <= MAX_LIMIT_PER_S
        if not is_valid:
            self.counts["rejected"] += 1
            return False
        if now_s - age_s <= self.of(run).limit_said_s:
            return False
        self.counts["limit_merged"] += 1
        return self._set_limit(run, limit_per_s, now_s - age_s)

    def succeed(self, run, successor, age_s, now_s):
        """Keep the limit that a run had named before its record told of it.

        While the store is away, an endpoint that starts again at its address answers
        calls that are meant for the run before.

        :param run: key of the run that the record told of until now.
        :param successor: key of the run that it tells of now, at the same address.
        :param age_s: seconds since the successor started, by the time of day.
        :param now_s: current time in seconds.
        """
        word = self.of(run)
        if word.limit_per_s is not None and word.limit_said_s > now_s - age_s:
            self.counts["limit_kept"] += 1
            self._set_limit(successor, word.limit_per_s, word.limit_said_s)

    def _set_limit(self, run, limit_per_s, said_s):
        word = self.of(run)
        if word.limit_per_s is None and limit_per_s is None:
            return False
        changed = dataclasses.replace(
            word, limit_per_s=limit_per_s, limit_said_s=said_s
        )
        self._set(run, changed)
        return word.limit_per_s != limit_per_s

    def _set(self, run, word):
        self._words[run] = word
        self._words.move_to_end(run)
        while len(self._words) > MAX_RUNS:
            self._words.popitem(last=False)
            self.counts["evicted"] += 1
