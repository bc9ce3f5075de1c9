"""Finds the log lines of one request in the logs of all processes."""

import dataclasses

from cicadaplank.reports import events

# Log keys whose value is the identifier of a request.
REQUEST_KEYS = ("request", "attempt")
SUMMARY_TEMPLATES = {
    "answered": "It was answered by {endpoint} after {attempts} sends.",
    "passed_failure": "Endpoint {endpoint} failed it, and its answer was passed on.",
    "refused": "It was not run: {reason}. The client was told when to come back.",
    "failed": "It may have run: {reason}.",
    "broken_off": "Its stream was broken off: {reason}.",
    "client_left": "The client left before the answer was complete.",
}


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line of a request.

    :param time: time stamp, from the clock of the process that wrote the line.
    :param fields: dict of the parsed fields.
    :param text: the line from ``time=`` on, without any prefix.
    """

    time: str
    fields: dict
    text: str


def lines_of(request, files):
    """Return the log lines of a request, sorted by their time stamps.

    :param request: identifier of the request.
    :param files: iterables of text lines.
    :returns: list of :class:`LogLine`; malformed lines are skipped.
    """
    found = []
    for file in files:
        for raw_line in file:
            start = raw_line.find("time=")
            if start < 0 or request not in raw_line:
                continue
            text = raw_line[start:].rstrip("\n")
            try:
                fields = events.parse_fields(text)
            except ValueError:
                continue
            if any(fields.get(key) == request for key in REQUEST_KEYS):
                found.append(LogLine(fields["time"], fields, text))
    return sorted(found, key=lambda line: line.time)


def summary(lines):
    """Return a sentence on how a request ended, from its last log line.

    :param lines: list of :class:`LogLine` that :func:`lines_of` returned.
    :returns: text.
    """
    if not lines:
        return "No line names this request: its lines were dropped, or it never came."
    last = lines[-1].fields
    if last["event"] == "request_turned_away":
        return (
            f"It was answered {last['status']} at once by {last['process']} under "
            f"configuration {last['configuration']}: {last['reason']}."
        )
    if last["event"] != "call_ended":
        return (
            f"It had not ended when the log ended; the last event is {last['event']}."
        )
    return SUMMARY_TEMPLATES[last["outcome"]].format(**last)
