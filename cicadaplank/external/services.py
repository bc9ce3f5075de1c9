"""Interface and HTTP client of plain services, which run beside the engines.

Also holds the load report and the attempt header that engines use too.
"""

import dataclasses
import typing

from twisted.internet import defer

from cicadaplank.external import errors, http

ATTEMPT_HEADER = http.ATTEMPT_HEADER
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service.

    :param attempt: identifier of the attempt.
    :param method: HTTP method.
    :param path: path with query.
    :param body: request body.
    :param once_key: idempotency key of a call that may not be repeated, or empty.
    :param timeout_s: time-out of the call in seconds.
    """

    attempt: str
    method: str
    path: str
    body: bytes = b""
    once_key: str = ""
    timeout_s: float = MAX_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class ServiceEnd:
    """Response of a plain service.

    :param attempt: identifier of the attempt.
    :param status: HTTP status below 500 other than 429.
    :param body: response body.
    """

    attempt: str
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load reported by an engine or plain service.

    :param running: number of requests that are running.
    :param waiting: number of requests in its queue.
    :param capacity: maximum number of requests that run at once.
    :param measured_unix_s: Unix time of the measurement in seconds; it may be older
        than the report.
    """

    running: int
    waiting: int
    capacity: int
    measured_unix_s: float


class Service(typing.Protocol):
    """A plain service. Every method returns a Deferred."""

    def call(self, call):
        """Send a call, without retries; cancelling the Deferred closes the connection.

        :param call: :class:`ServiceCall`.
        :returns: Deferred with :class:`ServiceEnd`; fails with
            :class:`errors.Unavailable` (not run), :class:`errors.AnswerLost` or
            :class:`errors.Crossed` (may have run).
        """

    def load_report(self):
        """Read the load of the service.

        :returns: Deferred with :class:`LoadReport`; fails with
            :class:`errors.Unavailable`.
        """


class ServiceClient:
    """:class:`Service` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    """

    def __init__(self, client):
        self._client = client

    def call(self, call):
        """See :meth:`Service.call`."""
        return defer.Deferred.fromCoroutine(self._call(call))

    async def _call(self, call):
        headers = {ATTEMPT_HEADER: call.attempt}
        if call.once_key:
            headers[IDEMPOTENCY_KEY_HEADER] = call.once_key
        answer = await self._client.send(
            call.method, call.path, call.body, headers, call.timeout_s
        )
        if answer.status >= 500:
            raise errors.AnswerLost(f"status {answer.status}: {http.reason(answer)}")
        check_attempt(call.attempt, answer.header(ATTEMPT_HEADER))
        return ServiceEnd(call.attempt, answer.status, answer.body)

    def load_report(self):
        """See :meth:`Service.load_report`."""
        return http.run_read_only(read_load(self._client))


async def read_load(client):
    """Read a load report.

    :param client: :class:`cicadaplank.external.http.Client`.
    :returns: :class:`LoadReport`.
    :raises PlatformError: when there is no valid report.
    """
    document = http.check_status(await client.send("GET", "/load")).json()
    names = [field.name for field in dataclasses.fields(LoadReport)]
    values = [document.get(name) for name in names]
    if not all(isinstance(value, (int, float)) for value in values):
        raise errors.Unavailable("a field of the load report is not a number")
    return LoadReport(*values)


def check_attempt(expected, found):
    """Check that a response belongs to the attempt that was sent.

    :param expected: identifier of the attempt that was sent.
    :param found: identifier in the response.
    :raises Crossed: when they differ.
    """
    if found != expected:
        raise errors.Crossed(expected, found)
