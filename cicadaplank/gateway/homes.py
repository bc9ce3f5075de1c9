"""Regions in which a call may be served.

Load pattern: the endpoints of one region are full or gone while those of others are
free. A call that is limited to regions waits for the endpoints there or is refused; it
never spills over.

A route and a client account may each be limited to some regions. Where both are, their
common ones are allowed.
"""

# Reason of calls whose route and client account allow no common region.
EXCLUDED = "the regions allowed for the route and the client account exclude each other"


def allowed_regions(route, account):
    """Return the regions in which the calls of an account on a route may be served.

    :param route: :class:`cicadaplank.gateway.routes.Route`.
    :param account: :class:`cicadaplank.gateway.routes.Account`, or None.
    :returns: frozenset of names, empty when both exclude each other; None for any.
    """
    limits = [route.regions, account.regions if account is not None else None]
    given = [regions for regions in limits if regions is not None]
    return frozenset.intersection(*given) if given else None


def allows(regions, region):
    """Tell whether a call may be served in a region.

    :param regions: what :func:`allowed_regions` returned.
    :param region: region of an endpoint; empty when it is unknown.
    """
    return regions is None or region in regions
