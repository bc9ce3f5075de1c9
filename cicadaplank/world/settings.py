"""Settings of a process, checked completely before the process starts."""

import dataclasses
import ipaddress
import json
import pathlib
import re

from returns import result

from cicadaplank.reports import objectives
from cicadaplank.world import machines

COMMENT_FIELD = "comment"
URL_PATTERN = re.compile(r"^https?://[^/\s]+$")


@dataclasses.dataclass(frozen=True)
class Listen:
    """Addresses on which a process listens.

    :param host: IP address.
    :param peer_port: TCP port for streams between the system's processes.
    :param http_port: TCP port for health checks and metrics, on an entry instance also
        for callers.
    """

    host: str
    peer_port: int
    http_port: int


@dataclasses.dataclass(frozen=True)
class Platform:
    """Base URLs of the platform's services.

    :param table_url: transactional table service.
    :param instances_url: service that lists live and leaving instances.
    :param objects_url: object store.
    :param origin_url: origin and weight store.
    :param origin_region: region in which the origin is located.
    """

    table_url: str
    instances_url: str
    objects_url: str
    origin_url: str
    origin_region: str


@dataclasses.dataclass(frozen=True)
class OnceCall:
    """Calls of a plain service that must not run more than once.

    :param service: row name of the plain service.
    :param method: HTTP method.
    :param path_prefix: prefix of the path relative to the service.
    """

    service: str
    method: str
    path_prefix: str


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """The engine or plain service beside an agent.

    :param kind: ``engine`` or ``service``.
    :param url: base URL.
    :param row: for a plain service, its row name.
    :param capacity: number of requests that it runs concurrently.
    :param checks_fencing: True when it rejects commands with an outdated fencing token.
    :param checks_sender: True when it checks the sender of a command.
    :param resumes_streams: True when a stream can be resumed at an offset.
    :param memory_bytes: memory for weights in bytes.
    """

    kind: str
    url: str
    row: str = ""
    capacity: int = 8
    checks_fencing: bool = True
    checks_sender: bool = True
    resumes_streams: bool = True
    memory_bytes: int = 1 << 30


@dataclasses.dataclass(frozen=True)
class Link:
    """Rates of an instance's network link.

    :param bytes_per_s: rate for transfers of weights, in bytes per second.
    :param region_bytes_per_s: rate in bytes per second that this instance may use of
        the link between two regions.
    :param requests_share: share of both rates that is reserved for live requests.
    """

    bytes_per_s: float = 125_000_000.0
    region_bytes_per_s: float = 1_750_000.0
    requests_share: float = 0.1


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one entry or agent process.

    :param name: instance name.
    :param role: ``entry`` or ``agent``.
    :param region: region name.
    :param data_centre: data centre name.
    :param half: half of the company to which the instance belongs, or empty.
    :param listen: :class:`Listen`.
    :param platform: :class:`Platform`.
    :param endpoint: :class:`Endpoint`; only for an agent.
    :param link: :class:`Link`.
    :param objectives: tuple of :class:`cicadaplank.reports.objectives.Objective`.
    :param once_calls: tuple of :class:`OnceCall`.
    :param peers: tuple of :class:`cicadaplank.world.machines.Instance`, used while the
        platform's list of instances cannot be read.
    :param drain_limit_s: maximum duration of a planned stop in seconds.
    :param request_limit_s: deadline of a request without one of its own, in seconds.
    :param max_queue: maximum number of requests that wait for an endpoint.
    """

    name: str
    role: str
    region: str
    data_centre: str
    listen: Listen
    platform: Platform
    half: str = ""
    endpoint: Endpoint | None = None
    link: Link = Link()
    objectives: tuple = objectives.DEFAULTS
    once_calls: tuple = ()
    peers: tuple = ()
    drain_limit_s: float = 30.0
    request_limit_s: float = 60.0
    max_queue: int = 256

    def objective(self, name):
        """Return the :class:`~cicadaplank.reports.objectives.Objective` with a name.

        :raises StopIteration: when no objective has the name.
        """
        return next(each for each in self.objectives if each.name == name)

    def instance(self):
        """Return this process as an :class:`~cicadaplank.world.machines.Instance`."""
        return machines.Instance(
            self.name,
            self.role,
            self.listen.host,
            self.listen.peer_port,
            self.region,
            self.data_centre,
            self.half,
        )


_SECTION_TYPES = {
    "listen": Listen,
    "platform": Platform,
    "endpoint": Endpoint,
    "link": Link,
}
_LIST_TYPES = {"once_calls": OnceCall, "peers": machines.Instance}
_CHOICES = {"role": ("entry", "agent"), "kind": ("engine", "service")}
_PORT_FIELDS = ("port", "peer_port", "http_port")
_SHARE_FIELDS = ("requests_share",)
_OPTIONAL_TEXTS = ("half", "row", "path_prefix")


def load(path):
    """Read and check a settings file.

    :param path: path of a JSON file.
    :returns: ``Success`` of :class:`Settings`, or ``Failure`` of a list of errors, each
        with the path of its field in the file.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        return result.Failure([f"{path}: cannot be read: {error.strerror}"])
    except ValueError as error:
        return result.Failure([f"{path}: not JSON: {error}"])
    return parse(document)


def parse(document):
    """Check a settings document completely and build the settings.

    :param document: JSON values.
    :returns: ``Success`` of :class:`Settings`, or ``Failure`` of a list of errors.
    """
    errors = []
    settings = _build(Settings, document, "", errors)
    if not errors:
        _check_role(settings, errors)
    return result.Failure(errors) if errors else result.Success(settings)


def _check_role(settings, errors):
    if settings.role == "agent" and settings.endpoint is None:
        errors.append("endpoint: missing for role agent")
    if settings.role == "entry" and settings.endpoint is not None:
        errors.append("endpoint: not allowed for role entry")
    endpoint = settings.endpoint
    if endpoint and endpoint.kind == "service" and not endpoint.row:
        errors.append("endpoint.row: missing for kind service")


def _build(cls, document, path, errors):
    """Build a data class from a JSON object and append every error to ``errors``.

    :returns: instance of ``cls``, or None when there was an error.
    """
    if not isinstance(document, dict):
        errors.append(f"{path or 'file'}: must be an object")
        return None
    fields = {field.name: field for field in dataclasses.fields(cls)}
    prefix = f"{path}." if path else ""
    error_count = len(errors)
    for name in sorted(set(document) - set(fields) - {COMMENT_FIELD}):
        errors.append(f"{prefix}{name}: unknown field")
    values = {}
    for name, field in fields.items():
        if name in document:
            values[name] = _parse_value(
                field, document[name], f"{prefix}{name}", errors
            )
        elif field.default is dataclasses.MISSING:
            errors.append(f"{prefix}{name}: missing")
    return None if len(errors) > error_count else cls(**values)


def _parse_value(field, value, path, errors):
    if field.name in _SECTION_TYPES:
        return _build(_SECTION_TYPES[field.name], value, path, errors)
    if field.name == "objectives":
        return _parse_objectives(value, path, errors)
    if field.name in _LIST_TYPES:
        return _build_list(_LIST_TYPES[field.name], value, path, errors)
    fault = _scalar_fault(field, value)
    if fault:
        errors.append(f"{path}: {fault}")
    return float(value) if field.type is float and not fault else value


def _parse_objectives(value, path, errors):
    if isinstance(value, dict):
        value = {name: entry for name, entry in value.items() if name != COMMENT_FIELD}
    parsed = objectives.parse_objectives(value, path)
    errors.extend(parsed.swap().value_or(()))
    return parsed.value_or(())


def _build_list(cls, value, path, errors):
    if not isinstance(value, list):
        errors.append(f"{path}: must be a list")
        return ()
    return tuple(
        _build(cls, entry, f"{path}[{position}]", errors)
        for position, entry in enumerate(value)
    )


def _scalar_fault(field, value):
    """Return a text that describes the fault of a scalar value, or None."""
    if field.type is bool:
        return None if isinstance(value, bool) else "must be true or false"
    if field.type is str:
        return _text_fault(field.name, value)
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or (field.type is int and not isinstance(value, int)):
        return "must be a number"
    if field.name in _PORT_FIELDS:
        return None if 0 <= value <= 65535 else "must be a port from 0 to 65535"
    if field.name in _SHARE_FIELDS:
        return None if 0 <= value < 1 else "must be at least 0 and below 1"
    return None if value > 0 else "must be above 0"


def _text_fault(name, value):
    if not isinstance(value, str) or (not value and name not in _OPTIONAL_TEXTS):
        return "must be a non-empty string"
    if name in _CHOICES and value not in _CHOICES[name]:
        return f"must be one of {', '.join(_CHOICES[name])}"
    if name.endswith("url") and not URL_PATTERN.match(value):
        return "must be http://HOST:PORT or https://HOST:PORT"
    if name == "host" and not _is_address(value):
        return "must be an IP address"
    return None


def _is_address(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
