"""Types and ranges of the JSON documents that others write.

Another writer may leave anything in a row, and a faulty server may answer anything.
What these types let in can be sent in a message, written into a header and dialled.
"""

import re
from typing import Annotated, Literal

import msgspec

from cicadaplank.weights import manifests

# Largest integer that every JSON parser and message keeps exactly.
MAX_INTEGER = 2**53 - 1
# End of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999
MAX_DURATION_MS = 86_400_000
MAX_SLOTS = 100_000
MAX_RANK = 1_000
MAX_WEIGHT = 1e9
MAX_MODELS = 256
MAX_REGIONS = 256
MAX_PORT = 65_535
# The store allows keys of this length; names of this system's own are shorter.
MAX_NAME_CHARS = 200
MAX_TEXT_CHARS = 2_000
MAX_REASON_CHARS = 160

Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
PositiveDurationMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]
Slots = Annotated[float, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Rank = Annotated[float, msgspec.Meta(ge=0, le=MAX_RANK)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
# Text without control characters and lone surrogates, for headers and messages.
Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=MAX_NAME_CHARS,
        pattern=r"\A[^\x00-\x1f\x7f\ud800-\udfff]+\Z",
    ),
]
# Name that is a part of a URL path.
PathName = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS, pattern=r"\A[!-~]+\Z"),
]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Regions = Annotated[list[Name], msgspec.Meta(max_length=MAX_REGIONS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Digest = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{64}\Z")]

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# Addresses to dial: neither "this host", multicast nor broadcast.
_FIRST_OCTET = r"(?:22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)"
_HOST = re.compile(rf"{_FIRST_OCTET}(?:\.{_OCTET}){{3}}")
_ADDRESS = re.compile(rf"({_HOST.pattern}):([1-9][0-9]{{0,4}})")


class Model(msgspec.Struct, frozen=True):
    """A model with the version that a server holds, None or 0 for none."""

    name: PathName
    version: Integer | None = None


Models = Annotated[list[Model], msgspec.Meta(max_length=MAX_MODELS)]


class Server(msgspec.Struct, frozen=True):
    """Row that a model server writes about itself."""

    service: Name
    address: str
    zone: Name
    state: Literal["ready", "draining"]
    slots: Slots | None = None
    warmup_left_ms: DurationMs | None = None
    models: Models | None = None
    born: UnixMs = 0
    seq: Integer | None = None


class NamedVersion(msgspec.Struct, frozen=True):
    """Row in which the operator names the version of a model to serve."""

    version: PositiveInteger
    model: PathName | None = None


class Backend(msgspec.Struct, frozen=True):
    """Service that has a share of a route's calls."""

    service: Name
    weight: Weight = 1.0


class Route(msgspec.Struct, frozen=True):
    """Route of the configuration."""

    hostname: Name
    prefix: Text
    route_type: str
    timeout_ms: PositiveDurationMs
    name: Text | None = None
    goal_ms: DurationMs | None = None
    service: Name | None = None
    backends: list[Backend] | None = None
    priority: Rank | None = None
    max_attempts: Rank | None = None
    public: bool | None = None
    resumable: bool | None = None
    sticky: bool | None = None
    allowed_regions: Regions | None = None


class EngineModel(msgspec.Struct, frozen=True):
    """Model that the engines of a service serve."""

    name: PathName


class UsualTokens(msgspec.Struct, frozen=True):
    """Mean token counts of a request."""

    prompt: Number
    answer: Number


class Engine(msgspec.Struct, frozen=True):
    """Description of the engines of a service."""

    models: Annotated[list[EngineModel], msgspec.Meta(max_length=MAX_MODELS)] | None = (
        None
    )
    slots: Slots | None = None
    step_ms: DurationMs | None = None
    per_seq_ms: DurationMs | None = None
    context_per_k: DurationMs | None = None
    read_per_s: Number | None = None
    chunk: Integer | None = None
    stride: Integer | None = None
    usual: UsualTokens | None = None


class Service(msgspec.Struct, frozen=True):
    """Service of the configuration."""

    name: Name
    max_conns: Number | None = None
    engine: Engine | None = None
    origin: str | None = None
    warmup_per_s: Number | None = None


class Limits(msgspec.Struct, frozen=True):
    """Limits of what a client may send."""

    max_header_bytes: Number | None = None
    max_body_bytes: Number | None = None
    header_timeout_ms: DurationMs | None = None
    idle_timeout_ms: DurationMs | None = None


class Tenant(msgspec.Struct, frozen=True):
    """Client account of the configuration."""

    name: Name
    api_keys: list[Text]
    priority: Rank | None = None
    allowed_regions: Regions | None = None


class Configuration(msgspec.Struct, frozen=True):
    """The operator's configuration."""

    version: Integer
    routes: list[Route]
    services: list[Service]
    limits: Limits | None = None
    tenants: list[Tenant] | None = None


class Instance(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    """Row that an instance of this system writes about itself."""

    name: Name
    role: Name
    host: str
    port: Port
    region: Name
    data_centre: Name


class Report(msgspec.Struct, frozen=True):
    """Report of a model server about itself."""

    models: Models | None = None
    busy: bool | None = None
    seq: Integer | None = None
    born: UnixMs | None = None


class Manifest(msgspec.Struct, frozen=True):
    """Description of the pieces of a version of weights."""

    version: PositiveInteger
    chunk_bytes: Annotated[int, msgspec.Meta(ge=1, le=manifests.MAX_CHUNK_BYTES)]
    digests: Annotated[
        list[Digest], msgspec.Meta(min_length=1, max_length=manifests.MAX_CHUNKS)
    ]


class DocumentError(ValueError):
    """A document that is unreadable, or of another type or range."""


class Decoder:
    """Decoder of the JSON bytes of one type of document.

    Of a name that stands twice in an object, the last one counts.

    :param type_: a ``msgspec.Struct`` of this module.
    """

    def __init__(self, type_):
        self._decoder = msgspec.json.Decoder(type_)

    def decode(self, data):
        """Return the document in some bytes.

        :raises DocumentError: when there is none.
        """
        try:
            return self._decoder.decode(data)
        except (ValueError, TypeError, RecursionError) as fault:
            raise DocumentError(_reason(fault)) from fault


def convert(value, type_):
    """Return the document in a JSON value that has been parsed.

    :param value: dict.
    :param type_: a ``msgspec.Struct`` of this module.
    :raises DocumentError: when there is none.
    """
    try:
        return msgspec.convert(value, type_)
    except (ValueError, TypeError, OverflowError, RecursionError) as fault:
        raise DocumentError(_reason(fault)) from fault


def _reason(fault):
    text = str(fault)[:MAX_REASON_CHARS] or type(fault).__name__
    return text.encode("ascii", "backslashreplace").decode()


def check_host(text):
    """Return an IPv4 address that can be dialled.

    :raises DocumentError: when the text is none.
    """
    if not _HOST.fullmatch(text):
        raise DocumentError(f"host {text!a:.60} is no IPv4 address")
    return text


def parse_address(text):
    """Return host and port of ``IP:PORT``.

    :raises DocumentError: when the text is no address that can be dialled.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None or int(found[2]) > MAX_PORT:
        raise DocumentError(f"address {text!a:.60} is no IP:PORT")
    return found[1], int(found[2])


def check_key(key):
    """Return the key of a row, which names an endpoint in headers and messages.

    :raises DocumentError: when it cannot be one.
    """
    return convert(key, Name)
