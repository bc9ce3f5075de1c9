"""Errors of calls to the platform, engines and plain services.

The class tells whether the call may have taken effect and may be retried.
"""


class PlatformError(Exception):
    """The call returned no usable response.

    :param reason: what happened.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class Unavailable(PlatformError):
    """The call did not take effect and may be retried.

    :param reason: what happened.
    :param retry_after_s: seconds after which to retry, 0 when not known.
    """

    def __init__(self, reason, retry_after_s=0.0):
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class ConnectTimedOut(Unavailable):
    """No connection was made in time; the server may still be running."""


class AnswerLost(PlatformError):
    """The call may have taken effect; read the state before retrying it."""


class Refused(PlatformError):
    """The server rejected the call without executing it.

    :param status: HTTP status.
    :param reason: start of the response body.
    """

    def __init__(self, status, reason):
        super().__init__(f"status {status}: {reason}")
        self.status = status


class NotFound(Refused):
    """The requested resource does not exist (status 404)."""


class Crossed(PlatformError):
    """The response carries another attempt's identifier; the call may have run.

    :param expected: identifier of the attempt that was sent.
    :param found: identifier in the response.
    """

    def __init__(self, expected, found):
        super().__init__(f"answer of attempt {found!r} instead of {expected!r}")
        self.expected = expected
        self.found = found
