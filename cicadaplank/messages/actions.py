"""Actions that decision objects return for the process to execute."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a peer, without any guarantee of delivery.

    :param peer: instance name.
    :param message: one of :mod:`cicadaplank.messages.types`.
    """

    peer: str
    message: object


@dataclasses.dataclass(frozen=True)
class ReportError:
    """Log and count an unexpected error; a decision object has gone on without it.

    :param error: the exception, with its traceback.
    """

    error: Exception


@dataclasses.dataclass(frozen=True)
class Alert:
    """Log and count a condition that requires an operator's attention.

    :param kind: short name that is also used as a metric label.
    :param detail: description of the condition and of what to do.
    """

    kind: str
    detail: str
