"""Implementation of the ``request`` and ``settings check`` commands."""

import json
import pathlib

import treq
from twisted.internet import reactor

from cicadaplank.cli import loop, results
from cicadaplank.entry import frontend
from cicadaplank.platform import settings as platform_settings
from cicadaplank.world import settings

DEFAULT_TOKENS = 16


def request(url, client, model, prompt, stream=True, tokens=DEFAULT_TOKENS, json=False):
    """Send one completion request and print the answer, verdict and timings.

    :param url: base URL of an entry instance.
    :param client: client name.
    :param model: row name.
    :param prompt: prompt text.
    :param stream: request a stream of tokens as they are generated.
    :param tokens: maximum number of tokens to generate.
    :param json: print JSON.
    :raises CommandError: when the status is not 200 or the stream reports an error.
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
            f"request failed, verdict {outcome['verdict']}", results.EXIT_FAILED
        )


async def _send(url, client, document):
    start_s = reactor.seconds()
    arrivals_s = []
    body_parts = []

    def received(data):
        arrivals_s.append(reactor.seconds() - start_s)
        body_parts.append(data)

    response = await treq.post(
        f"{url}{frontend.MODEL_PATHS[0]}",
        json.dumps(document).encode(),
        headers={
            frontend.CLIENT_HEADER: client,
            "Content-Type": "application/json",
        },
    )
    await treq.collect(response, received)
    body = b"".join(body_parts).decode("utf-8", "replace")
    verdicts = response.headers.getRawHeaders(frontend.VERDICT_HEADER) or ["unknown"]
    return {
        "status": response.code,
        "verdict": verdicts[0],
        "first_part_s": round(arrivals_s[0], 4) if arrivals_s else None,
        "total_s": round(reactor.seconds() - start_s, 4),
        "error": "event: error" in body,
        "answer": body,
    }


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
