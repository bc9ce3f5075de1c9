"""HTTP client on which the clients of the platform, engines and services are built."""

import dataclasses
import json

import treq.client
from twisted.internet import defer, error, protocol
from twisted.python import context
from twisted.web import client as web_client
from twisted.web import http as web_http
from twisted.web import http_headers

from cicadaplank.external import errors
from cicadaplank.links import http_statuses, sockets
from cicadaplank.world import buffers

SENDER_HEADER = "X-Cicadaplank-Sender"
ATTEMPT_HEADER = "X-Cicadaplank-Attempt"
TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 16
# Larger than any table, manifest or chunk; reading of a longer body stops here.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Limit on the incomplete answers of one client together.
MAX_BUFFERED_BYTES = MAX_ANSWER_BYTES
# Limit on the status line and headers of a response, interim responses included.
MAX_HEAD_BYTES = 64 * 1024
# Most bytes that are read from a server in one turn of the event loop.
TURN_BYTES = 16 * 1024
# Limit on the body of a response that only reports an error.
MAX_ERROR_BYTES = 64 * 1024
# Key of the reason for which the connection of a response was lost, while the end of
# the connection is processed.
_LOSS = object()
UNAVAILABLE_STATUSES = (429, 503)
CONNECT_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    error.ConnectingCancelledError,
)
CONNECT_TIMEOUTS = (error.TimeoutError, error.ConnectingCancelledError)


@dataclasses.dataclass(frozen=True)
class Response:
    """Complete HTTP response.

    :param status: HTTP status.
    :param headers: :class:`twisted.web.http_headers.Headers`.
    :param body: bytes.
    """

    status: int
    headers: object
    body: bytes

    def header(self, name, default=""):
        """Return the first value of a header as text.

        :param name: name of the header.
        :param default: value for a missing header.
        """
        return first_header(self.headers, name, default)

    def json(self):
        """Return the body as a JSON object.

        :raises AnswerLost: when the body is not one.
        """
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as parse_error:
            raise errors.AnswerLost(
                f"answer is not JSON: {parse_error}"
            ) from parse_error
        if not isinstance(value, dict):
            raise errors.AnswerLost("answer is not a JSON object")
        return value


class Client:
    """Sends requests to one base URL; errors tell whether one may have taken effect.

    :param reactor: Twisted reactor.
    :param address: base URL, for example ``http://127.0.0.1:8000``.
    :param sender: instance name that the requests carry, or empty.
    :param timeout_s: time-out of a request in seconds, including its response.
    :param connect_timeout_s: time-out of the connection set-up in seconds.
    :param max_answer_bytes: maximum size of a response body; a longer one fails with
        :class:`errors.AnswerLost`.
    """

    def __init__(
        self,
        reactor,
        address,
        sender="",
        timeout_s=TIMEOUT_S,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_answer_bytes=MAX_ANSWER_BYTES,
    ):
        self.address = address.rstrip("/")
        self._reactor = reactor
        self._sender = sender
        self._timeout_s = timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._buffers = buffers.BufferBudget(MAX_BUFFERED_BYTES)
        self._pool = _GuardedPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        # Otherwise the pool would retry a GET outside the system's retry budget.
        self._pool.retryAutomatically = False
        new_connections = _GuardedPool(reactor, persistent=False)
        self._reads, self._changes = (
            treq.client.HTTPClient(
                web_client.Agent(reactor, connectTimeout=connect_timeout_s, pool=pool)
            )
            for pool in (self._pool, new_connections)
        )

    def close(self):
        """Close the idle connections.

        :returns: Deferred that fires when they are closed.
        """
        return self._pool.closeCachedConnections()

    def send(self, method, path, body=None, headers=None, timeout_s=None):
        """Send a request and read the complete response.

        :param method: HTTP method.
        :param path: path with query.
        :param body: bytes or None.
        :param headers: dict from header name to text.
        :param timeout_s: time-out in seconds, None for that of the client.
        :returns: Deferred that fires with a :class:`Response` of any status but 429 and
            503. It fails with :class:`errors.Unavailable` when there was no connection
            or the status is 429 or 503, with :class:`errors.Crossed` when the response
            names another attempt, else with :class:`errors.AnswerLost`.
        """
        sent = defer.Deferred.fromCoroutine(
            self._send(method, path, body, dict(headers or {}))
        )
        sent.addTimeout(timeout_s or self._timeout_s, self._reactor)
        sent.addErrback(_translate_failure)
        return sent

    def send_json(self, method, path, document, headers=None, timeout_s=None):
        """Send a JSON value; see :meth:`send`."""
        body = json.dumps(document).encode()
        return self.send(method, path, body, headers, timeout_s)

    def open(self, method, path, body, headers, timeout_s=None):
        """Send a request whose response body is read as it arrives.

        Parameters are those of :meth:`send`; the time-out ends with the response
        headers.

        :returns: Deferred that fires with treq's response of any status, and fails as
            :meth:`send`.
        """
        pending = defer.Deferred.fromCoroutine(
            self._open(method, path, body, dict(headers))
        )
        pending.addTimeout(timeout_s or self._timeout_s, self._reactor)
        pending.addErrback(_translate_failure)
        return pending

    async def _open(self, method, path, body, headers):
        if self._sender:
            headers[SENDER_HEADER] = self._sender
        # An earlier response that is written once more on a kept connection would tell
        # that a change was not made.
        is_read = method == "GET" and ATTEMPT_HEADER not in headers
        http_client = self._reads if is_read else self._changes
        response = await http_client.request(
            method, self.address + path, data=body, headers=headers, unbuffered=True
        )
        _check_attempt(headers.get(ATTEMPT_HEADER), response)
        return response

    async def _send(self, method, path, body, headers):
        response = await self._open(method, path, body, headers)
        data = await read_body(response, self._max_answer_bytes, self._buffers)
        answer = Response(response.code, response.headers, data)
        if answer.status in UNAVAILABLE_STATUSES:
            raise unavailable_error(answer)
        return answer


def _check_attempt(expected, response):
    """Give up a response of any status that names another attempt.

    :param expected: identifier of the attempt, None for a request without one.
    :param response: treq's response.
    :raises Crossed: when it names another attempt.
    """
    found = response.headers.getRawHeaders(ATTEMPT_HEADER) or []
    if expected is not None and any(name != expected for name in found):
        read_body(response, MAX_ERROR_BYTES).addErrback(lambda failure: None).cancel()
        raise errors.Crossed(expected, ", ".join(found))


class _GuardedPool(web_client.HTTPConnectionPool):
    """Connection pool that guards each of its connections."""

    def getConnection(self, key, endpoint):
        """Return a Deferred of a connection that a :class:`_Guard` watches."""
        return super().getConnection(key, endpoint).addCallback(_guarded)


def _guarded(connection):
    if not hasattr(connection, "guard"):
        connection.guard = _Guard(connection)
        connection.transport.bufferSize = TURN_BYTES
        sockets.report_resets(connection.transport)
    return connection


class _Guard:
    """Checks the heads of responses on a connection, and tells how it was lost.

    Twisted reports a body without length and chunks in the same way after a close and
    after a reset, and reads a head of any size, with any number as its status.

    :param connection: HTTP/1.1 connection of Twisted, whose methods are replaced.
    """

    def __init__(self, connection):
        self._connection = connection
        self._data_received = connection.dataReceived
        self._connection_lost = connection.connectionLost
        self._request = connection.request
        self._is_reading_head = False
        self._head_bytes = 0
        connection.dataReceived = self._receive
        connection.connectionLost = self._lose
        connection.request = self._send

    def _send(self, request):
        self._head_bytes = 0
        self._is_reading_head = True
        sent = self._request(request)
        if self._connection._parser is not None:
            _check_head(self._connection._parser)
        return sent.addBoth(self._head_ended)

    def _head_ended(self, result):
        self._is_reading_head = False
        return result

    def _receive(self, data):
        self._data_received(data)
        if self._is_reading_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._connection.transport.abortConnection()

    def _lose(self, reason):
        context.call({_LOSS: reason}, self._connection_lost, reason)


def _check_head(parser):
    """Let a parser of a response fail on a head that no server may send.

    The body of an interim response would be read as the next status line. That of a
    response without one belongs to none, and the connection is not used again.

    :param parser: parser of Twisted, whose methods are replaced.
    """
    receive_status, end_head = parser.statusReceived, parser.allHeadersReceived

    def status_received(line):
        fault = http_statuses.status_line_fault(line)
        if fault:
            raise ValueError(fault)
        receive_status(line)

    def all_headers_received():
        status, headers = parser.response.code, parser.connHeaders
        length = headers.getRawHeaders(b"content-length", [b"0"])[0].strip(b"0")
        if length or headers.hasHeader(b"transfer-encoding"):
            if http_statuses.is_interim(status):
                raise ValueError(f"status {status} with a body")
            if status in http_statuses.STATUSES_WITHOUT_BODY:
                headers.addRawHeader(b"connection", b"close")
        end_head()

    parser.statusReceived = status_received
    parser.allHeadersReceived = all_headers_received


def is_complete(reason):
    """Tell whether a response body is complete, from the reason for its end.

    :param reason: failure that ``connectionLost`` of the body's protocol was given.
    """
    if reason.check(web_client.ResponseDone):
        return True
    loss = context.get(_LOSS)
    is_closed = loss is not None and loss.check(error.ConnectionDone)
    return bool(is_closed and reason.check(web_http.PotentialDataLoss))


class _Collector(protocol.Protocol):
    """Collects a response body.

    :param limit_bytes: maximum size; for a longer body the connection is closed.
    :param budget: :class:`cicadaplank.world.buffers.BufferBudget`.
    :param received: called with each part of the body.
    :ivar finished: Deferred with bytes; cancelling it closes the connection.
    """

    def __init__(self, limit_bytes, budget, received):
        self.finished = defer.Deferred(self._cancel)
        self._limit_bytes = limit_bytes
        self._budget = budget
        self._received = received
        self._body = bytearray()

    def dataReceived(self, data):
        if self.finished.called:
            return
        self._received(data)
        self._body += data
        if len(self._body) > self._limit_bytes:
            self.drop_buffer(f"more than {self._limit_bytes} bytes")
            return
        self._budget.set_held(self, len(self._body))

    def connectionLost(self, reason=protocol.connectionDone):
        if is_complete(reason):
            self._finish(bytes(self._body))
        else:
            cause = f"{reason.type.__name__}: {reason.getErrorMessage()}"
            self._finish(errors.AnswerLost(cause))

    def drop_buffer(self, reason):
        """Give the response up, as it takes too much memory."""
        self.transport.loseConnection()
        self._finish(errors.AnswerLost(reason))

    def _finish(self, result):
        self._budget.release(self)
        self._body = bytearray()
        if not self.finished.called:
            resolve(self.finished, result)

    def _cancel(self, deferred):
        self._budget.release(self)
        self.transport.loseConnection()


def resolve(deferred, result):
    """Fire a Deferred with a result, or with an exception or Twisted failure."""
    if isinstance(result, BaseException) or hasattr(result, "getErrorMessage"):
        deferred.errback(result)
    else:
        deferred.callback(result)


def read_body(response, limit_bytes, budget=None, received=lambda data: None):
    """Read the body of a response.

    A body without length and chunks is complete when its connection was closed, and not
    when it was reset.

    :param response: treq's response.
    :param limit_bytes: maximum size of the body.
    :param budget: :class:`cicadaplank.world.buffers.BufferBudget` of the bodies that
        are read at the same time, or None.
    :param received: called with each part of the body as it arrives.
    :returns: Deferred that fires with bytes; fails with :class:`errors.AnswerLost` for
        a longer body.
    """
    budget = budget or buffers.BufferBudget(limit_bytes)
    collector = _Collector(limit_bytes, budget, received)
    response.deliverBody(collector)
    return collector.finished


def first_header(headers, name, default=""):
    """Return the first value of a header as text.

    :param headers: :class:`twisted.web.http_headers.Headers`.
    :param name: name of the header.
    :param default: value for a missing header.
    """
    assert isinstance(headers, http_headers.Headers)
    return (headers.getRawHeaders(name) or [default])[0]


def unavailable_error(answer):
    """Return the error for a response of status 429 or 503.

    :param answer: :class:`Response`.
    :returns: :class:`errors.Unavailable` with the seconds of ``Retry-After``, 0 for a
        missing or other value.
    """
    try:
        retry_after_s = max(0.0, float(answer.header("Retry-After", "0")))
    except ValueError:
        retry_after_s = 0.0
    return errors.Unavailable(
        f"status {answer.status}: {reason(answer)}", retry_after_s
    )


def reason(answer):
    """Return the first 200 bytes of an error response's body as text."""
    return answer.body[:200].decode("utf-8", "replace")


def check_status(answer, statuses=(200,)):
    """Return the response if its status is an expected one.

    :param answer: :class:`Response`.
    :param statuses: expected HTTP statuses.
    :raises NotFound: for status 404.
    :raises Refused: for another status from 400 to 499.
    :raises AnswerLost: for any other status.
    """
    if answer.status in statuses:
        return answer
    if answer.status == 404:
        raise errors.NotFound(404, reason(answer))
    if 400 <= answer.status < 500:
        raise errors.Refused(answer.status, reason(answer))
    raise errors.AnswerLost(f"status {answer.status}: {reason(answer)}")


def run_read_only(coroutine):
    """Run a coroutine that only reads, so that a lost response may be retried.

    :param coroutine: coroutine that uses a :class:`Client`.
    :returns: Deferred with the coroutine's result; it fails with
        :class:`errors.Unavailable` where the coroutine raises
        :class:`errors.AnswerLost`.
    """
    return defer.Deferred.fromCoroutine(coroutine).addErrback(_convert_to_unavailable)


def _convert_to_unavailable(failure):
    failure.trap(errors.AnswerLost)
    raise errors.Unavailable(failure.value.reason) from failure.value


def _translate_failure(failure):
    if failure.check(errors.PlatformError, defer.CancelledError):
        return failure
    cause = f"{failure.type.__name__}: {failure.getErrorMessage()}"
    if failure.check(*CONNECT_TIMEOUTS):
        raise errors.ConnectTimedOut(f"no connection: {cause}") from failure.value
    if failure.check(*CONNECT_ERRORS):
        raise errors.Unavailable(f"no connection: {cause}") from failure.value
    raise errors.AnswerLost(cause) from failure.value
