"""Choice of the endpoint that a call is sent to.

Load pattern: bursts of generations of very unequal size on engines that slow down with
each call. Least work wins: the calls that all entry instances have in progress there,
relative to the slots, with small surcharges for another data centre and for failures.
Measured against round robin and random choice in ``features/gateway``.
"""

import dataclasses

# Part of the slots by which an endpoint of another data centre has to be less loaded.
# Links between regions are narrow, and calls that cross them break in a partition.
REMOTE_SURCHARGE = 0.4
# Surcharge for an endpoint whose last calls all failed.
FAILURE_SURCHARGE = 2.0
# Surcharge for an endpoint that said within the last moments that it is full.
FULL_SURCHARGE = 1.0


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a call needs of an endpoint.

    :param service: service name.
    :param data_centre: data centre of this entry instance.
    :param model: model name, or empty.
    :param least_version: oldest version of the weights that is allowed, 0 for any.
    :param excluded: names of endpoints that were tried already.
    """

    service: str
    data_centre: str
    model: str = ""
    min_version: int = 0
    excluded: frozenset = frozenset()


def serves(endpoint, demand):
    """Tell whether an endpoint can serve a call at all.

    :param endpoint: :class:`cicadaplank.gateway.endpoints.Endpoint`.
    :param demand: :class:`Demand`.
    """
    if endpoint.is_leaving or endpoint.name in demand.excluded:
        return False
    if not demand.model:
        return True
    version = endpoint.weights.get(demand.model)
    return version is not None and version >= demand.min_version


def cost(state, demand, now_s):
    """Return the relative load that the call would meet.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param demand: :class:`Demand`.
    :param now_s: current time in seconds.
    """
    endpoint = state.endpoint
    load = state.calls(now_s) / max(1, endpoint.slots)
    if endpoint.data_centre != demand.data_centre:
        load += REMOTE_SURCHARGE
    if now_s < state.full_until_s:
        load += FULL_SURCHARGE
    if endpoint.warm_up_s > 0:
        load += REMOTE_SURCHARGE
    return load + FAILURE_SURCHARGE * state.failure_share


def has_room(state, now_s):
    """Tell whether an endpoint would start one more call at once."""
    if now_s < state.full_until_s:
        return False
    return state.calls(now_s) < state.endpoint.slots


def is_open(state, now_s):
    """Tell whether some call could be sent to an endpoint now.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param now_s: current time in seconds.
    """
    return not state.is_ejected(now_s) and has_room(state, now_s)


def choose(states, demand, now_s, random):
    """Choose an endpoint.

    :param states: list of endpoint states of the service.
    :param demand: :class:`Demand`.
    :param now_s: current time in seconds.
    :param random: ``random.Random``; breaks ties.
    :returns: the state, or None when no endpoint has room.
    """
    best, best_cost = None, float("inf")
    for state in states:
        if not serves(state.endpoint, demand) or not is_open(state, now_s):
            continue
        load = cost(state, demand, now_s) + random.uniform(0.0, 0.01)
        if load < best_cost:
            best, best_cost = state, load
    return best
