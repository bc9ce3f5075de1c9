"""Goodput under overload, with and without shedding.

Goodput counts the requests whose first token arrives within the objective. The rated
load is the highest of ``LADDER_PER_S`` at which ``RATED_SHARE`` of the requests meet
the objective; the figures are the goodput at two and four times that load as a share
of the goodput at it.
"""

import random

from bench import engines
from cicadaplank.requests import admission

RUN_S = 60.0
WARM_UP_S = 15.0
PREFIXES = 200
LADDER_PER_S = (30.0, 40.0, 45.0, 50.0, 55.0, 60.0, 65.0, 70.0, 75.0, 80.0)
RATED_SHARE = 0.99
PRIORITIES = (1, 5, 9)


class Result:
    """Figures of one run.

    :param fleet: :class:`bench.engines.Fleet` after its run.
    """

    def __init__(self, fleet):
        counted = [
            request
            for request in fleet.requests.values()
            if WARM_UP_S <= request.arrived_s < RUN_S
        ]
        good = [request for request in counted if meets_objective(request)]
        self.share = len(good) / len(counted)
        self.goodput_per_s = len(good) / (RUN_S - WARM_UP_S)
        self.hit_share = sum(request.hit for request in good) / max(1, len(good))
        shed = [request for request in counted if request.shed_s is not None]
        waits = [request.shed_s - request.arrived_s for request in shed]
        self.shed_p95_s = engines.percentile(waits, 0.95) if waits else 0.0
        late = [request for request in counted if request.shed_s is None]
        self.late_share = (len(late) - len(good)) / len(counted)
        self.by_priority = {
            priority: sum(request.priority == priority for request in good)
            / max(1, sum(request.priority == priority for request in counted))
            for priority in PRIORITIES
        }


def meets_objective(request):
    """Tell whether the first token of a request arrived in time."""
    if request.first_token_s is None:
        return False
    return request.first_token_s - request.arrived_s <= engines.OBJECTIVE_S


def measure(seed, rate_per_s, queue):
    """Run the traffic at one load.

    :param seed: seed of the traffic.
    :param rate_per_s: offered requests a second.
    :param queue: function that returns the admission queue of an entry instance.
    :returns: :class:`Result`.
    """
    arrivals = engines.poisson(
        random.Random(seed), rate_per_s, RUN_S, PREFIXES, PRIORITIES
    )
    fleet = engines.Fleet(seed, queue=queue)
    fleet.run(arrivals, RUN_S + 2.0)
    return Result(fleet)


def rated(seed):
    """Return the rated load in requests a second, and its :class:`Result`."""
    best = None
    for rate_per_s in LADDER_PER_S:
        result = measure(seed, rate_per_s, admission.AdmissionQueue)
        if best is not None and result.share < RATED_SHARE:
            break
        best = (rate_per_s, result)
    return best


def run(seed):
    """Measure the goodput.

    :param seed: seed of the traffic.
    :returns: dict of ``requests.*goodput*`` figures.
    """
    rate_per_s, at_rated = rated(seed)
    figures = {
        "requests.goodput_rated_per_s": rate_per_s,
        "requests.goodput_rated_share": at_rated.share,
    }
    for times in (2, 4):
        shedding = measure(seed, times * rate_per_s, admission.AdmissionQueue)
        without = measure(seed, times * rate_per_s, engines.NoShedding)
        key = f"{times}x_share"
        reference = at_rated.goodput_per_s
        figures |= {
            f"requests.goodput_{key}": shedding.goodput_per_s / reference,
            f"requests.baseline_goodput_{key}": without.goodput_per_s / reference,
            f"requests.goodput_{times}x_late_share": shedding.late_share,
            f"requests.goodput_{times}x_hit_share": shedding.hit_share,
            f"requests.goodput_{times}x_shed_p95_s": shedding.shed_p95_s,
            f"requests.goodput_{times}x_urgent_share": shedding.by_priority[1],
        }
    return figures
