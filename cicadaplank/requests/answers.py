"""Answers to a caller: non-streamed answers, parts of streams, and errors."""

import dataclasses
import json

from cicadaplank.requests import verdicts

MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class StreamPart:
    """Forward token lines to the caller; the first one also starts the response.

    :param request: identifier of the request.
    :param data: whole token lines.
    """

    request: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """Final answer of a complete stream: write the explicit end marker and close.

    :param request: identifier of the request.
    :param total: number of tokens delivered.
    """

    request: str
    total: int


@dataclasses.dataclass(frozen=True)
class StreamError:
    """Final answer of a stream that cannot be completed: write an error event.

    :param request: identifier of the request.
    :param total: number of tokens delivered before the error.
    :param body: JSON of the error; see :func:`error_body`.
    """

    request: str
    total: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class Answer:
    """Final answer of a request for which nothing has been sent to the caller yet.

    :param request: identifier of the request.
    :param status: HTTP status.
    :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`, for the header
        ``X-Cicadaplank-Verdict``.
    :param body: response body; for an error, see :func:`error_body`.
    :param retry_after_s: value for ``Retry-After``, rounded up; 0.0 for none.
    :param code: error code, empty for an answer of an engine or plain service.
    :param recorded: True for the recorded result of an earlier call with the same
        ``Idempotency-Key``.
    """

    request: str
    status: int
    verdict: verdicts.Verdict
    body: bytes
    retry_after_s: float = 0.0
    code: str = ""
    recorded: bool = False


@dataclasses.dataclass(frozen=True)
class ErrorKind:
    """Kind of error that a request can end with.

    :param code: error code.
    :param status: HTTP status.
    :param message: what happened, for the caller.
    :param advice: what the caller should do next; the field ``next`` of the body.
    """

    code: str
    status: int
    message: str
    advice: str


SEND_AGAIN = "Send the request again after the time in Retry-After."
CHECK_FIRST = (
    "Check with the service whether the call took effect before sending it with a new"
    " Idempotency-Key."
)
SAME_KEY = (
    "Send the call again with the same Idempotency-Key after the time in Retry-After:"
    " it is not executed again, and its result is given if it was recorded."
)
NEW_KEY = (
    "Send the call with a new Idempotency-Key: it was not run, but its claim could not"
    " be released."
)
ERROR_KINDS = {
    failure.code: failure
    for failure in (
        ErrorKind(
            "no_endpoint",
            503,
            "No endpoint can take the request now.",
            SEND_AGAIN,
        ),
        ErrorKind(
            "deadline",
            504,
            "The request could not be answered before its deadline.",
            "Send it again, with a later deadline if possible.",
        ),
        ErrorKind("attempts", 502, "Every attempt at the request failed.", SEND_AGAIN),
        ErrorKind(
            "budget",
            503,
            "An attempt failed and too many requests are being retried already.",
            SEND_AGAIN,
        ),
        ErrorKind(
            "not_repeatable",
            502,
            "The call was dispatched once and its result is not known.",
            CHECK_FIRST,
        ),
        ErrorKind(
            "crashes",
            422,
            "This request crashed the endpoints that ran it.",
            "Change the request; the same content is not run again until the time in"
            " Retry-After.",
        ),
        ErrorKind(
            "cannot_resume",
            502,
            "The stream broke and no endpoint can resume it.",
            "Discard the tokens received and send the request again.",
        ),
        ErrorKind(
            "engine_error",
            502,
            "The engine did not give a valid answer.",
            "Discard what was received. Correct the request if the reason names it;"
            " otherwise send it again.",
        ),
        ErrorKind(
            "internal_error",
            500,
            "An unexpected error in this entry instance ended the request.",
            "Discard what was received. Send the request again if it may be repeated.",
        ),
        ErrorKind(
            "answer_too_large",
            502,
            f"The answer is larger than {MAX_ANSWER_BYTES} bytes.",
            "Ask for a shorter answer or a stream.",
        ),
        ErrorKind(
            "entry_full",
            503,
            "This entry instance is receiving too many large answers.",
            SEND_AGAIN,
        ),
        ErrorKind(
            "stopping",
            503,
            "This entry instance stopped before the request was answered.",
            SEND_AGAIN,
        ),
        ErrorKind(
            "unavailable",
            503,
            "The table service is down, so this call could not be claimed and was not"
            " dispatched; an earlier one with the same Idempotency-Key may have been.",
            "Send the call again with the same Idempotency-Key after the time in"
            " Retry-After.",
        ),
        ErrorKind(
            "queue_full",
            503,
            "Too many calls are waiting to be claimed at this entry instance.",
            "Send the call again with the same Idempotency-Key after the time in"
            " Retry-After.",
        ),
        ErrorKind(
            "in_progress",
            409,
            "A call with this Idempotency-Key is in progress.",
            "Send the call again with the same Idempotency-Key after the time in"
            " Retry-After to get its result.",
        ),
        ErrorKind(
            "unknown",
            409,
            "An earlier call with this Idempotency-Key has no recorded result.",
            CHECK_FIRST,
        ),
        ErrorKind(
            "key_reused",
            422,
            "This Idempotency-Key belongs to a different request.",
            "Use a new Idempotency-Key for this request.",
        ),
        ErrorKind(
            "expired",
            503,
            "The call was claimed too late to be dispatched.",
            "Send the call again with the same Idempotency-Key.",
        ),
        ErrorKind(
            "too_large_to_record",
            409,
            "The call was executed; its response was too large to be recorded.",
            "Do not send the call again; ask the service for the result.",
        ),
    )
}


def error_body(failure, verdict, reason, retry_after_s, advice=""):
    """Return the JSON body of an error.

    The body has one field ``error``: an object with ``code``, ``message``, ``reason``,
    ``verdict``, ``next`` and ``retry_after_s``.

    :param failure: :class:`ErrorKind`.
    :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
    :param reason: reason of the last failed attempt, or empty.
    :param retry_after_s: seconds after which the caller may retry; 0.0 for no delay.
    :param advice: replaces the failure's advice when not empty.
    :returns: JSON as bytes.
    """
    document = {
        "code": failure.code,
        "message": failure.message,
        "reason": reason,
        "verdict": verdict.value,
        "next": advice or failure.advice,
        "retry_after_s": round(retry_after_s, 3),
    }
    return json.dumps({"error": document}).encode()
