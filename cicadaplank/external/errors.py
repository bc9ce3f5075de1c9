"""Errors of calls to the platform, engines and plain services.

The class tells whether the call may have had an effect.
"""


class PlatformError(Exception):
    """A call that gave no usable answer.

    :param reason: what happened.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class Unavailable(PlatformError):
    """The call certainly had no effect; it may be repeated.

    :param reason: what happened.
    :param retry_after_s: seconds after which to try again, 0 when not known.
    """

    def __init__(self, reason, retry_after_s=0.0):
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class AnswerLost(PlatformError):
    """The call may have had its effect; read it back before it is repeated."""


class Refused(PlatformError):
    """The other side understood the call and did not execute it.

    :param status: HTTP status.
    :param reason: what the other side said.
    """

    def __init__(self, status, reason):
        super().__init__(f"status {status}: {reason}")
        self.status = status


class NotFound(Refused):
    """The thing that was asked for is not there."""


class Crossed(PlatformError):
    """The answer carries the identifier of another attempt; the call may have run.

    :param expected: identifier of the attempt that was sent.
    :param found: identifier in the answer.
    """

    def __init__(self, expected, found):
        super().__init__(f"answer of attempt {found!r} instead of {expected!r}")
        self.expected = expected
        self.found = found
