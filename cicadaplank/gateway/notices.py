"""Notices to agents: the weights to serve, their origin and the engines' hosts.

Entry instances build them from the store's tables and send them to agents. An agent
that receives none reads the tables and builds the notice itself.
"""

from cicadaplank.gateway import routes
from cicadaplank.messages import types

# Notices are repeated at this interval also without changes, as a heartbeat: an agent
# learns from them that its entry instances are reachable.
NOTICE_S = 1.0
# An agent that receives nothing from entry instances for this time reads the store.
SILENCE_S = 2.5


def build(decoder, configuration, operator, listed):
    """Build the notice from copies of the store's tables.

    :param decoder: :class:`cicadaplank.gateway.process.RecordDecoder`.
    :param configuration: :class:`cicadaplank.gateway.routes.Configuration` in force.
    :param operator: copy of the operator's table.
    :param listed: copy of the table of endpoints.
    :returns: :class:`cicadaplank.messages.types.WeightsNotice`.
    """
    return notice(
        decoder.named_weights(operator),
        configuration,
        decoder.endpoints(listed, configuration)[0],
        listed.position,
        {},
    )


def notice(named, configuration, endpoints, listed_position, weights_ages_s):
    """Build the notice from a decoded configuration and list of endpoints.

    :param named: dict from model name to the newest version that the operator named.
    :param configuration: :class:`cicadaplank.gateway.routes.Configuration`.
    :param endpoints: dict from name to
        :class:`cicadaplank.gateway.endpoints.Endpoint`.
    :param listed_position: :class:`cicadaplank.gateway.positions.Position` of the table
        of endpoints.
    :param weights_ages_s: ages of named weights, see
        :class:`cicadaplank.messages.types.GatewayReport`.
    :returns: :class:`cicadaplank.messages.types.WeightsNotice`.
    """
    services = configuration.services.values()
    origins = [service.origin for service in services if service.origin]
    resumable = {name: True for name in configuration.services}
    for route in configuration.routes:
        for share in route.shares:
            if route.retry_policy is routes.RetryPolicy.NEVER:
                resumable[share.service] = False
    hosts = {}
    for endpoint in endpoints.values():
        service = configuration.services.get(endpoint.service)
        if endpoint.is_draining or service is None or not service.has_engines:
            continue
        hosts.setdefault(endpoint.service, {})[endpoint.host] = endpoint.data_centre
    return types.WeightsNotice(
        configuration.version,
        listed_position.to_wire(),
        dict(named),
        [model for service in services for model in service.models],
        origins[0] if origins else "",
        resumable,
        hosts,
        weights_ages_s,
    )
