"""Parses callers' HTTP requests and writes their responses."""

import dataclasses
import hashlib
import json
import math

from cicadaplank.requests import answers, routing, verdicts

VERDICT_HEADER = "X-Cicadaplank-Verdict"
CLIENT_HEADER = "X-Cicadaplank-Client"
PRIORITY_HEADER = "X-Cicadaplank-Priority"
DEADLINE_HEADER = "X-Cicadaplank-Deadline-S"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RECORDED_HEADER = "X-Cicadaplank-Recorded"
MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
MAX_BODY_BYTES = 1024 * 1024
MAX_NAME_LENGTH = 200
# 64 bits of the prefix digest. A collision only costs a cache miss, because the router
# takes prefixes as hints; a short digest keeps cache reports short.
PREFIX_HEX_DIGITS = 16


class BadRequest(ValueError):
    """The request is invalid and is rejected without being run.

    :param code: error code.
    :param message: text for the caller, without a full stop at its end.
    :param status: HTTP status.
    """

    def __init__(self, code, message, status=400):
        super().__init__(message)
        self.code = code
        self.status = status


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request as parsed from HTTP.

    :param row: row name.
    :param client: client name.
    :param method: HTTP method.
    :param path: HTTP path at the engine or plain service.
    :param body: request body.
    :param stream: True to send tokens as they are generated.
    :param priority: 0 (most urgent) to 9, or None. A request is never more urgent than
        the priority of its row.
    :param deadline_s: time limit in seconds that the caller sets, or None.
    :param once_key: value of ``Idempotency-Key``, or empty.
    :param prefix: digest of the row and the start of the prompt, empty for a plain
        service.
    """

    row: str
    client: str
    method: str
    path: str
    body: bytes
    stream: bool = False
    priority: int | None = None
    deadline_s: float | None = None
    once_key: str = ""
    prefix: str = ""


def read_model_call(request, path):
    """Parse a request for a completion.

    :param request: Twisted request.
    :param path: one of ``MODEL_PATHS``.
    :returns: :class:`Call`.
    :raises BadRequest: when it is malformed.
    """
    body = _read_body(request)
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest("not_json", f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise BadRequest("not_json", "the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_NAME_LENGTH:
        raise BadRequest("no_model", "the body needs a 'model' name")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise BadRequest("bad_stream", "'stream' must be true or false")
    start = f"{model}\x00{_prompt_start(document, path)}"
    prefix = hashlib.sha256(start.encode()).hexdigest()[:PREFIX_HEX_DIGITS]
    return Call(
        model,
        _read_client(request),
        "POST",
        path,
        body,
        stream,
        _read_priority(request),
        _read_deadline(request),
        prefix=prefix,
    )


def _prompt_start(document, path):
    """Return the first characters of the prompt, by which requests are routed."""
    if path == MODEL_PATHS[0]:
        prompt = document.get("prompt")
    else:
        prompt = document.get("messages")
        if isinstance(prompt, list):
            prompt = json.dumps(prompt)
    if not isinstance(prompt, str):
        field = "prompt" if path == MODEL_PATHS[0] else "messages"
        raise BadRequest("no_prompt", f"the body needs '{field}'")
    return prompt[: routing.PREFIX_CHARS]


def read_service_call(request, service, path):
    """Parse a call of a plain service.

    :param request: Twisted request.
    :param service: row name.
    :param path: path at the service, with its leading slash and without the query.
    :returns: :class:`Call`.
    :raises BadRequest: when it is malformed.
    """
    query = request.uri.partition(b"?")[2].decode("ascii", "replace")
    once_key = request.getHeader(IDEMPOTENCY_KEY_HEADER) or ""
    if len(once_key) > MAX_NAME_LENGTH:
        raise BadRequest(
            "bad_key", f"{IDEMPOTENCY_KEY_HEADER} is longer than {MAX_NAME_LENGTH}"
        )
    return Call(
        service,
        _read_client(request),
        request.method.decode(),
        f"{path}?{query}" if query else path,
        _read_body(request),
        False,
        _read_priority(request),
        _read_deadline(request),
        once_key,
    )


def _read_body(request):
    body = request.content.read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        raise BadRequest(
            "body_too_large", f"the body is larger than {MAX_BODY_BYTES} bytes", 413
        )
    return body


def _read_client(request):
    client = request.getHeader(CLIENT_HEADER) or ""
    if not 0 < len(client) <= MAX_NAME_LENGTH:
        raise BadRequest("no_client", f"the header {CLIENT_HEADER} is missing", 401)
    return client


def _read_priority(request):
    text = request.getHeader(PRIORITY_HEADER)
    if text is None:
        return None
    if not text.isdigit() or int(text) > 9:
        raise BadRequest("bad_priority", f"{PRIORITY_HEADER} must be from 0 to 9")
    return int(text)


def _read_deadline(request):
    text = request.getHeader(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < math.inf:
        raise BadRequest("bad_deadline", f"{DEADLINE_HEADER} must be above 0")
    return value


def error_answer(identifier, code, status, message, advice, retry_after_s=0.0):
    """Return the error answer of a request that was not run.

    :param identifier: identifier of the request.
    :param code: error code.
    :param status: HTTP status.
    :param message: what happened.
    :param advice: what the caller should do next.
    :param retry_after_s: seconds after which to retry; with 0 no ``Retry-After`` is
        sent.
    :returns: :class:`cicadaplank.requests.answers.Answer`.
    """
    failure = answers.ErrorKind(code, status, message, advice)
    not_run = verdicts.Verdict.NOT_RUN
    body = answers.error_body(failure, not_run, "", retry_after_s)
    return answers.Answer(identifier, status, not_run, body, retry_after_s, code)


def close_after_response(request):
    """Let the connection of a request end with its response.

    :param request: Twisted request.
    """
    request.setHeader("Connection", "close")
    if request.channel is not None:
        request.channel.persistent = False


def write_answer(request, answer):
    """Write a complete response and end it.

    :param request: Twisted request.
    :param answer: :class:`cicadaplank.requests.answers.Answer`.
    """
    request.setResponseCode(answer.status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader(VERDICT_HEADER, answer.verdict.value)
    if answer.recorded:
        request.setHeader(RECORDED_HEADER, "true")
    if answer.retry_after_s:
        request.setHeader("Retry-After", str(math.ceil(answer.retry_after_s)))
    request.setHeader("Content-Length", str(len(answer.body)))
    request.write(answer.body)
    request.finish()


def break_off(request, answer, is_stream):
    """End a response after an error, visibly incomplete if it has begun.

    :param request: Twisted request.
    :param answer: :class:`cicadaplank.requests.answers.Answer` with the error.
    :param is_stream: whether the response is a stream, which ends with an error event.
    """
    if not request.startedWriting:
        write_answer(request, answer)
    elif is_stream:
        write_stream_error(request, answer.body)
    else:
        request.transport.abortConnection()


def write_stream_part(request, data, started):
    """Write tokens as server-sent events.

    :param request: Twisted request.
    :param data: token lines, each ended by a line feed and sent as one event.
    :param started: False for the first part, before which the headers are set.
    """
    if not started:
        request.setHeader("Content-Type", "text/event-stream")
        request.setHeader("Cache-Control", "no-cache")
        # The headers are sent before the outcome is known. A stream that breaks off
        # says so in an error event instead.
        request.setHeader(VERDICT_HEADER, verdicts.Verdict.RAN.value)
    lines = data.splitlines()
    request.write(b"".join(b"data: " + line + b"\n\n" for line in lines))


def write_stream_end(request, total):
    """Write the end event of a complete stream and end the response.

    :param request: Twisted request.
    :param total: number of tokens sent.
    """
    end = json.dumps({"total": total, "verdict": verdicts.Verdict.RAN.value})
    request.write(f"event: end\ndata: {end}\n\ndata: [DONE]\n\n".encode())
    request.finish()


def write_stream_error(request, body):
    """Write the error event of a stream that broke off and end the response.

    :param request: Twisted request.
    :param body: JSON of the error.
    """
    request.write(b"event: error\ndata: " + body + b"\n\n")
    request.finish()
