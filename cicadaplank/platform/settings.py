"""Reader of settings files made from the template ``deploy/settings.json``."""

import json

from cicadaplank.gateway import gateway, memory_account, sync
from cicadaplank.gateway import process as entry_process
from cicadaplank.replicas import process as agent_process

READY_PATH = "/v1/readyz"


class SettingsError(ValueError):
    """Settings that are unreadable or invalid.

    :param faults: list of texts, each beginning with the path of a field or file.
    """

    def __init__(self, faults):
        super().__init__("; ".join(faults))
        self.faults = faults


class _Reader:
    """Reads fields of a document by their dotted path and collects all faults."""

    def __init__(self, document):
        self._document = document
        self.faults = []

    def get(self, path, types, check=None):
        value = self._document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if isinstance(value, bool) or not isinstance(value, types):
            self.faults.append(f"{path}: missing or of the wrong type: {value!r:.60}")
            return None
        if check is not None and not check(value):
            self.faults.append(f"{path}: {value!r:.60} is out of range")
        return value

    def text(self, path):
        """Return a text; an empty one is a fault."""
        return self.get(path, str, bool)

    def number(self, path):
        """Return a number; a negative one is a fault."""
        return self.get(path, (int, float), lambda value: value >= 0)

    def optional_ms(self, path, default_s):
        """Return a time in milliseconds as seconds; a missing one is the default."""
        parent, _, name = path.rpartition(".")
        if name not in (self.get(parent, dict) or {}):
            return default_s
        return _to_seconds(self.number(path))

    def optional_number(self, path, default):
        """Return a number above 0; a missing one is the default."""
        if self._document.get(path) is None:
            return default
        return self.get(path, (int, float), lambda value: value > 0)

    def address(self, path):
        """Return an address written ``host:port``, or None when it is invalid."""
        text = self.get(path, str, _is_address)
        if not isinstance(text, str) or not _is_address(text):
            return None
        host, _, port = text.rpartition(":")
        return entry_process.Address(host, int(port))

    def peer_port(self):
        """Return the first port of the range ``ports``, or 0 when it is invalid."""
        ports = self.get("ports", list, _is_port_range)
        return ports[0] if _is_port_range(ports) else 0

    def port(self, path):
        """Return a port; a number outside 1 to 65535 is a fault."""
        return self.get(path, int, lambda port: 0 < port < 65536)

    def check(self):
        """Raise :class:`SettingsError` with all faults if there are any."""
        if self.faults:
            raise SettingsError(sorted(set(self.faults)))


def _is_address(text):
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def _is_port_range(ports):
    are_integers = isinstance(ports, list) and all(type(port) is int for port in ports)
    return are_integers and len(ports) == 2 and 0 < ports[0] <= ports[1] < 65536


def read(path):
    """Read a settings file.

    :param path: path of the file.
    :returns: the document as a dict.
    :raises SettingsError: when the file cannot be read or is not a JSON object.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as fault:
        raise SettingsError([f"{path}: cannot be read: {fault}"]) from fault
    if not isinstance(document, dict):
        raise SettingsError([f"{path}: must be a JSON object"])
    return document


def read_store_address(document):
    """Return ``host:port`` of the store.

    :raises SettingsError: when the address is missing or invalid.
    """
    reader = _Reader(document)
    reader.address("store")
    reader.check()
    return document["store"]


def entry(document):
    """Return the :class:`cicadaplank.gateway.process.Settings` of an entry process.

    :param document: what :func:`read` returned.
    :raises SettingsError: with all faults.
    """
    reader = _Reader(document)
    seeds = reader.get("seeds", list) or []
    host = reader.text("host")
    settings = entry_process.Settings(
        name=reader.text("name"),
        region=reader.text("region"),
        data_centre=reader.text("data_centre"),
        front=reader.address("listen.front"),
        ready=reader.address("listen.ready"),
        ready_path=READY_PATH,
        peer=entry_process.Address(host, reader.peer_port()),
        metrics=entry_process.Address(host, reader.port("metrics_port")),
        seeds=tuple(str(seed).rpartition(":")[0] for seed in seeds),
        bounds=gateway.Bounds(
            retry_share=reader.number("bounds.retry_ratio"),
            retry_allowance=reader.number("bounds.retry_slack"),
            retry_window_s=reader.number("bounds.retry_window_s"),
            weights_s=_to_seconds(reader.number("bounds.version_ms")),
            # The platform names this bound where it counts requests of cold servers.
            limits_warm_up="warmup_overage" in (reader.get("bounds", dict) or {}),
        ),
        grace_s=reader.number("bounds.grace_s"),
        in_force_s=reader.optional_ms("bounds.config_ms", sync.DEFAULT_IN_FORCE_S),
        machine=_machine_limits(reader),
        regions=reader.get("regions", dict) or {} if "regions" in document else {},
    )
    reader.check()
    return settings


def _machine_limits(reader):
    """Return the :class:`cicadaplank.gateway.memory_account.MachineLimits`.

    An invalid value is noted as a fault of the reader.
    """
    default = memory_account.MachineLimits()
    memory_mb = reader.optional_number("memory_mb", default.memory_mb)
    max_fds = reader.optional_number("max_fds", default.max_fds)
    is_valid = isinstance(memory_mb, (int, float)) and isinstance(max_fds, (int, float))
    return memory_account.MachineLimits(memory_mb, max_fds) if is_valid else default


def agent(document):
    """Return the :class:`cicadaplank.replicas.process.Settings` of an agent process.

    :param document: what :func:`read` returned.
    :raises SettingsError: with all faults.
    """
    reader = _Reader(document)
    megabits = reader.number("link_mbps") or 0.0
    settings = agent_process.Settings(
        name=reader.text("name"),
        host=reader.text("host"),
        peer_port=reader.peer_port(),
        metrics_port=reader.port("metrics_port"),
        region=reader.text("region"),
        data_centre=reader.text("data_centre"),
        regions=reader.get("regions", dict) or {},
        service=reader.text("engine.service"),
        link_bytes_per_s=megabits * 125_000,
        weights_s=_to_seconds(reader.number("bounds.version_ms")),
        machine=_machine_limits(reader),
    )
    reader.address("engine.address")
    reader.check()
    return settings


def check_file(path):
    """Check a settings file in the platform's format and return its faults.

    :param path: path of the file.
    :returns: list of texts; None when the file is unreadable or in another format.
        Only the platform's format has the field ``store``.
    """
    try:
        document = read(path)
    except SettingsError:
        return None
    if "store" not in document:
        return None
    is_agent = not isinstance(document.get("listen"), dict) or not document[
        "listen"
    ].get("front")
    try:
        (agent if is_agent else entry)(document)
        read_store_address(document)
    except SettingsError as fault:
        return fault.faults
    return []


def _to_seconds(milliseconds):
    return None if milliseconds is None else milliseconds / 1000.0
