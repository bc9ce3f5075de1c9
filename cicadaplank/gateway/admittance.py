"""What a configuration allows a request, checked on arrival and before each send."""

import dataclasses

from cicadaplank.gateway import homes, routes

NO_ROUTE = "no route for this host and path"
UNKNOWN_KEY = "the API key is not known"


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that the configuration allows.

    :param version: version of the configuration.
    :param route: :class:`cicadaplank.gateway.routes.Route`.
    :param account: :class:`cicadaplank.gateway.routes.Account`, or None when calls on
        the route need no key.
    """

    version: int
    route: routes.Route
    account: routes.Account | None


@dataclasses.dataclass(frozen=True)
class Denied:
    """A request that the configuration does not allow.

    :param status: HTTP status for the client.
    :param reason: text for the client and the log.
    """

    status: int
    reason: str


def check(index, head):
    """Check a request against a configuration.

    :param index: :class:`cicadaplank.gateway.routes.RouteIndex`.
    :param head: :class:`cicadaplank.gateway.dialects.RequestHead`.
    :returns: :class:`Admitted` or :class:`Denied`.
    """
    configuration = index.configuration
    route = index.match(head.host, head.path)
    if route is None:
        return Denied(404, NO_ROUTE)
    account = None
    if configuration.accounts is not None and not route.is_public:
        account = configuration.accounts.get(head.key)
        if account is None:
            return Denied(401, UNKNOWN_KEY)
    if homes.allowed_regions(route, account) == frozenset():
        return Denied(503, homes.EXCLUDED)
    return Admitted(configuration.version, route, account)
