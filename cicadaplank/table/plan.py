"""Difference between two tables, and warnings about a proposed one."""

import dataclasses
import enum


class WarningKind(enum.Enum):
    """Kinds of problems that a plan warns of."""

    NO_HOLDER = "no_holder"
    UNKNOWN_HOLDER = "unknown_holder"
    ALL_HOLDERS_LEAVE = "all_holders_leave"
    BASE_NOT_HELD = "base_not_held"
    INSUFFICIENT_MEMORY = "insufficient_memory"
    LIMITS_ABOVE_CAPACITY = "limits_above_capacity"


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Capacity of one instance.

    :param instance: instance name.
    :param memory_bytes: memory for weights in bytes; 0 when unknown.
    :param requests_per_s: requests per second; 0 when unknown.
    :param tokens_per_s: generated tokens per second; 0 when unknown.
    """

    instance: str
    memory_bytes: int = 0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """One changed field of a row, or one changed half when ``row`` is empty.

    :param row: row name.
    :param field: field name, or the name of the half.
    :param old: value before.
    :param new: value after.
    """

    row: str
    field: str
    old: object
    new: object


@dataclasses.dataclass(frozen=True)
class Difference:
    """Difference between two tables.

    :param added: names of new rows, sorted.
    :param removed: names of removed rows, sorted.
    :param changed: tuple of :class:`FieldChange`, sorted by row and field.
    """

    added: tuple = ()
    removed: tuple = ()
    changed: tuple = ()

    def row_names(self):
        """Return the names of all rows that differ, as a set."""
        return {*self.added, *self.removed, *(c.row for c in self.changed)}

    def lines(self):
        """Return lines of text: ``+`` for added, ``-`` removed, ``~`` changed rows."""
        lines = [f"+ {name}" for name in self.added]
        lines += [f"- {name}" for name in self.removed]
        for change in self.changed:
            path = f"{change.row or 'halves'}.{change.field}"
            lines.append(f"~ {path}: {change.old!r} -> {change.new!r}")
        return lines


@dataclasses.dataclass(frozen=True)
class PlanWarning:
    """One possible problem of a proposed table.

    :param kind: :class:`WarningKind`.
    :param row: row name, or empty when the warning concerns an instance.
    :param detail: text for the operator.
    """

    kind: WarningKind
    row: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Plan:
    """Result of :func:`plan`.

    :param difference: :class:`Difference`.
    :param warnings: tuple of :class:`PlanWarning`; they do not prevent the acceptance.
    """

    difference: Difference
    warnings: tuple


def difference(old, new):
    """Compare two tables.

    :param old: :class:`cicadaplank.world.contracts.Table`.
    :param new: :class:`cicadaplank.world.contracts.Table`.
    :returns: :class:`Difference`; empty when the tables differ at most in the order of
        rows and halves.
    """
    before = {row.name: row for row in old.rows}
    after = {row.name: row for row in new.rows}
    changed = []
    for name in sorted(before.keys() & after.keys()):
        for field in dataclasses.fields(before[name]):
            values = (getattr(row, field.name) for row in (before[name], after[name]))
            old_value, new_value = values
            if old_value != new_value:
                changed.append(FieldChange(name, field.name, old_value, new_value))
    old_halves, new_halves = dict(old.halves), dict(new.halves)
    for half in sorted(old_halves.keys() | new_halves.keys()):
        values = old_halves.get(half, ()), new_halves.get(half, ())
        if values[0] != values[1] or (half in old_halves) != (half in new_halves):
            changed.append(FieldChange("", half, *values))
    return Difference(
        tuple(sorted(after.keys() - before.keys())),
        tuple(sorted(before.keys() - after.keys())),
        tuple(changed),
    )


def plan(old, new, instances, capacities=()):
    """Compare two tables and check the new one against the fleet.

    :param old: :class:`cicadaplank.world.contracts.Table` in force.
    :param new: proposed :class:`cicadaplank.world.contracts.Table`.
    :param instances: iterable of the listed
        :class:`cicadaplank.world.machines.Instance`.
    :param capacities: iterable of :class:`Capacity`; instances without one, and values
        of 0, are not checked.
    :returns: :class:`Plan`.
    """
    listed = {instance.name for instance in instances}
    by_name = {capacity.instance: capacity for capacity in capacities}
    warnings = []
    for row in new.rows:
        holders = new.holders(row.name)
        warnings += _holder_warnings(new, row, holders, listed)
        warnings += _limit_warnings(row, holders, by_name)
    warnings += _memory_warnings(new, by_name)
    return Plan(difference(old, new), tuple(warnings))


def _holder_warnings(table, row, holders, listed):
    unknown = [name for name in holders if name not in listed]
    if unknown:
        detail = f"holders are not in the list of instances: {', '.join(unknown)}"
        yield PlanWarning(WarningKind.UNKNOWN_HOLDER, row.name, detail)
    present = [name for name in holders if name in listed]
    if not present:
        detail = "no listed instance holds the row; every request for it is refused"
        yield PlanWarning(WarningKind.NO_HOLDER, row.name, detail)
    elif all(table.leaving_after_s(row.name, name) is not None for name in present):
        detail = (
            "every holder has a leaving time; after the last, every request is refused"
        )
        yield PlanWarning(WarningKind.ALL_HOLDERS_LEAVE, row.name, detail)
    if row.base:
        missing = sorted(set(present) - set(table.holders(row.base)))
        if missing:
            detail = f"base {row.base} is not held by {', '.join(missing)}"
            yield PlanWarning(WarningKind.BASE_NOT_HELD, row.name, detail)


def _limit_warnings(row, holders, capacities):
    for field in ("requests_per_s", "tokens_per_s"):
        known = [getattr(capacities[n], field) for n in holders if n in capacities]
        if not known or len(known) < len(holders) or not all(known):
            continue
        granted = sum(getattr(limit, field) for limit in row.limits)
        if granted > sum(known):
            detail = f"limits grant {granted:g} {field}, holders support {sum(known):g}"
            yield PlanWarning(WarningKind.LIMITS_ABOVE_CAPACITY, row.name, detail)


def _memory_warnings(table, capacities):
    needed = {}
    for row in table.rows:
        for name in table.holders(row.name):
            needed[name] = needed.get(name, 0) + row.size_bytes
    for name, size_bytes in sorted(needed.items()):
        memory_bytes = capacities[name].memory_bytes if name in capacities else 0
        if memory_bytes and size_bytes > memory_bytes:
            detail = f"{name} needs {size_bytes} bytes but has {memory_bytes}"
            yield PlanWarning(WarningKind.INSUFFICIENT_MEMORY, "", detail)
