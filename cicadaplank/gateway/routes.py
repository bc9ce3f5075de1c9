"""Routes, client accounts and limits of one configuration."""

import dataclasses
import enum


class Repeat(enum.Enum):
    """What may be repeated on a route.

    ``FREE``: a call may run more than once. ``NEVER``: at most once for each attempt of
    the client. ``RESUMABLE``: a stream that another endpoint may continue.
    """

    FREE = "free"
    NEVER = "never"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of a route's calls that goes to one service.

    :param service: service name.
    :param weight: relative weight, 0 or more.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """One route.

    :param name: route name.
    :param host: host name that callers use, in lower case.
    :param prefix: beginning of the path, with a slash at both ends.
    :param repeat: :class:`Repeat`.
    :param is_stream: whether answers are streams of events.
    :param timeout_s: longest time until the final answer.
    :param objective_s: time within which an answer earns its full worth.
    :param priority: 0 is most urgent.
    :param shares: tuple of :class:`Share`.
    :param max_attempts: endpoints that one call may be sent to.
    :param is_public: whether calls need no API key.
    :param is_generation: whether model engines answer.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    is_stream: bool
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple
    max_attempts: int
    is_public: bool
    is_generation: bool


@dataclasses.dataclass(frozen=True)
class Account:
    """Client account.

    :param name: account name.
    :param priority: 0 is most urgent, or None to use the route's priority.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True)
class Service:
    """Service that endpoints belong to.

    :param name: service name.
    :param max_connections: connections that each endpoint accepts from all callers.
    :param has_engines: whether its endpoints are model engines.
    :param origin: ``host:port`` of an origin of weights, or empty.
    """

    name: str
    max_connections: int
    has_engines: bool
    origin: str


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """What a client connection may send, and how long it may take.

    :param max_header_bytes: request line and headers.
    :param max_body_bytes: body of a request.
    :param header_timeout_s: time from the first byte to the end of the headers.
    :param idle_timeout_s: time without a request after which a connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One accepted version of routes, services and client accounts.

    :param version: number of the version; newer ones are higher.
    :param routes: tuple of :class:`Route`.
    :param services: dict from name to :class:`Service`.
    :param limits: :class:`ClientLimits`.
    :param accounts: dict from API key to :class:`Account`, or None when calls need
        no key.
    """

    version: int
    routes: tuple
    services: dict
    limits: ClientLimits
    accounts: dict | None


class RouteIndex:
    """Finds the route of a request.

    :param configuration: :class:`Configuration`.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._hosts = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def match(self, host, path):
        """Return the :class:`Route` with the longest matching prefix, or None.

        :param host: host name without port.
        :param path: path of the request, without query.
        """
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
