"""Notices to agents: what the store says of weights and engines."""

from cicadaplank.gateway import routes
from cicadaplank.messages import types

# Notices are repeated, so that an agent knows that its entry instances are there.
NOTICE_S = 1.0
# An agent that hears no entry instance for this time reads the store itself.
SILENCE_S = 2.5


def build(meaning, operator, listed):
    """Describe the deployment for agents.

    :param meaning: :class:`cicadaplank.gateway.process.Records`.
    :param operator: copy of the operator's table.
    :param listed: copy of the table of endpoints.
    :returns: :class:`cicadaplank.messages.types.WeightsNotice`, or None while no
        configuration is known.
    :raises ValueError: when the configuration cannot be read.
    """
    configuration = meaning.configuration(operator)
    if configuration is None:
        return None
    return notice(
        meaning.named_weights(operator),
        meaning.models(operator),
        configuration,
        meaning.endpoints(listed, configuration)[0],
        listed.version,
    )


def notice(named, models, configuration, endpoints, listed_version):
    """Return the notice for a configuration and a list of endpoints.

    :param named: dict from model name to the newest named version.
    :param models: names of all models.
    :param configuration: :class:`cicadaplank.gateway.routes.Configuration`.
    :param endpoints: dict from name to
        :class:`cicadaplank.gateway.endpoints.Endpoint`.
    :param listed_version: version of the list.
    """
    origins = [s.origin for s in configuration.services.values() if s.origin]
    resumable = {name: True for name in configuration.services}
    for route in configuration.routes:
        for share in route.shares:
            if route.repeat is routes.Repeat.NEVER:
                resumable[share.service] = False
    hosts = {}
    for endpoint in endpoints.values():
        service = configuration.services.get(endpoint.service)
        if endpoint.is_leaving or service is None or not service.has_engines:
            continue
        hosts.setdefault(endpoint.service, {})[endpoint.host] = endpoint.data_centre
    return types.WeightsNotice(
        configuration.version,
        listed_version,
        dict(named),
        list(models),
        origins[0] if origins else "",
        resumable,
        hosts,
    )
