"""Implementation of the ``request`` and ``settings check`` commands."""

import json
import pathlib

from twisted.internet import defer, reactor

from cicadaplank.cli import loop, results
from cicadaplank.entry import frontend
from cicadaplank.external import errors, event_streams, http
from cicadaplank.platform import settings as platform_settings
from cicadaplank.world import settings

DEFAULT_TOKENS = 16
# Limits on the answer to a request.
TIMEOUT_S = 300.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Last event of a whole stream.
LAST_EVENT = b"data: [DONE]"


def request(url, client, model, prompt, stream=True, tokens=DEFAULT_TOKENS, json=False):
    """Send one completion request and print the answer, verdict and timings.

    :param url: base URL of an entry instance.
    :param client: client name.
    :param model: row name.
    :param prompt: prompt text.
    :param stream: request a stream of tokens as they are generated.
    :param tokens: maximum number of tokens to generate.
    :param json: print JSON.
    :raises CommandError: when the status is not 200, the stream reports an error, or
        the answer is not whole.
    """
    document = {
        "model": model,
        "prompt": str(prompt),
        "stream": bool(stream),
        "max_tokens": int(tokens),
    }
    outcome = loop.run(_send(url, client, document))
    lines = [f"{name} {value}" for name, value in outcome.items()]
    results.print_result(outcome, lines, json)
    if outcome["status"] != 200 or outcome["error"]:
        raise results.CommandError(
            f"request failed, verdict {outcome['verdict']}: {outcome['reason']}",
            results.EXIT_FAILED,
        )


async def _send(url, client, document):
    start_s = reactor.seconds()
    arrivals_s = []
    body_parts = []

    def received(data):
        arrivals_s.append(reactor.seconds() - start_s)
        body_parts.append(data)

    client_of_entry = http.Client(reactor, url, timeout_s=TIMEOUT_S)
    headers = {frontend.CLIENT_HEADER: client, "Content-Type": "application/json"}
    response = await client_of_entry.open(
        "POST", frontend.MODEL_PATHS[0], json.dumps(document).encode(), headers
    )
    try:
        reading = http.read_body(response, MAX_ANSWER_BYTES, received=received)
        await reading.addTimeout(TIMEOUT_S, reactor)
        reason = _fault(document, response.code, b"".join(body_parts))
    except (errors.PlatformError, defer.TimeoutError) as error:
        reason = f"the answer is not whole: {error}"
    body = b"".join(body_parts).decode("utf-8", "replace")
    verdicts = response.headers.getRawHeaders(frontend.VERDICT_HEADER) or ["unknown"]
    return {
        "status": response.code,
        "verdict": verdicts[0],
        "first_part_s": round(arrivals_s[0], 4) if arrivals_s else None,
        "total_s": round(reactor.seconds() - start_s, 4),
        "error": bool(reason),
        "reason": reason,
        "answer": body,
    }


def _fault(document, status, body):
    """Return why an answer that has ended is a failure, empty for a whole answer."""
    if status != 200:
        return f"status {status}"
    if not document["stream"]:
        return ""
    splitter = event_streams.EventSplitter(MAX_ANSWER_BYTES)
    found = [event.data for event in splitter.feed(body)]
    if any(event.startswith(b"event: error") for event in found):
        return "the stream reports an error"
    if splitter.is_inside_event or not found or found[-1].strip() != LAST_EVENT:
        return "the stream ended before its last event"
    return ""


def check_settings(paths):
    """Check settings files of processes and of the platform.

    :param paths: iterable of paths.
    :returns: list of lines, one for each file, when all are valid.
    :raises CommandError: with every error of every file.
    """
    faults = []
    lines = []
    for path in paths:
        failed = platform_settings.check_file(path)
        if failed is None:
            failed = settings.load(pathlib.Path(path)).swap().value_or([])
        faults += [f"{path}: {fault}" for fault in failed]
        lines += [] if failed else [f"{path}: valid"]
    if faults:
        raise results.CommandError("\n".join(faults), results.EXIT_USAGE)
    return lines
