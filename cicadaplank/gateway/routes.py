"""Routes, client accounts and limits of one configuration."""

import dataclasses
import enum

from cicadaplank.gateway import service_times


class RetryPolicy(enum.Enum):
    """Retry policy of a route, for calls that may already have run.

    ``IDEMPOTENT``: a call is idempotent and may run more than once. ``NEVER``: a call
    runs at most once for each attempt of the client. ``RESUMABLE``: a call is a stream
    that another endpoint may continue after the last event.
    """

    IDEMPOTENT = "free"
    NEVER = "never"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class Share:
    """One of the services that share a route's calls, with its weight.

    :param service: service name.
    :param weight: relative weight in the random choice of the service, 0 or more.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Route from a host name and path prefix to services, with its call policy.

    :param name: route name.
    :param host: host name that callers use, in lower case.
    :param prefix: path prefix, with a slash at both ends.
    :param retry_policy: :class:`RetryPolicy`.
    :param is_stream: whether answers are streams of events.
    :param timeout_s: longest time in seconds until the final answer.
    :param objective_s: latency objective in seconds; a later answer loses a part of its
        value. For a stream it applies to the first event.
    :param priority: priority of the route's calls; 0 is most urgent.
    :param shares: tuple of :class:`Share`.
    :param max_attempts: number of times that one call may be sent to an endpoint.
    :param is_public: whether calls need no API key.
    :param is_generation: whether model engines answer the calls.
    :param regions: frozenset of the regions in which calls may be served, None for any.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    is_stream: bool
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple
    max_attempts: int
    is_public: bool
    is_generation: bool
    regions: frozenset | None = None

    @property
    def usable_shares(self):
        """The shares that calls may go to: all of them when none has a weight."""
        usable = tuple(share for share in self.shares if share.weight > 0)
        return usable or self.shares


@dataclasses.dataclass(frozen=True)
class Account:
    """Client account to which API keys belong.

    :param name: account name.
    :param priority: priority of its calls, 0 is most urgent; None to use the route's.
    :param regions: frozenset of the regions in which calls may be served, None for any.
    """

    name: str
    priority: int | None
    regions: frozenset | None = None


@dataclasses.dataclass(frozen=True)
class Service:
    """Group of interchangeable endpoints that calls are sent to.

    :param name: service name.
    :param max_connections: number of connections that each endpoint accepts from all
        callers together.
    :param has_engines: whether its endpoints are model engines.
    :param origin: ``host:port`` of an origin of weights, or empty.
    :param models: tuple of the names of the models that its engines serve.
    :param engine: :class:`cicadaplank.gateway.service_times.EngineFigures`, None when
        the figures are not published.
    :param warm_up_per_s: requests per second that a cold endpoint bears from all entry
        instances together; 0.0 when no limit is set.
    """

    name: str
    max_connections: int
    has_engines: bool
    origin: str
    models: tuple = ()
    engine: service_times.EngineFigures | None = None
    warm_up_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Size limits and time-outs of client connections.

    :param max_header_bytes: limit of the request line and headers in bytes.
    :param max_body_bytes: limit of a request's body in bytes.
    :param header_timeout_s: seconds from the first byte to the end of the headers.
    :param idle_timeout_s: seconds without a request after which a connection is closed.
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
    """Lookup of routes by host name and longest path prefix.

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
        """Return the route of a request.

        :param host: host name without port, in any case.
        :param path: path of the request, without query.
        :returns: the :class:`Route` with the longest matching prefix, or None.
        """
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
