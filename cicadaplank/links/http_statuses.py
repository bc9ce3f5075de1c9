"""Status lines that a server may send (RFC 9110, section 15; RFC 9112, section 4)."""

import re

VERSIONS = ("1.0", "1.1")
SWITCHING_PROTOCOLS = 101
MIN_INTERIM_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# Answers that end with their headers, whatever length they declare.
STATUSES_WITHOUT_BODY = (204, 304)
_STATUS_LINE = re.compile(rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: .*)?", re.DOTALL)


def is_interim(status):
    """Tell whether a final answer follows one with a status."""
    return MIN_INTERIM_STATUS <= status < MIN_FINAL_STATUS


def status_fault(version, status):
    """Return why a server may not send a status, empty if it may.

    Status 101 answers an offer of another protocol, and no request here makes one.

    :param version: version of HTTP as text, for example ``1.1``.
    :param status: HTTP status.
    """
    if version not in VERSIONS:
        return f"HTTP version {version}"
    if not MIN_INTERIM_STATUS <= status <= MAX_STATUS:
        return f"invalid status {status:03d}"
    if status == SWITCHING_PROTOCOLS:
        return f"status {status} without an offer of another protocol"
    return ""


def status_line_fault(line):
    """Return why a server may not send a status line, empty if it may.

    :param line: bytes without the line end.
    """
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        return f"invalid status line {line[:40]!r}"
    return status_fault(found.group(1).decode(), int(found.group(2)))
