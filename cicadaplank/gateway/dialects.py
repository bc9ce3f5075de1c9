"""What the gateway needs to know of the headers of callers and endpoints.

The names of headers belong to a deployment. A :class:`Dialect` reads them into the
types below and writes them.
"""

import dataclasses
import typing


class BadRequestError(ValueError):
    """A request that cannot be understood.

    :param status: HTTP status for the client.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclasses.dataclass(frozen=True)
class CallHead:
    """Request line and headers of a call.

    :param method: HTTP method.
    :param target: path and query as the client sent them.
    :param path: path without query, as text.
    :param host: host name without port, in lower case.
    :param attempt: identifier of the client's attempt, as sent.
    :param key: API key, or empty.
    :param wait_s: how long the client waits, or None.
    :param resume_after: identifier of the last event that the client has, or empty.
    :param model: model name, or empty.
    :param headers: list of ``(name, value)`` to pass on.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    attempt: bytes
    key: str
    wait_s: float | None
    resume_after: bytes
    model: str
    headers: list


@dataclasses.dataclass(frozen=True)
class Forwarding:
    """What the gateway adds to a call that it sends to an endpoint.

    :param endpoint: name of the endpoint that must have the address.
    :param left_s: time that is left for the answer.
    :param account: client account, or empty.
    :param resume_after: identifier of the last event that arrived, or empty.
    :param priority: 0 is most urgent, or None.
    """

    endpoint: str
    left_s: float
    account: str
    resume_after: bytes
    priority: int | None


@dataclasses.dataclass(frozen=True)
class ReplyHead:
    """Status and headers of an endpoint's answer.

    :param status: HTTP status.
    :param headers: list of ``(name, value)`` for the client, framing excluded.
    :param attempt: identifier of the attempt that it answers, or empty.
    :param is_signed: whether the endpoint vouches for the answer.
    :param is_not_run: whether the endpoint says that it did not run the call.
    :param is_misdirected: whether another endpoint has the address, or other weights.
    :param is_encoded: whether the body is transformed.
    :param length: length of the body in bytes, or None.
    :param is_chunked: whether the body is sent in chunks.
    :param keeps_open: whether the connection may be used again.
    :param idle_timeout_s: when the endpoint closes an idle connection, or None.
    """

    status: int
    headers: list
    attempt: bytes
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    length: int | None
    is_chunked: bool
    keeps_open: bool
    idle_timeout_s: float | None


class Dialect(typing.Protocol):
    """Reads and writes the headers of a deployment."""

    def read_call(self, method, target, headers):
        """Return the :class:`CallHead` of a request.

        :raises BadRequestError: when it cannot be understood.
        """

    def write_call(self, call, body_length, forwarding):
        """Return the bytes of the request line and headers for an endpoint."""

    def read_reply(self, status, headers):
        """Return the :class:`ReplyHead` of an answer."""

    def write_reply(self, head, length, closes):
        """Return the bytes of the status line and headers for the client.

        :param head: :class:`ReplyHead`.
        :param length: length of the body in bytes, or None for a stream in chunks.
        :param closes: whether the connection is closed after the answer.
        """

    def write_refusal(self, status, attempt, message, retry_after_s, close):
        """Return the bytes of an answer of the gateway's own."""
