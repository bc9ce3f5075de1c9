"""Parser of the Prometheus text format, as the processes write it."""

import dataclasses
import math
import re

from returns import result

EOF_LINE = "# EOF"
# A process in a fleet of the expected size writes a few thousand lines.
MAX_TEXT_BYTES = 16 * 1024 * 1024
MAX_FAULTS = 10
_SAMPLE_LINE = re.compile(r"([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? (\S+)")
_LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\[\\"n])*)"(?:,|$)')
_ESCAPE = re.compile(r"\\(.)")


@dataclasses.dataclass(frozen=True)
class Sample:
    """Value of one series.

    :param name: metric name, with its suffix such as ``_bucket``.
    :param labels: dict from label name to label value.
    :param value: number, never NaN.
    """

    name: str
    labels: dict
    value: float


def parse_metrics(data):
    """Parse the text that :meth:`cicadaplank.reports.metrics.Metrics.render` returns.

    A malformed text is rejected as a whole: missing counters would look like those of a
    restarted process.

    :param data: metrics text as bytes.
    :returns: Success with a tuple of :class:`Sample`, or Failure with a tuple of at
        most ``MAX_FAULTS`` error texts, with line or byte where it is known.
    """
    if len(data) > MAX_TEXT_BYTES:
        return result.Failure((f"more than {MAX_TEXT_BYTES} bytes",))
    try:
        lines = data.decode().split("\n")
    except UnicodeDecodeError as error:
        return result.Failure((f"byte {error.start}: not UTF-8",))
    if lines[-2:] != [EOF_LINE, ""]:
        return result.Failure((f"line {len(lines)}: the text is cut off",))
    samples, faults, seen = [], [], set()
    for number, line in enumerate(lines, 1):
        if not line or line.startswith("#"):
            continue
        try:
            sample = _parse_line(line)
            series = (sample.name, tuple(sorted(sample.labels.items())))
            if series in seen:
                raise ValueError("the series stands twice")
        except ValueError as error:
            faults.append(f"line {number}: {error}")
            continue
        seen.add(series)
        samples.append(sample)
    if faults:
        return result.Failure(tuple(faults[:MAX_FAULTS]))
    return result.Success(tuple(samples))


def _parse_line(line):
    found = _SAMPLE_LINE.fullmatch(line)
    if found is None:
        raise ValueError(f"not a sample: {line[:60]!r}")
    name, labels, number = found.groups()
    value = float(number)
    if math.isnan(value):
        raise ValueError(f"{name} is not a number")
    return Sample(name, _parse_labels(labels or ""), value)


def _parse_labels(text):
    labels = {}
    position = 0
    while position < len(text):
        found = _LABEL.match(text, position)
        if found is None or found.group(1) in labels:
            raise ValueError(f"malformed labels: {text[:60]!r}")
        labels[found.group(1)] = _ESCAPE.sub(_unescape, found.group(2))
        position = found.end()
    return labels


def _unescape(found):
    return "\n" if found.group(1) == "n" else found.group(1)
