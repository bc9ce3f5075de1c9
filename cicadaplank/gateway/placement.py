"""Choice of the endpoint that a call is sent to.

Load pattern: bursts of generations of very different size on engines that slow down
with each concurrent call. The endpoint with the lowest relative load is chosen: the
calls that all entry instances have in progress there, divided by its slots, plus
penalties for another data centre, failures, recent refusals and warm-up. For services
whose endpoints state their pace, the predicted time to the first event relative to the
call's objective takes the place of the relative load. Scenarios in
``features/gateway`` compare this with round robin and random choice.
"""

import dataclasses

from cicadaplank.gateway import homes, service_times

# Share of its slots by which an endpoint of another data centre has to be less loaded
# to be preferred; an endpoint that is warming up gets the same penalty. Links between
# regions have little bandwidth, and calls that cross them fail in a partition. Each
# further entry instance adds to it, as reports from other data centres become older.
REMOTE_PENALTY = 0.4
REMOTE_PENALTY_PER_INSTANCE = 0.003
MAX_REMOTE_PENALTY = 0.7
# Added to the relative load in proportion to the failure share; the full amount is for
# an endpoint whose recent calls all failed.
FAILURE_PENALTY = 2.0
# Added to the relative load of an endpoint that recently refused a call because it is
# full, or of which another instance says that it leaves.
FULL_PENALTY = 1.0
# Weight of the occupancy beside the predicted time of a generation. The fewer slots are
# free, the likelier they are taken by calls of other instances that are not known yet.
OCCUPANCY_WEIGHT = 0.5
# Random part of the relative load, which breaks ties. Each further entry instance adds
# to it: the endpoint that is least loaded in the last reports is so to all of them, and
# would get a call from each before the next report.
MIN_SPREAD = 0.01
SPREAD_PER_INSTANCE = 0.004
MAX_SPREAD = 0.4


@dataclasses.dataclass(frozen=True)
class Generation:
    """Work of a call at engines whose speed is published.

    :param engine: :class:`cicadaplank.gateway.service_times.EngineFigures`.
    :param work: :class:`cicadaplank.gateway.service_times.Work`.
    :param objective_s: time in seconds to the first event that is on time.
    """

    engine: service_times.EngineFigures
    work: service_times.Work
    objective_s: float

    def relative_time(self, state, now_s):
        """Return the predicted time to the first event in parts of the objective.

        The share of the slots that are taken is added with :data:`OCCUPANCY_WEIGHT`.

        :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
        :param now_s: current time in seconds.
        """
        situation = state.situation(self.engine, now_s)
        time_s = service_times.first_event_s(self.engine, self.work, situation)
        occupancy = situation.calls / situation.slots
        return time_s / self.objective_s + OCCUPANCY_WEIGHT * occupancy


@dataclasses.dataclass(frozen=True)
class Demand:
    """Requirements of a call on its endpoint.

    :param service: service name.
    :param data_centre: data centre of this entry instance.
    :param model: model name, or empty when any endpoint of the service will do.
    :param min_version: oldest version of the weights that is allowed, 0 for any.
    :param excluded: names of the endpoints that have already been tried.
    :param instances: number of entry instances that place calls.
    :param generation: :class:`Generation`, or None.
    :param regions: frozenset of the regions in which it may be served, None for any.
    :param evacuated: frozenset of the data centres that get no calls.
    """

    service: str
    data_centre: str
    model: str = ""
    min_version: int = 0
    excluded: frozenset = frozenset()
    instances: int = 1
    generation: Generation | None = None
    regions: frozenset | None = None
    evacuated: frozenset = frozenset()


def serves(endpoint, demand):
    """Tell whether an endpoint meets a call's requirements, whatever its load.

    :param endpoint: :class:`cicadaplank.gateway.endpoints.Endpoint`.
    :param demand: :class:`Demand`.
    """
    if endpoint.is_draining or endpoint.name in demand.excluded:
        return False
    if endpoint.data_centre in demand.evacuated:
        return False
    if not homes.allows(demand.regions, endpoint.region):
        return False
    if not demand.model:
        return True
    version = endpoint.weights.get(demand.model)
    return version is not None and version >= demand.min_version


def accepts(state, demand):
    """Tell whether an endpoint may be sent a call at all, now or later.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param demand: :class:`Demand`.
    """
    return not state.word.is_leaving and serves(state.endpoint, demand)


def may_be_sent(state, demand, now_s):
    """Tell whether an endpoint may be sent a call now, whatever its load.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param demand: :class:`Demand`.
    :param now_s: current time in seconds.
    """
    return accepts(state, demand) and not state.word.is_busy(now_s)


def soonest_s(states, demand, now_s):
    """Return when the first endpoint wants calls that accepts a call.

    :param states: list of :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param demand: :class:`Demand`.
    :param now_s: current time in seconds.
    :returns: time in seconds, infinite when no endpoint accepts it.
    """
    times_s = (s.word.busy_until_s for s in states if accepts(s, demand))
    return max(now_s, min(times_s, default=float("inf")))


def cost(state, demand, now_s):
    """Return the relative load of an endpoint, with the penalties for a call.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param demand: :class:`Demand`.
    :param now_s: current time in seconds.
    :returns: calls in progress per slot, or the predicted time of a generation relative
        to its objective, plus penalties; lower is better.
    """
    endpoint = state.endpoint
    if demand.generation is not None:
        load = demand.generation.relative_time(state, now_s)
    else:
        load = state.calls(now_s) / max(1, endpoint.slots)
    if endpoint.data_centre != demand.data_centre:
        load += min(
            MAX_REMOTE_PENALTY,
            REMOTE_PENALTY + REMOTE_PENALTY_PER_INSTANCE * (demand.instances - 1),
        )
    if now_s < state.full_until_s or state.word.is_said_to_leave(now_s):
        load += FULL_PENALTY
    if endpoint.warm_up_s > 0:
        load += REMOTE_PENALTY
    return load + FAILURE_PENALTY * state.failure_share


def has_free_slot(state, now_s):
    """Tell whether an endpoint has a free slot, wants calls and its limit has room.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param now_s: current time in seconds.
    """
    if now_s < state.full_until_s or state.word.is_busy(now_s):
        return False
    if not state.allowance.has_room(now_s):
        return False
    return state.calls(now_s) < state.endpoint.slots


def permit_wait_s(states, demand, waiting, now_s):
    """Return how long a call waits for a permit when every endpoint has a limit.

    :param states: list of :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param demand: :class:`Demand`.
    :param waiting: number of calls that wait before it.
    :param now_s: current time in seconds.
    :returns: seconds, or None when an endpoint without a limit accepts the call, or
        none does.
    """
    usable = [s for s in states if may_be_sent(s, demand, now_s)]
    intervals_s = [s.allowance.interval_s() for s in usable]
    if not intervals_s or not all(intervals_s):
        return None
    return (waiting + 1) / sum(1.0 / interval_s for interval_s in intervals_s)


def is_available(state, now_s):
    """Tell whether an endpoint is not ejected and has a free slot.

    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param now_s: current time in seconds.
    """
    return not state.is_ejected(now_s) and has_free_slot(state, now_s)


def choose(states, demand, now_s, random):
    """Choose the available endpoint with the lowest relative load.

    :param states: list of :class:`cicadaplank.gateway.endpoints.EndpointState` of the
        service.
    :param demand: :class:`Demand`.
    :param now_s: current time in seconds.
    :param random: ``random.Random``; breaks ties.
    :returns: the chosen state, or None when no suitable endpoint has a free slot.
    """
    best, best_cost = None, float("inf")
    spread = min(MAX_SPREAD, MIN_SPREAD + SPREAD_PER_INSTANCE * (demand.instances - 1))
    for state in states:
        if not accepts(state, demand) or not is_available(state, now_s):
            continue
        load = cost(state, demand, now_s) + random.uniform(0.0, spread)
        if load < best_cost:
            best, best_cost = state, load
    return best
