"""The faults of one seed, as a list of events in the order of their times."""

import dataclasses
import random

MODES = (
    "refuse",
    "error",
    "reset",
    "hang",
    "wrong",
    "cut",
    "endless_head",
    "endless_body",
    "garbage",
    "busy",
)
# Some kinds are drawn more often: they touch the work of more parts.
KINDS = (
    "server",
    "server",
    "link_delay",
    "link_reset",
    "link_silent",
    "entry_kill",
    "entry_freeze",
    "entry_term",
    "entry_term",
    "store_down",
    "store_silent",
    "configuration",
    "configuration",
    "drain",
    "hup",
)


# Drawn in addition to the others, from a generator of their own: the plans of the seeds
# that failed before they existed stay as they were.
EXTRA_KINDS = ("poison", "revoke", "revoke", "store_partial", "store_partial")


# What servers say of themselves in answers only, drawn apart for the same reason.
WORD_KINDS = ("leave_unlisted", "leave_unlisted", "limit", "limit")


# What incidents brought about, drawn apart for the same reason, and the details that a
# kind has.
INCIDENT_KINDS = (
    "odd_row",
    "odd_row",
    "odd_row",
    "weights",
    "frozen_change",
    "frozen_change",
    "pending",
    "held",
    "repeated_refusal",
    "repeated_refusal",
    "broken_streams",
    "broken_streams",
)
INCIDENT_DETAILS = {
    "odd_row": ("servers", "servers", "op"),
    "frozen_change": ("weights", "configuration"),
    "repeated_refusal": ("repeat", "repeat_bare"),
    "broken_streams": tuple(f"broken_{status}" for status in (500, 503, 421, 404, 200)),
}


# Planned work and silences of servers, drawn apart for the same reason.
PLANNED_KINDS = (
    "silence",
    "silence",
    "silence_all",
    "silent_change",
    "silent_change",
    "silent_change",
    "change",
    "leave",
    "planned_stop",
    "planned_stop",
    "reload",
    "reload",
)
PLANNED_CHANGES = ("route", "route", "key", "kind", "same")
# Times between the events of a series.
PLANNED_GAP_S = (0.0, 0.2, 1.2)
SILENT_S = (1.0, 2.0)


@dataclasses.dataclass(frozen=True)
class Event:
    """One fault or change.

    :param at_s: time from the start.
    :param kind: one of :data:`KINDS`, :data:`EXTRA_KINDS`, :data:`WORD_KINDS`,
        :data:`INCIDENT_KINDS` or :data:`PLANNED_KINDS`.
    :param target: number of the process, server or link.
    :param for_s: how long it lasts.
    :param detail: mode of a server, the direction of a link, or one of
        :data:`INCIDENT_DETAILS` or :data:`PLANNED_CHANGES`.
    """

    at_s: float
    kind: str
    target: int
    for_s: float
    detail: str


def draw(seed, length_s, count, modes=MODES):
    """Draw the events of a seed. Some come in bursts, at the same instant or twice.

    :param seed: integer.
    :param length_s: time in which they begin.
    :param count: number of events.
    :param modes: modes of servers that are drawn from.
    :returns: list of :class:`Event`.
    """
    rng = random.Random(seed)
    found = []
    while len(found) < count:
        kind = rng.choice(KINDS)
        at_s = rng.uniform(0.5, length_s)
        for_s = rng.uniform(0.3, 2.5)
        detail = rng.choice(modes) if kind == "server" else ""
        if kind == "link_silent":
            detail = rng.choice(("there", "back"))
        found.append(Event(at_s, kind, rng.randrange(100), for_s, detail))
        if rng.random() < 0.3:
            # The same again soon, perhaps elsewhere.
            again_s = min(length_s, at_s + rng.choice((0.0, 0.3, 1.5)))
            found.append(Event(again_s, kind, rng.randrange(100), for_s, detail))
    return sorted(found[:count], key=lambda event: event.at_s)


def draw_extras(seed, length_s):
    """Draw the additional events of a seed, in a series that may overlap.

    :param seed: integer.
    :param length_s: time in which they begin.
    :returns: list of :class:`Event`.
    """
    return _draw_each(random.Random(f"{seed}-extras"), EXTRA_KINDS, length_s)


def draw_words(seed, length_s):
    """Draw the events of a seed in which servers say something of themselves.

    :param seed: integer.
    :param length_s: time in which they begin.
    :returns: list of :class:`Event`.
    """
    return _draw_each(random.Random(f"{seed}-words"), WORD_KINDS, length_s)


def draw_incidents(seed, length_s):
    """Draw the events of a seed that follow incidents.

    :param seed: integer.
    :param length_s: time in which they begin.
    :returns: list of :class:`Event`.
    """
    rng = random.Random(f"{seed}-incidents")
    return [
        dataclasses.replace(event, detail=rng.choice(INCIDENT_DETAILS[event.kind]))
        if event.kind in INCIDENT_DETAILS
        else event
        for event in _draw_each(rng, INCIDENT_KINDS, length_s)
    ]


def draw_planned(seed, length_s):
    """Draw the planned work of a seed and the silences of servers.

    Some events follow another one closely.

    :param seed: integer.
    :param length_s: time in which they begin.
    :returns: list of :class:`Event`.
    """
    rng = random.Random(f"{seed}-planned")
    found, last_s = [], 0.5
    for kind in rng.sample(PLANNED_KINDS, len(PLANNED_KINDS)):
        at_s = min(length_s, last_s + rng.choice(PLANNED_GAP_S))
        if rng.random() < 0.5:
            at_s = rng.uniform(0.5, length_s)
        detail, for_s = rng.choice(PLANNED_CHANGES), rng.uniform(*SILENT_S)
        found.append(Event(at_s, kind, rng.randrange(100), for_s, detail))
        last_s = at_s
    return sorted(found, key=lambda event: event.at_s)


def _draw_each(rng, kinds, length_s):
    return [
        Event(rng.uniform(0.3, length_s), kind, rng.randrange(100), for_s, "")
        for kind in kinds
        for for_s in (rng.uniform(1.0, 3.0),)
    ]
