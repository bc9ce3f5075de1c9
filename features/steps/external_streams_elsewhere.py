"""Steps for the rest of a stream that broke off at another engine."""

import behave
from twisted.internet import reactor

from cicadaplank.external import engines, errors, http
from features import reactors
from features.steps import external_endings, gateway, gateway_streams_elsewhere
from features.steps import platform_clients as clients

LIMIT_S = 5.0
LAST_CHUNK = b"0\r\n\r\n"
HEAD = external_endings.HEAD
OUTCOMES = {
    "refused": (errors.Refused, errors.NotFound, errors.Unavailable),
    "lost": (errors.AnswerLost, errors.Crossed),
    "whole": (engines.CompletionEnd,),
}


def token(offset, **fields):
    return clients.sse("token", offset=offset, token="t", **fields)


def tokens(first):
    return b"".join(token(offset) for offset in range(first, 4))


END = clients.sse("end", total=4, manifest_digest="d")
STREAM = tokens(2) + END


def in_chunks(body, head=HEAD):
    data = gateway.chunk(body) if body else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + data + LAST_CHUNK


def typed(content_type, body):
    framed = external_endings.framed(body, "a length")
    return framed.replace(HEAD, HEAD + b"Content-Type: %b\r\n" % content_type)


def answer_bytes(answer):
    """Return the bytes of an answer by its name in the table."""
    if answer.startswith("status 303"):
        body = b"HTTP/1.1 303 See\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
        return body + in_chunks(STREAM)
    if answer.startswith("status"):
        body = STREAM if "tokens" in answer else b"failed\n\n"
        framed = external_endings.framed(body, "a length")
        return framed.replace(b"200 OK", answer.split()[1].encode() + b" Failed")
    error_head = gateway_streams_elsewhere.ERROR_HEAD
    return {
        "what is not HTTP": b"failed: out of memory\n\n",
        "nothing before a close": b"",
        "a text": typed(b"text/plain", b"failed\n\n"),
        "a JSON document": typed(b"application/json", b'{"error": "failed"}'),
        "an error head as a stream": in_chunks(error_head),
        "an error event": in_chunks(gateway_streams_elsewhere.ERROR_EVENT),
        "nothing in chunks": in_chunks(b""),
        "nothing without a frame": HEAD + b"\r\n",
        "tokens from 0": in_chunks(tokens(0) + END),
        "tokens from 3": in_chunks(tokens(3) + END),
        "an end with another total": in_chunks(
            clients.sse("end", total=4, manifest_digest="d")
        ),
        "tokens without an attempt": in_chunks(STREAM, b"HTTP/1.1 200 OK\r\n"),
        "tokens of another attempt": in_chunks(
            STREAM, HEAD.replace(clients.ATTEMPT.encode(), b"other")
        ),
        "tokens 2 and 3, then a reset": in_chunks(tokens(2)).removesuffix(LAST_CHUNK),
        "tokens 2 and 3, then a text": in_chunks(tokens(2) + b"failed\n\n"),
        "tokens 2 and 3, then an error head": in_chunks(tokens(2)).removesuffix(
            LAST_CHUNK
        )
        + error_head,
        "tokens 2 and 3": in_chunks(STREAM),
        "tokens 2 and 3 without a frame": HEAD + b"\r\n" + STREAM,
        "tokens 2 and 3 after status 102": b"HTTP/1.1 102 Wait\r\n\r\n"
        + in_chunks(STREAM),
        "tokens 2 and 3 with trailers": in_chunks(STREAM).removesuffix(b"\r\n")
        + b"X-Cicadaplank-Attempt: other\r\n\r\n",
    }[answer]


async def play(context, answer):
    ending = "a reset" if answer.endswith("reset") else "a close"
    context.server.script = (answer_bytes(answer), ending)
    client = http.Client(reactor, context.address, timeout_s=LIMIT_S)
    context.tokens = []
    completion = clients.completion(stream=True, timeout_s=LIMIT_S, offset=2)
    engine = engines.EngineClient(client)
    try:
        context.result = await engine.complete(completion, context.tokens.append)
    except errors.PlatformError as error:
        context.result = error
    await client.close()


@behave.when("the rest of a stream after 2 tokens is answered by {answer}")
def step_rest(context, answer):
    reactors.run(play, context, answer)


@behave.then("the rest has {count:d} tokens and is {outcome}")
def step_outcome(context, count, outcome):
    assert isinstance(context.result, OUTCOMES[outcome]), repr(context.result)
    assert [event.offset for event in context.tokens] == list(range(2, 2 + count))
