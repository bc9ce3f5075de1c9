"""Collects what the logs of all processes say of one request."""

import dataclasses

from cicadaplank.reports import events

# Names under which a request's identifier stands in log lines.
REQUEST_KEYS = ("request", "attempt")
SUMMARIES = {
    "answered": "It was answered by {endpoint} after {attempts} sends.",
    "passed_failure": "Endpoint {endpoint} failed it, and its answer was passed on.",
    "refused": "It was not run: {reason}. The client was told when to come back.",
    "failed": "It may have run: {reason}.",
    "broken_off": "Its stream was broken off: {reason}.",
    "client_left": "The client left before the answer was complete.",
}


@dataclasses.dataclass(frozen=True)
class Line:
    """One log line of a request.

    :param time: time stamp of the process that wrote it.
    :param fields: dict of its fields.
    :param text: the line without what stood before its time.
    """

    time: str
    fields: dict
    text: str


def lines_of(request, files):
    """Return the lines about a request, in the order of their times.

    :param request: identifier of the request.
    :param files: iterables of text lines.
    :returns: list of :class:`Line`. Lines that cannot be read are left out.
    """
    found = []
    for file in files:
        for raw in file:
            start = raw.find("time=")
            if start < 0 or request not in raw:
                continue
            text = raw[start:].rstrip("\n")
            try:
                fields = events.parse_fields(text)
            except ValueError:
                continue
            if any(fields.get(key) == request for key in REQUEST_KEYS):
                found.append(Line(fields["time"], fields, text))
    return sorted(found, key=lambda line: line.time)


def summary(lines):
    """Say in a sentence what decided a request.

    :param lines: what :func:`lines_of` returned.
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
    return SUMMARIES[last["outcome"]].format(**last)
