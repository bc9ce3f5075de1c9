"""Command that sends one request."""

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
    """Send one completion request and print answer, verdict and timings.

    :param url: base URL of an entry instance.
    :param client: client name.
    :param model: row name.
    :param prompt: text.
    :param stream: print tokens as they arrive.
    :param tokens: tokens wanted.
    :param json: print JSON.
    """
    document = {
        "model": model,
        "prompt": str(prompt),
        "stream": bool(stream),
        "max_tokens": int(tokens),
    }
    outcome = loop.run(_send(url, client, document))
    lines = [f"{name} {value}" for name, value in outcome.items()]
    results.show(outcome, lines, json)
    if outcome["status"] != 200 or outcome["error"]:
        raise results.CommandError(
            f"not answered, verdict {outcome['verdict']}", results.EXIT_FAILED
        )


async def _send(url, client, document):
    began_s = reactor.seconds()
    times = []
    parts = []

    def received(data):
        times.append(reactor.seconds() - began_s)
        parts.append(data)

    response = await treq.post(
        f"{url}{frontend.MODEL_PATHS[0]}",
        json.dumps(document).encode(),
        headers={
            frontend.CLIENT_HEADER: client,
            "Content-Type": "application/json",
        },
    )
    await treq.collect(response, received)
    body = b"".join(parts).decode("utf-8", "replace")
    verdicts = response.headers.getRawHeaders(frontend.VERDICT_HEADER) or ["unknown"]
    return {
        "status": response.code,
        "verdict": verdicts[0],
        "first_part_s": round(times[0], 4) if times else None,
        "total_s": round(reactor.seconds() - began_s, 4),
        "error": "event: error" in body,
        "answer": body,
    }


def check_settings(paths):
    """Check settings files.

    :param paths: iterable of paths.
    :returns: list of lines, one for each file.
    :raises CommandError: with every error of every file.
    """
    faults = []
    lines = []
    for path in paths:
        failed = platform_settings.faults_of(path)
        if failed is None:
            failed = settings.load(pathlib.Path(path)).swap().value_or([])
        faults += [f"{path}: {fault}" for fault in failed]
        lines += [] if failed else [f"{path}: valid"]
    if faults:
        raise results.CommandError("\n".join(faults), results.EXIT_USAGE)
    return lines
