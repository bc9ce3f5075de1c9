"""HTTP headers that the platform's callers and back ends exchange with the gateway."""

import urllib.parse

from cicadaplank.gateway import dialects, service_times
from cicadaplank.links import http_statuses

HOST = b"host"
CONNECTION = b"connection"
ATTEMPT = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
EXPECTED_INSTANCE = b"x-expect-instance"
EXPECTED_VERSION = b"x-expect-version"
TENANT = b"x-tenant"
PRIORITY = b"x-request-priority"
MODEL = b"x-model"
PROMPT_PARTS = b"x-prefix-hash"
TOKEN_COUNTS = b"x-token-counts"
LENGTH_HINT = b"x-length-hint"
SERVER_LOAD = b"x-server-load"
LAST_EVENT = b"last-event-id"
SIGNATURE = b"x-server-signature"
NOT_EXECUTED = b"x-not-executed"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
# Servers that a request passes through; only this system may set it.
SERVER_PATH = b"path"
LEAST_URGENT_PRIORITY = 9
EVENT_STREAM = b"text/event-stream"

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that only this system sets; those of a client are removed.
RESERVED_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        TENANT,
        PRIORITY,
        AUTHORIZATION,
        LAST_EVENT,
        SERVER_PATH,
    )
)
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def _connection_options(fields):
    named = set()
    for name, value in fields:
        if name == CONNECTION:
            named.update(part.strip().lower() for part in value.split(b","))
    return named


def _parse_number(text, minimum=0.0):
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value if minimum <= value < float("inf") else None


def _parse_integer(text, default=0):
    value = _parse_number(text)
    return default if value is None else int(value)


class PlatformDialect:
    """Implementation of :class:`cicadaplank.gateway.dialects.Dialect`."""

    def read_request(self, method, target, headers):
        """Return the :class:`~cicadaplank.gateway.dialects.RequestHead` of a request.

        :raises BadRequestError: unless there is exactly one Host header and the target
            is a path.
        """
        names = [name.lower() for name, _ in headers]
        # Of equal names the first counts.
        first = {
            name: header[1]
            for name, header in zip(reversed(names), reversed(headers), strict=True)
        }
        if names.count(HOST) != 1:
            raise dialects.BadRequestError(400, "one Host header is needed")
        if not target.startswith(b"/"):
            raise dialects.BadRequestError(400, "the target must be a path")
        dropped = HOP_BY_HOP_HEADERS | RESERVED_HEADERS
        if CONNECTION in first:
            fields = zip(names, (value for _, value in headers), strict=True)
            dropped |= _connection_options(fields)
        passed = [
            header
            for header, name in zip(headers, names, strict=True)
            if name not in dropped
        ]
        wait_ms = _parse_number(first.get(DEADLINE))
        return dialects.RequestHead(
            method=method,
            target=target,
            path=_decode_path(target),
            host=_host_name(first[HOST]),
            attempt=first.get(ATTEMPT, b""),
            key=_bearer_key(first.get(AUTHORIZATION, b"")),
            wait_s=None if wait_ms is None else wait_ms / 1000.0,
            resume_after=first.get(LAST_EVENT, b""),
            model=first.get(MODEL, b"").decode("latin-1"),
            shared_parts=_read_shared_parts(first.get(PROMPT_PARTS, b"")),
            work=_read_work(first.get(TOKEN_COUNTS, b""), first.get(LENGTH_HINT)),
            headers=passed,
        )

    def write_request(self, call, body_length, forwarding):
        """Return the bytes of the request line and headers for a back end."""
        left_ms = max(1, int(forwarding.left_s * 1000))
        lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
        lines += [b"%b: %b" % header for header in call.headers]
        lines.append(b"X-Deadline-Ms: %d" % left_ms)
        lines.append(b"X-Expect-Instance: " + forwarding.endpoint.encode())
        if forwarding.weights_version is not None:
            lines.append(b"X-Expect-Version: %d" % forwarding.weights_version)
        if forwarding.account:
            lines.append(b"X-Tenant: " + forwarding.account.encode())
        if forwarding.resume_after:
            lines.append(b"Last-Event-Id: " + forwarding.resume_after)
        if forwarding.priority is not None:
            priority = min(LEAST_URGENT_PRIORITY, max(0, forwarding.priority))
            lines.append(b"X-Request-Priority: %d" % priority)
        if body_length or call.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"Content-Length: %d" % body_length)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_response(self, status, headers):
        """Return the :class:`~cicadaplank.gateway.dialects.ResponseHead` of a reply."""
        lowered = [(name.lower(), value) for name, value in headers]
        first = {}
        for name, value in lowered:
            first.setdefault(name, value)
        named = _connection_options(lowered)
        dropped = named | HOP_BY_HOP_HEADERS
        passed = [
            header
            for header, (name, _) in zip(headers, lowered, strict=True)
            if name not in dropped
        ]
        length = first.get(b"content-length")
        encoding = first.get(b"content-encoding", b"identity")
        content_type = first.get(b"content-type", EVENT_STREAM).partition(b";")[0]
        is_leaving, is_leaving_valid = _read_leaving(lowered)
        busy_for_s, is_busy_valid = _read_retry_after_s(status, lowered)
        limit_per_s, is_limit_valid = _read_limit_per_s(lowered)
        malformed = () if is_leaving_valid else ("Server-Leaving",)
        malformed += () if is_busy_valid else ("Retry-After",)
        malformed += () if is_limit_valid else ("Server-Limit",)
        load = _read_load(first.get(SERVER_LOAD))
        malformed += ("X-Server-Load",) if SERVER_LOAD in first and not load else ()
        return dialects.ResponseHead(
            status=status,
            headers=passed,
            attempt=_read_attempt(lowered),
            is_signed=SIGNATURE in first,
            is_not_run=NOT_EXECUTED in first,
            is_misdirected=status == 421,
            is_encoded=encoding.lower() != b"identity",
            is_event_stream=content_type.strip().lower() == EVENT_STREAM,
            length=None if length is None else _parse_integer(length),
            is_chunked=b"chunked" in first.get(b"transfer-encoding", b"").lower(),
            keeps_open=b"close" not in named,
            idle_timeout_s=_read_idle_timeout_s(first.get(b"keep-alive", b"")),
            is_leaving=is_leaving,
            busy_for_s=busy_for_s,
            limit_per_s=limit_per_s,
            names_limit=LIMIT in first,
            malformed=malformed,
            load=load,
        )

    def write_response(self, head, length, closes, uses_chunks=True):
        """Return the bytes of the status line and headers for a client."""
        reason = REASON_PHRASES.get(head.status, b"Status")
        lines = [b"HTTP/1.1 %d %b" % (head.status, reason)]
        lines += [b"%b: %b" % header for header in head.headers]
        has_body = head.status not in http_statuses.STATUSES_WITHOUT_BODY
        if has_body and length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif has_body and uses_chunks:
            lines.append(b"Transfer-Encoding: chunked")
        if closes:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def write_refusal(self, status, attempt, message, retry_after_s, closes):
        """Return the bytes of an answer that the gateway itself gives to a client."""
        body = message.encode("utf-8", "replace") + b"\n"
        lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Status"))]
        if attempt:
            lines.append(b"X-Attempt-Id: " + attempt)
        if retry_after_s is not None:
            lines.append(b"Retry-After: %.3f" % retry_after_s)
        lines.append(b"Content-Type: text/plain; charset=utf-8")
        lines.append(b"Content-Length: %d" % len(body))
        if closes:
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _decode_path(target):
    path = target.partition(b"?")[0].decode("latin-1")
    return urllib.parse.unquote(path, "latin-1") if "%" in path else path


def _host_name(value):
    host = value.decode("latin-1").lower()
    return host.rpartition(":")[0] if ":" in host else host


def _bearer_key(value):
    scheme, _, key = value.partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else ""


def _read_shared_parts(value):
    """Return the identifiers of a prompt's parts but for the last.

    The last part belongs to the request itself or to its session.
    """
    entries = value.decode("latin-1").split(",")[:-1]
    return tuple(entry.partition(":")[0].strip() for entry in entries)


def _read_work(counts, hint):
    """Read the work of a request, None unless both of its token counts are valid.

    The estimate of the client, if it is valid, bounds the tokens to write.
    """
    prompt, comma, most = counts.partition(b",")
    prompt_tokens, most_tokens = _parse_number(prompt), _parse_number(most)
    if not comma or prompt_tokens is None or most_tokens is None:
        return None
    hint_tokens = _parse_number(hint)
    if hint_tokens is not None:
        most_tokens = min(most_tokens, hint_tokens)
    return service_times.Work(prompt_tokens, most_tokens)


def _read_load(value):
    """Read the load that a server reports, None when it is absent or malformed."""
    numbers = [_parse_number(part) for part in (value or b"").split(b",")[:5]]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    running, waiting, slots, *percent = numbers
    if percent == [0.0]:
        return None
    pace = percent[0] / 100.0 if percent else None
    return service_times.LoadReport(int(running), int(waiting), int(slots), pace)


def _read_attempt(fields):
    """Read the identifier of the attempt that a server answers, empty if none.

    Different identifiers are joined, so that they are that of no attempt.

    :param fields: list of ``(name, value)``, names in lower case.
    """
    values = [value.strip() for name, value in fields if name == ATTEMPT]
    return b", ".join(dict.fromkeys(values))


def _read_leaving(fields):
    """Read whether a server says that it leaves.

    :param fields: list of ``(name, value)``, names in lower case.
    :returns: tuple of whether it does, and whether every value is valid.
    """
    values = {value.strip() for name, value in fields if name == LEAVING}
    return b"1" in values, values <= {b"0", b"1"}


def _read_retry_after_s(status, fields):
    """Read for how long a server that turned a request away wants no more of them.

    Of several valid times the longest counts. Dates and negative numbers are invalid.

    :param status: HTTP status.
    :param fields: list of ``(name, value)``, names in lower case.
    :returns: tuple of seconds or None, and whether every value is valid.
    """
    if status != 503:
        return None, True
    times_s = [_parse_number(value) for name, value in fields if name == RETRY_AFTER]
    valid_s = [time_s for time_s in times_s if time_s is not None]
    return max(valid_s, default=None), len(valid_s) == len(times_s)


def _read_limit_per_s(fields):
    """Read how many requests a second a server takes from all instances together.

    Of several valid limits the smallest counts. Negative numbers, numbers without end
    and texts are invalid.

    :param fields: list of ``(name, value)``, names in lower case.
    :returns: tuple of requests per second or None, and whether every value is valid.
    """
    limits_per_s = [_parse_number(value) for name, value in fields if name == LIMIT]
    valid_per_s = [limit for limit in limits_per_s if limit is not None]
    return min(valid_per_s, default=None), len(valid_per_s) == len(limits_per_s)


def _read_idle_timeout_s(value):
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(number)
    return None
