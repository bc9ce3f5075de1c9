"""Verdicts on whether a request was executed, and thus whether a retry is safe."""

import enum


class Verdict(enum.Enum):
    """Knowledge about the execution of a request.

    ``RAN``: an engine or plain service answered it. ``NOT_RUN``: it certainly did not
    reach an engine or plain service. ``MAY_HAVE_RUN``: neither is certain.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


def combine(first, second):
    """Combine the verdicts of two attempts at the same request.

    :param first: :class:`Verdict` of one attempt.
    :param second: :class:`Verdict` of another attempt.
    :returns: RAN if one attempt was answered, else MAY_HAVE_RUN if one may have run,
        else NOT_RUN.
    """
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in (first, second):
            return verdict
    return Verdict.NOT_RUN


def may_retry(verdict, repeatable):
    """Tell whether a request may be sent again after an attempt.

    :param verdict: :class:`Verdict` of all attempts so far.
    :param repeatable: False for a call that must not run twice.
    :returns: True when a further attempt is safe.
    """
    if verdict is Verdict.NOT_RUN:
        return True
    return repeatable and verdict is Verdict.MAY_HAVE_RUN
