"""Service-level objectives: defaults and parsing of the settings."""

import dataclasses

from returns import result

AVAILABILITY = "availability"
FIRST_TOKEN = "first_token"
BETWEEN_TOKENS = "between_tokens"
NAMES = (AVAILABILITY, FIRST_TOKEN, BETWEEN_TOKENS)


@dataclasses.dataclass(frozen=True)
class Objective:
    """Service-level objective: the share of events that must be good.

    :param name: one of ``NAMES``.
    :param target: required share of good events, between 0 and 1 exclusive.
    :param threshold_s: latency in seconds above which an event is bad; 0 for
        availability, which has no threshold.
    """

    name: str
    target: float
    threshold_s: float = 0.0


# The thresholds are the p95 latency goals of the design, so the target is 0.95.
DEFAULTS = (
    Objective(AVAILABILITY, 0.999),
    Objective(FIRST_TOKEN, 0.95, 0.88),
    Objective(BETWEEN_TOKENS, 0.95, 0.029),
)


def parse_objectives(document, path="objectives"):
    """Parse the objectives of the settings and report all errors together.

    An objective or field that the document leaves out has its default.

    :param document: dict from name to ``{"target": ..., "threshold_s": ...}``.
    :param path: path of the document in the settings, for the error texts.
    :returns: Success with a tuple of :class:`Objective` in the order of ``NAMES``, or
        Failure with a tuple of error texts, each with its path.
    """
    if not isinstance(document, dict):
        return result.Failure((f"{path}: must be an object",))
    faults = [f"{path}.{name}: unknown" for name in sorted(set(document) - set(NAMES))]
    objectives = [
        _parse_objective(document.get(default.name, {}), default, path, faults)
        for default in DEFAULTS
    ]
    return (
        result.Failure(tuple(faults)) if faults else result.Success(tuple(objectives))
    )


def _parse_objective(entry, default, path, faults):
    path = f"{path}.{default.name}"
    if not isinstance(entry, dict):
        faults.append(f"{path}: must be an object")
        return default
    allowed = {"target"} | ({"threshold_s"} if default.threshold_s else set())
    faults += [f"{path}.{key}: unknown" for key in sorted(set(entry) - allowed)]
    target = entry.get("target", default.target)
    # A target of 1 leaves no error budget, so the burn rate would be undefined.
    if not _is_number(target) or not 0 < target < 1:
        faults.append(f"{path}.target: must be a number between 0 and 1")
    threshold_s = entry.get("threshold_s", default.threshold_s)
    if default.threshold_s and (not _is_number(threshold_s) or threshold_s <= 0):
        faults.append(f"{path}.threshold_s: must be a positive number of seconds")
    return Objective(default.name, target, threshold_s)


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)
