"""Header information that the gateway uses, independent of header names.

The names of headers depend on the deployment. A :class:`Dialect` parses headers into
the types below and writes them out again.
"""

import dataclasses
import typing

from cicadaplank.gateway import service_times


class BadRequestError(ValueError):
    """A request with an invalid request line or invalid headers.

    :param status: HTTP status for the client.
    :param message: text for the client.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """Request line and headers of a client's request.

    :param method: HTTP method.
    :param target: path and query as the client sent them.
    :param path: path without query, percent-decoded.
    :param host: host name without port, in lower case.
    :param attempt: identifier of the client's attempt, as sent, or empty.
    :param key: API key, or empty.
    :param wait_s: how long the client waits in seconds, or None when it does not say.
    :param resume_after: identifier of the last stream event that the client received,
        or empty.
    :param model: model name, or empty.
    :param headers: list of ``(name, value)`` to forward.
    :param shared_parts: identifiers of the parts of the prompt that other requests may
        share, from its start.
    :param work: :class:`cicadaplank.gateway.service_times.Work` that the client states,
        or None.
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
    shared_parts: tuple = ()
    work: service_times.Work | None = None


@dataclasses.dataclass(frozen=True)
class Forwarding:
    """Information that the gateway adds to a request for an endpoint.

    :param endpoint: name of the endpoint for which the request is meant; another one
        at the same address refuses it.
    :param left_s: time until the deadline in seconds.
    :param account: client account, or empty.
    :param resume_after: identifier of the last stream event that arrived, or empty.
    :param priority: 0 for the most urgent; None to send none.
    :param weights_version: version of the weights without which the endpoint has to
        refuse the request; None when any version will do.
    """

    endpoint: str
    left_s: float
    account: str
    resume_after: bytes
    priority: int | None
    weights_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an endpoint's response.

    :param status: HTTP status.
    :param headers: list of ``(name, value)`` for the client, without those of the
        connection and of the framing.
    :param attempt: identifier of the attempt to which it responds, or empty.
    :param is_signed: whether it carries the endpoint's signature.
    :param is_not_run: whether the endpoint states that it did not execute the request.
    :param is_misdirected: whether the address belongs to another endpoint than the
        expected one, or to one with other weights.
    :param is_encoded: whether the body has a content coding.
    :param is_event_stream: whether the body is an event stream, which is assumed when
        no content type is declared.
    :param length: length of the body in bytes, or None when it is not declared.
    :param is_chunked: whether the body uses chunked transfer coding.
    :param keeps_open: whether the headers allow to reuse the connection.
    :param idle_timeout_s: idle timeout that the endpoint announces in seconds, or None.
    :param is_leaving: whether the endpoint says that it leaves.
    :param busy_for_s: seconds for which the endpoint wants no calls, or None when it
        names no time.
    :param limit_per_s: requests a second that the endpoint takes from all entry
        instances together, or None when it names no limit that can be read.
    :param names_limit: whether it names a limit, which may be malformed.
    :param load: :class:`cicadaplank.gateway.service_times.LoadReport`, None when the
        endpoint reports no load that can be read.
    :param malformed: names of the headers about the endpoint that cannot be read.
    """

    status: int
    headers: list
    attempt: bytes
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    is_event_stream: bool
    length: int | None
    is_chunked: bool
    keeps_open: bool
    idle_timeout_s: float | None
    is_leaving: bool = False
    busy_for_s: float | None = None
    limit_per_s: float | None = None
    names_limit: bool = False
    malformed: tuple = ()
    load: service_times.LoadReport | None = None

    @property
    def is_valid_success(self):
        """Whether it is a success that certainly comes from the endpoint."""
        is_verified = self.is_signed and self.attempt and not self.is_encoded
        return 200 <= self.status < 300 and bool(is_verified)

    @property
    def claims_not_run(self):
        """Whether the status means to clients that the call did not run.

        An answer with such a status is not forwarded.
        """
        return self.status in (408, 421, 429, 503)


class Dialect(typing.Protocol):
    """Parses and writes the headers of a deployment."""

    def read_request(self, method, target, headers):
        """Return the :class:`RequestHead` of a client's request.

        :param method: HTTP method as bytes.
        :param target: request target as bytes.
        :param headers: list of ``(name, value)``.
        :raises BadRequestError: when the target or a header is invalid.
        """

    def write_request(self, call, body_length, forwarding):
        """Return the bytes of the request line and headers for an endpoint.

        :param call: :class:`RequestHead`.
        :param body_length: length of the body in bytes.
        :param forwarding: :class:`Forwarding`.
        """

    def read_response(self, status, headers):
        """Return the :class:`ResponseHead` of an endpoint's response.

        :param status: HTTP status.
        :param headers: list of ``(name, value)``.
        """

    def write_response(self, head, length, closes, uses_chunks=True):
        """Return the bytes of the status line and headers for the client.

        :param head: :class:`ResponseHead`.
        :param length: length of the body in bytes, or None when it is not known.
        :param closes: whether the connection is closed after the response.
        :param uses_chunks: whether a body of unknown length is sent in chunks.
            Otherwise it ends with the connection.
        """

    def write_refusal(self, status, attempt, message, retry_after_s, closes):
        """Return the bytes of a complete refusal that the gateway itself issues.

        :param status: HTTP status.
        :param attempt: identifier of the client's attempt, or empty.
        :param message: text of the body.
        :param retry_after_s: delay before the client may retry in seconds, or None.
        :param closes: whether the connection is closed after the response.
        """
