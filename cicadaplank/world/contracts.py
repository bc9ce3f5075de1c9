"""The table: which instances hold which version, and clients' limits on each row."""

import dataclasses
import json

KINDS = ("model", "adapter", "service")
PREFERENCES = ("time", "origin_bytes")
HALF_PREFIX = "half:"
ANY_CLIENT = "*"
MAX_ROWS = 10_000
MAX_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class ClientLimit:
    """Rate limits of a client on a row.

    :param client: client name, or ``*`` for every client that has no limit of its own.
    :param requests_per_s: requests per second over all entry instances.
    :param tokens_per_s: generated tokens per second over all entry instances; 0 for no
        limit.
    """

    client: str
    requests_per_s: float
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Leaving:
    """Time from which a holder accepts no new work of a row.

    :param holder: instance name or ``half:NAME``.
    :param after_unix_s: Unix time in seconds.
    """

    holder: str
    after_unix_s: float


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of the table.

    :param name: name of the model, adapter or plain service.
    :param kind: ``model``, ``adapter`` or ``service``.
    :param version: version name.
    :param manifest_digest: SHA-256 of the manifest in hex; empty for a service.
    :param size_bytes: size of the weights in bytes.
    :param base: for an adapter, the name of its model's row.
    :param holders: tuple of instance names or ``half:NAME``.
    :param limits: tuple of one :class:`ClientLimit` for each client that may use the
        row.
    :param prefer: what is minimised when weights are distributed, ``time`` or
        ``origin_bytes``.
    :param priority: 0 is most urgent.
    :param leaving: tuple of :class:`Leaving`.
    """

    name: str
    kind: str
    version: str
    manifest_digest: str = ""
    size_bytes: int = 0
    base: str = ""
    holders: tuple = ()
    limits: tuple = ()
    prefer: str = "time"
    priority: int = 5
    leaving: tuple = ()

    def limit_for(self, client):
        """Return a client's own limit, or else the limit of ``*``.

        :param client: client name.
        :returns: :class:`ClientLimit`, or None when the client may not use the row.
        """
        named = {limit.client: limit for limit in self.limits}
        return named.get(client, named.get(ANY_CLIENT))


@dataclasses.dataclass(frozen=True)
class Table:
    """The rows and the division into halves.

    :param rows: tuple of :class:`Row` with unique names.
    :param halves: tuple of ``(half, (instance name, ...))``.
    """

    rows: tuple = ()
    halves: tuple = ()

    def row(self, name):
        """Return the row with this name.

        :param name: row name.
        :returns: :class:`Row` or None.
        """
        return next((row for row in self.rows if row.name == name), None)

    def instances_of(self, holder):
        """Return the instances that a holder entry stands for.

        :param holder: instance name or ``half:NAME``.
        :returns: tuple of instance names.
        """
        if not holder.startswith(HALF_PREFIX):
            return (holder,)
        return dict(self.halves).get(holder[len(HALF_PREFIX) :], ())

    def holders(self, row_name):
        """Return the instances that should hold a row.

        :param row_name: row name.
        :returns: sorted list of instance names; empty for an unknown row.
        """
        row = self.row(row_name)
        if row is None:
            return []
        return sorted({name for h in row.holders for name in self.instances_of(h)})

    def leaving_after_s(self, row_name, instance):
        """Return the time from which an instance accepts no new work of a row.

        :param row_name: row name.
        :param instance: instance name.
        :returns: Unix time in seconds, or None when it is not leaving.
        """
        row = self.row(row_name)
        if row is None:
            return None
        times = [
            entry.after_unix_s
            for entry in row.leaving
            if instance in self.instances_of(entry.holder)
        ]
        return min(times, default=None)

    def grants(self, row_name, instance, client, unix_s):
        """Tell whether an instance may accept new work of a row from a client.

        :param row_name: row name.
        :param instance: instance name.
        :param client: client name.
        :param unix_s: current Unix time in seconds.
        :returns: True when the client has a limit on the row and the instance is one of
            its holders and not leaving yet.
        """
        row = self.row(row_name)
        if row is None or row.limit_for(client) is None:
            return False
        if instance not in self.holders(row_name):
            return False
        after_s = self.leaving_after_s(row_name, instance)
        return after_s is None or unix_s < after_s


@dataclasses.dataclass(frozen=True)
class Configuration:
    """An accepted table.

    :param version: number of the acceptance, 1 for the first.
    :param change_id: identifier of the change, chosen by the operator's command.
    :param table: :class:`Table`.
    """

    version: int
    change_id: str
    table: Table

    def to_json(self):
        """Return the JSON text from which :func:`parse_configuration` reads it back."""
        return json.dumps(
            {
                "version": self.version,
                "change_id": self.change_id,
                "table": to_document(self.table),
            },
            sort_keys=True,
            separators=(",", ":"),
        )


EMPTY = Configuration(0, "", Table())


def to_document(table):
    """Return a table as plain JSON values.

    :param table: :class:`Table`.
    :returns: dict that :func:`parse_table` reads back.
    """
    rows = [dataclasses.asdict(row) for row in table.rows]
    halves = {half: list(names) for half, names in table.halves}
    return {"rows": rows, "halves": halves}


def parse_configuration(text):
    """Read a configuration from JSON text.

    :param text: what :meth:`Configuration.to_json` gives.
    :returns: :class:`Configuration`.
    :raises ValueError: when the text is not a configuration.
    """
    document = json.loads(text)
    if not isinstance(document, dict):
        raise ValueError("a configuration must be a JSON object")
    version, change_id = document.get("version"), document.get("change_id")
    if not isinstance(version, int) or version < 0 or not isinstance(change_id, str):
        raise ValueError("a configuration needs an integer version and a change_id")
    return Configuration(version, change_id, parse_table(document.get("table")))


def parse_table(document):
    """Check a declarations document completely and build the table.

    :param document: JSON object with ``rows`` and ``halves``.
    :returns: :class:`Table`.
    :raises ValueError: with one line for each error, which names the row and field.
    """
    errors = []
    if not isinstance(document, dict):
        raise ValueError("the table must be a JSON object with 'rows' and 'halves'")
    unknown = sorted(set(document) - {"rows", "halves"})
    errors += [f"{name}: unknown field" for name in unknown]
    halves = _parse_halves(document.get("halves", {}), errors)
    rows = _parse_rows(document.get("rows", []), errors)
    _check_references(rows, halves, errors)
    if errors:
        raise ValueError("\n".join(errors))
    return Table(tuple(rows), halves)


def _parse_halves(document, errors):
    if not isinstance(document, dict):
        errors.append("halves: must be an object of lists of instance names")
        return ()
    halves = []
    half_of = {}
    for half, names in sorted(document.items()):
        if not _is_name_list(names):
            errors.append(f"halves.{half}: must be a list of instance names")
            continue
        for name in names:
            if name in half_of:
                errors.append(f"halves.{half}: {name} is also in {half_of[name]}")
            half_of[name] = half
        halves.append((half, tuple(names)))
    return tuple(halves)


def _is_name_list(value):
    return isinstance(value, (list, tuple)) and all(
        isinstance(name, str) and name for name in value
    )


def _parse_rows(document, errors):
    if not isinstance(document, list):
        errors.append("rows: must be a list")
        return []
    if len(document) > MAX_ROWS:
        errors.append(f"rows: {len(document)} rows, at most {MAX_ROWS} are allowed")
        return []
    rows = []
    names = set()
    for position, entry in enumerate(document):
        row = _parse_row(entry, position, errors)
        if row is None:
            continue
        if row.name in names:
            errors.append(f"rows[{position}] {row.name}: duplicate row name")
        names.add(row.name)
        rows.append(row)
    return rows


def _parse_row(entry, position, errors):
    if not isinstance(entry, dict):
        errors.append(f"rows[{position}]: must be an object")
        return None
    path = f"rows[{position}] {entry.get('name', '?')}"
    error_count = len(errors)
    known = {field.name for field in dataclasses.fields(Row)}
    errors += [f"{path}.{name}: unknown field" for name in sorted(set(entry) - known)]
    for name in ("name", "version"):
        if not isinstance(entry.get(name), str) or not entry[name]:
            errors.append(f"{path}.{name}: must be a non-empty string")
    for name in ("manifest_digest", "base"):
        if not isinstance(entry.get(name, ""), str):
            errors.append(f"{path}.{name}: must be a string")
    _check_choice(entry, path, "kind", KINDS, errors)
    _check_choice(entry, path, "prefer", PREFERENCES, errors, "time")
    _check_count(entry, path, "size_bytes", None, errors)
    _check_count(entry, path, "priority", MAX_PRIORITY, errors)
    if not _is_name_list(entry.get("holders", [])):
        errors.append(f"{path}.holders: must be a list of names")
    limits = _parse_limits(entry.get("limits", []), path, errors)
    leaving = _parse_leaving(entry.get("leaving", []), path, errors)
    if entry.get("kind") != "service" and not entry.get("manifest_digest"):
        errors.append(f"{path}.manifest_digest: missing for kind {entry.get('kind')}")
    if len(errors) > error_count:
        return None
    values = dict(entry, limits=limits, leaving=leaving)
    values["holders"] = tuple(entry.get("holders", ()))
    return Row(**values)


def _check_choice(entry, path, name, choices, errors, default=None):
    if entry.get(name, default) not in choices:
        errors.append(f"{path}.{name}: must be one of {', '.join(choices)}")


def _check_count(entry, path, name, maximum, errors):
    value = entry.get(name, 0)
    is_valid = isinstance(value, int) and not isinstance(value, bool) and value >= 0
    if not is_valid or (maximum is not None and value > maximum):
        bound = "" if maximum is None else f" of at most {maximum}"
        errors.append(f"{path}.{name}: must be an integer{bound}, 0 or more")


def _is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _parse_limits(document, path, errors):
    if not isinstance(document, (list, tuple)):
        errors.append(f"{path}.limits: must be a list")
        return ()
    limits = []
    for entry in document:
        if not isinstance(entry, dict) or not isinstance(entry.get("client"), str):
            errors.append(f"{path}.limits: each limit needs a client name")
            continue
        limit_path = f"{path}.limits[{entry['client']}]"
        unknown = set(entry) - {"client", "requests_per_s", "tokens_per_s"}
        errors += [f"{limit_path}.{name}: unknown field" for name in sorted(unknown)]
        rates = (entry.get("requests_per_s"), entry.get("tokens_per_s", 0.0))
        if not all(_is_number(rate) and rate >= 0 for rate in rates):
            errors.append(
                f"{limit_path}: requests_per_s, tokens_per_s: must be numbers >= 0"
            )
            continue
        limits.append(ClientLimit(entry["client"], *map(float, rates)))
    if len({limit.client for limit in limits}) < len(limits):
        errors.append(f"{path}.limits: duplicate client")
    return tuple(limits)


def _parse_leaving(document, path, errors):
    if not isinstance(document, (list, tuple)):
        errors.append(f"{path}.leaving: must be a list")
        return ()
    leaving = []
    for entry in document:
        is_valid = isinstance(entry, dict) and set(entry) == {"holder", "after_unix_s"}
        if not is_valid or not _is_number(entry["after_unix_s"]):
            errors.append(f"{path}.leaving: each entry needs holder and after_unix_s")
            continue
        leaving.append(Leaving(str(entry["holder"]), float(entry["after_unix_s"])))
    return tuple(leaving)


def _check_references(rows, halves, errors):
    names = {row.name: row for row in rows}
    known_halves = {half for half, _ in halves}
    for row in rows:
        if row.kind == "adapter" and row.base not in names:
            errors.append(f"row {row.name}.base: no row is named {row.base!r}")
        for holder in row.holders + tuple(entry.holder for entry in row.leaving):
            half = holder[len(HALF_PREFIX) :]
            if holder.startswith(HALF_PREFIX) and half not in known_halves:
                errors.append(f"row {row.name}.holders: no half is named {half!r}")
