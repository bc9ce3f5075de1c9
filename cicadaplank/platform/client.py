"""HTTP client for the platform's store, model servers and origins of weights."""

import json
import urllib.parse

from twisted.internet import defer

from cicadaplank.external import errors
from cicadaplank.gateway import connections
from cicadaplank.platform import headers
from cicadaplank.world import buffers

# Maximum number of connections to one address; long polls occupy some of them.
MAX_CONNECTIONS = 8
# Connect time-out for an origin. Links between regions delay packets by some tenths of
# a second while many machines transfer weights over them.
ORIGIN_CONNECT_TIMEOUT_S = 1.0
# Default time-out of a call, for small transfers.
TIMEOUT_S = 1.5
# Maximum size of an answer with rows. A page holds 1 MB of them, a long poll may return
# a whole table.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Maximum size of any other answer.
MAX_SMALL_ANSWER_BYTES = 1024 * 1024
# Maximum number of bytes of incomplete answers from one address.
MAX_BUFFERED_BYTES = 24 * 1024 * 1024


class Client:
    """HTTP client of one address, with a pool of connections.

    :param reactor: Twisted reactor.
    :param address: ``host:port``.
    :param max_connections: maximum number of open connections.
    :param connect_timeout_s: seconds in which a connection has to open. After a network
        outage, a short time-out reconnects to the store sooner.
    :param keeps_idle: whether connections stay open between calls.
    """

    def __init__(
        self,
        reactor,
        address,
        max_connections=MAX_CONNECTIONS,
        connect_timeout_s=connections.CONNECT_TIMEOUT_S,
        keeps_idle=True,
    ):
        host, _, port = address.rpartition(":")
        self.address = address
        self._reactor = reactor
        self._buffers = buffers.BufferBudget(MAX_BUFFERED_BYTES)
        self._pool = connections.ConnectionPool(
            reactor,
            headers.PlatformDialect(),
            host,
            int(port),
            max_connections,
            connect_timeout_s,
            keeps_idle,
        )

    def call(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout_s=TIMEOUT_S,
        max_answer_bytes=MAX_SMALL_ANSWER_BYTES,
        not_after_s=float("inf"),
    ):
        """Send a call; parameters as for :meth:`answer`.

        :returns: Deferred of ``(status, bytes)``; fails like that of :meth:`answer`.
        """
        answer = self.answer(
            method, path, query, body, timeout_s, max_answer_bytes, not_after_s
        )
        return answer.addCallback(lambda found: (found[0].status, found[1]))

    def answer(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout_s=TIMEOUT_S,
        max_answer_bytes=MAX_SMALL_ANSWER_BYTES,
        not_after_s=float("inf"),
    ):
        """Send a call.

        :param method: HTTP method.
        :param path: path without query.
        :param query: dict of query fields, or None.
        :param body: bytes, an object that is sent as JSON, or None.
        :param timeout_s: time-out of the whole call in seconds.
        :param max_answer_bytes: maximum size of the answer's body.
        :param not_after_s: monotonic time in seconds after which the call is not sent,
            as a connection may open late.
        :returns: Deferred of a :class:`cicadaplank.gateway.dialects.ResponseHead` and
            the bytes of the body; it fails with ``Unavailable`` when the call was
            certainly not sent and with ``AnswerLost`` when no complete answer arrived.
        """
        target = path + ("?" + urllib.parse.urlencode(query) if query else "")
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        data = body if isinstance(body, bytes) else b""
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
            lines.append("Content-Type: application/json")
        if body is not None:
            lines.append(f"Content-Length: {len(data)}")
        request = "\r\n".join(lines).encode() + b"\r\n\r\n" + data
        exchange = _Exchange(
            self._reactor, request, timeout_s, max_answer_bytes, self._buffers
        )
        exchange.start(self._pool, not_after_s)
        return exchange.done

    def json(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout_s=TIMEOUT_S,
        max_answer_bytes=MAX_SMALL_ANSWER_BYTES,
    ):
        """Send a call whose answer is a JSON object; parameters as for :meth:`answer`.

        :returns: Deferred of ``(status, dict)``; the dict is empty when the status is
            not 200 and the body is not a JSON object. With status 200 such a body fails
            the Deferred with ``AnswerLost``.
        """
        answer = self.json_with_headers(
            method, path, query, body, timeout_s, max_answer_bytes
        )
        return answer.addCallback(lambda found: (found[0], found[2]))

    def json_with_headers(
        self,
        method,
        path,
        query=None,
        body=None,
        timeout_s=TIMEOUT_S,
        max_answer_bytes=MAX_SMALL_ANSWER_BYTES,
    ):
        """Send a call like :meth:`json`.

        :returns: Deferred of ``(status, headers, dict)``, the headers as a list of name
            and value in bytes.
        """
        answer = self.answer(method, path, query, body, timeout_s, max_answer_bytes)
        return answer.addCallback(self._parse)

    def _parse(self, answer):
        head, body = answer
        try:
            value = json.loads(body)
        except (ValueError, RecursionError):
            value = None
        if isinstance(value, dict):
            return head.status, head.headers, value
        if head.status == 200:
            raise errors.AnswerLost(f"{self.address}: answer is not a JSON object")
        return head.status, head.headers, {}


def origin_client(reactor, address):
    """Return a :class:`Client` of an origin of weights.

    It closes each connection after its call. An origin has fewer connections than there
    are agents, and a connection of an instance that has lost power stays in use there
    until the origin's idle timeout.

    :param reactor: Twisted reactor.
    :param address: ``host:port``.
    """
    return Client(
        reactor,
        address,
        connect_timeout_s=ORIGIN_CONNECT_TIMEOUT_S,
        keeps_idle=False,
    )


class _Exchange:
    """One call: sends the request and collects the answer from a connection."""

    def __init__(self, reactor, request, timeout_s, max_answer_bytes, answer_buffers):
        self.done = defer.Deferred()
        self._reactor = reactor
        self._not_after_s = float("inf")
        self._request = request
        self._max_answer_bytes = max_answer_bytes
        self._buffers = answer_buffers
        self._connection = None
        self._dial = None
        self._head = None
        self._body = bytearray()
        self._timer = reactor.callLater(timeout_s, self._timed_out, timeout_s)

    def start(self, pool, not_after_s):
        """Take a connection from the pool and send the request once it is open."""
        self._not_after_s = not_after_s
        self._dial = pool.acquire(self._opened, self._failed)

    def _opened(self, connection):
        self._dial = None
        if self.done.called:
            connection.release()
            return
        late_s = self._reactor.seconds() - self._not_after_s
        if late_s > 0.0:
            connection.release()
            self._failed(f"it opened {late_s:.3f} s after the call's latest time")
            return
        self._connection = connection
        connection.send(self._request, self)

    def _failed(self, reason):
        self._end(errors.Unavailable(f"no connection: {reason}"))

    def _timed_out(self, timeout_s):
        connection, dial = self._connection, self._dial
        self._end(errors.AnswerLost(f"no complete answer within {timeout_s} s"))
        if connection is not None:
            connection.cancel()
        elif dial is not None:
            dial.disconnect()

    def _end(self, result):
        if self.done.called:
            return
        self._connection = None
        self._buffers.release(self)
        if self._timer.active():
            self._timer.cancel()
        if isinstance(result, errors.PlatformError):
            self.done.errback(result)
        else:
            self.done.callback(result)

    def response_started(self, head):
        """Store the status and headers; returns True to receive the body."""
        self._head = head
        return True

    def response_data(self, data):
        """Collect a part of the body; fail the call when the body is too long."""
        self._body += data
        if len(self._body) > self._max_answer_bytes:
            self.drop_buffer(f"the answer exceeds {self._max_answer_bytes} bytes")
            return
        self._buffers.set_held(self, len(self._body))

    def drop_buffer(self, reason):
        """Fail the call, as its answer takes too much memory."""
        connection = self._connection
        self._end(errors.AnswerLost(reason))
        self._body = bytearray()
        connection.cancel()

    def response_ended(self, end):
        """Complete the call with the status and body."""
        self._end((self._head, bytes(self._body)))

    def response_failed(self, end, reason):
        """Fail the call because the connection broke before the end of the answer."""
        fault = f"{reason} after {end.body_bytes} bytes, framing {end.framing.value}"
        self._end(errors.AnswerLost(fault))
