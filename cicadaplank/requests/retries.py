"""Retry policy: budget, exponential back-off and deadline."""

import dataclasses

from cicadaplank.requests import verdicts

# Retries allowed for each request. The goal is 1.1 attempts per request; the difference
# covers the reserve.
RETRY_SHARE = 0.09
# Retries available without preceding traffic, so that an entry instance with few
# requests can retry too.
RESERVE_RETRIES = 10.0
MAX_ATTEMPTS = 3
BACKOFF_S = 0.02
# With less time left before the deadline, a first token is not to be expected (p95 is
# 0.88 s at the peak).
MIN_ATTEMPT_S = 0.05
# Range of the random Retry-After time, which spreads the retries of callers.
CALLER_RETRY_RANGE_S = (1.0, 3.0)


@dataclasses.dataclass(frozen=True)
class Retry:
    """Decision: send the request again.

    :param after_s: seconds to wait before the next attempt.
    """

    after_s: float


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Decision: answer the caller with the failure, without a further attempt.

    :param code: ``not_repeatable``; ``deadline``, when too little time is left;
        ``attempts``, when their number is used up; or ``budget``.
    :param retry_after_s: seconds after which the caller may send the request again.
    """

    code: str
    retry_after_s: float


class RetryBudget:
    """Retry budget of an entry instance: a share of its requests, plus a reserve.

    :param share: retries allowed for each request.
    :param reserve: largest number of unused retries kept; also the initial number.
    :param max_attempts: largest number of attempts at one request.
    :ivar rejected: number of retries that the budget did not allow.
    """

    def __init__(
        self,
        share=RETRY_SHARE,
        reserve=RESERVE_RETRIES,
        max_attempts=MAX_ATTEMPTS,
    ):
        if share < 0 or reserve < 0:
            raise ValueError(
                f"share is {share}, reserve is {reserve}; both must be 0 or more"
            )
        self._share = share
        self._reserve = reserve
        self._retries_left = reserve
        self.max_attempts = max_attempts
        self.rejected = 0

    def record_request(self):
        """Count a new request, which adds ``share`` retries to the budget."""
        self._retries_left = min(self._reserve, self._retries_left + self._share)

    def try_retry(self):
        """Take one retry from the budget.

        :returns: True when the budget allows it.
        """
        if self._retries_left < 1:
            self.rejected += 1
            return False
        self._retries_left -= 1
        return True


def decide(verdict, repeatable, attempts, now_s, deadline_s, budget, random):
    """Decide what follows a failed attempt.

    :param verdict: combined :class:`cicadaplank.requests.verdicts.Verdict`.
    :param repeatable: False for a call that must not run twice.
    :param attempts: number of attempts so far.
    :param now_s: current time in seconds.
    :param deadline_s: time in seconds after which the caller has no use for the answer.
    :param budget: :class:`RetryBudget`.
    :param random: :class:`random.Random` for the jitter.
    :returns: :class:`Retry` or :class:`GiveUp`.
    """
    later_s = random.uniform(*CALLER_RETRY_RANGE_S)
    if not verdicts.may_retry(verdict, repeatable):
        return GiveUp("not_repeatable", later_s)
    # The first retry goes to another endpoint, so that it needs no back-off.
    after_s = 0.0
    if attempts > 1:
        after_s = random.uniform(0.5, 1.0) * BACKOFF_S * 2 ** min(attempts, 6)
    if now_s + after_s + MIN_ATTEMPT_S > deadline_s:
        return GiveUp("deadline", later_s)
    if attempts >= budget.max_attempts:
        return GiveUp("attempts", later_s)
    if not budget.try_retry():
        return GiveUp("budget", later_s)
    return Retry(after_s)
