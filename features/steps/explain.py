"""Steps for explaining a request from the logs."""

import behave

from cicadaplank.reports import events, explain

REQUEST = "9c41d07be2a35f68"
OTHER = "ffffffffffffffff"
ENDED = {
    "route": "r",
    "attempts": 1,
    "endpoint": "x",
    "reason": "",
    "configuration": 7,
}
FATES = {
    "was refused under load": [
        ("call_waits", {"waiting": 9, "expected_s": 3.5}),
        ("call_ended", {**ENDED, "outcome": "refused", "reason": "overload"}),
    ],
    "failed at an endpoint": [
        ("call_waits", {"waiting": 1}),
        ("attempt_failed", {"endpoint": "x", "reason": 'lost "in" a = way'}),
        ("call_ended", {**ENDED, "outcome": "failed", "reason": "broken"}),
    ],
    "is not allowed": [
        (
            "request_turned_away",
            {"status": 401, "reason": "unknown key", "configuration": 7},
        )
    ],
    "was answered": [
        ("call_waits", {"waiting": 1}),
        ("call_ended", {**ENDED, "outcome": "answered"}),
    ],
    "had not ended": [("call_waits", {"waiting": 1})],
    "is not in the logs": [],
}


def line(second, process, event, request, fields):
    """Return a log line with what a collector puts before it."""
    described = {"process": process, "event": event, "request": request, **fields}
    text = events.format_fields(described)
    stamp = f"2026-01-01T00:00:{second:02d}.000000Z"
    return f"{process} | time={stamp} level=info {text}\n"


@behave.given("the logs of two processes and a request that {fate}")
def step_logs(context, fate):
    context.files = [[], []]
    for number, (event, fields) in enumerate(FATES[fate]):
        # The newest line stands in the first file.
        file = context.files[(number + 1) % 2]
        file.append(line(10 + number, f"edge-{number % 2}", event, REQUEST, fields))
    for file in context.files:
        file.insert(0, line(5, "edge-1", "call_waits", OTHER, {"waiting": 1}))
        file.append(f"damaged {REQUEST} time=never level\n")


@behave.when("the logs are asked about it")
def step_ask(context):
    context.found = explain.lines_of(REQUEST, context.files)


@behave.then("only its {count:d} lines are shown, in the order of their times")
def step_lines(context, count):
    assert len(context.found) == count, context.found
    times = [found.time for found in context.found]
    assert times == sorted(times)


@behave.then('the summary says "{says}"')
def step_says(context, says):
    assert says in explain.summary(context.found), explain.summary(context.found)
