"""Requests through the decision objects, with faults injected from the seed."""

from bench import inmemory
from cicadaplank.messages import types
from cicadaplank.requests import retries, routing, verdicts
from cicadaplank.world import contracts, machines

REQUESTS = 20_000
RETRY_REQUESTS = 4_000
REPORT_INTERVAL_S = 1.0
INTERVAL_S = 0.01
KINDS = ("stream", "stream", "whole", "once")
POISON_EVERY = 400
OUTAGE_EVERY_S = 40.0
OUTAGE_S = 2.0
# Probability at each point where the fault can occur.
RATES = {
    "agent_killed": 0.002,
    "caller_gone": 0.02,
    "claimer_paused": 0.003,
    "connection_refused": 0.01,
    "engine_crash": 0.003,
    "engine_crossed": 0.002,
    "engine_lost": 0.002,
    "engine_refused": 0.01,
    "engine_status_503": 0.01,
    "engine_token_lost": 0.002,
    "engine_token_lost_midway": 0.005,
    "engine_truncated": 0.002,
    "entry_killed": 0.001,
    "entry_killed_after_write": 0.001,
    "last_part_lost": 0.002,
    "late_response": 0.005,
    "link_silent": 0.001,
    "lost_after_write": 0.005,
    "lost_before_write": 0.002,
    "lost_during_write": 0.003,
    "other_weights": 0.002,
    "part_crossed": 0.002,
    "part_duplicated": 0.005,
    "part_lost": 0.002,
    "table_effect_delayed": 0.01,
    "table_read_failed": 0.1,
    "table_request_lost": 0.01,
    "table_response_lost": 0.02,
    "table_silent": 0.001,
    "table_unavailable": 0.01,
    "work_duplicated": 0.005,
}


def expected(call):
    """Return the tokens of a call's only right answer."""
    return [inmemory.token(call.name, i) + b"\n" for i in range(inmemory.TOKENS)]


def received(sent):
    """Return the token lines that the caller received."""
    return b"".join(sent.parts).splitlines(keepends=True)


def is_crossed(sent):
    """Tell whether the caller received anything of another request's answer.

    Tokens of other weights are wrong only in a complete answer: the engine names its
    weights at the end of a stream.
    """
    lines = [line.replace(inmemory.OTHER_MARK, b"") for line in received(sent)]
    return any(line not in expected(sent.call) for line in lines)


def is_wrong(sent):
    """Tell whether an answer was not final, was truncated, or has repeated tokens."""
    lines = received(sent)
    if sent.complete:
        return lines != expected(sent.call)
    if sent.outcome is None or sent.finals > 1:
        return True
    unmarked = [line.replace(inmemory.OTHER_MARK, b"") for line in lines]
    return unmarked != expected(sent.call)[: len(lines)]


def repeat_unless_done(fleet, sent):
    """Send a call again as a caller would, at a random entry."""
    call = sent.call
    again = not sent.complete and len(call.sent) < inmemory.MAX_SENDS
    wanted = call.kind == "once" or call.poison or sent.outcome == "broken"
    if sent.complete and call.kind == "once":
        # A caller whose connection breaks while the answer arrives sends it again.
        again = len(call.sent) == 1 and fleet.rng.random() < 0.1
    if again and wanted:
        entry = fleet.rng.choice(fleet.entries)
        fleet.at(fleet.rng.uniform(0.0, 1.0), lambda: fleet.send(call, entry))


def faulty_run(seed, requests=REQUESTS):
    """Send requests with faults.

    :param seed: seed of all random choices.
    :param requests: number of calls; repeats come on top.
    :returns: :class:`inmemory.Fleet` after the last event.
    """
    fleet = inmemory.Fleet(seed, RATES)
    fleet.on_final = lambda sent: repeat_unless_done(fleet, sent)
    for agent in list(fleet.agents.values())[::3]:
        agent.can_resume = False
    for agent in list(fleet.agents.values())[1::3]:
        agent.names_weights = False
    for number in range(requests):
        kind = KINDS[number % len(KINDS)]
        call = inmemory.Call(f"c{number}", kind, number % POISON_EVERY == 1)

        def start(call=call):
            fleet.send(call, fleet.rng.choice(fleet.entries))

        fleet.at(number * INTERVAL_S, start)
    for number in range(int(requests * INTERVAL_S / OUTAGE_EVERY_S)):
        start_s = (number + 0.5) * OUTAGE_EVERY_S
        fleet.at(start_s, lambda: outage(fleet, True))
        fleet.at(start_s + OUTAGE_S, lambda: outage(fleet, False))
    fleet.run()
    return fleet


def outage(fleet, down):
    """Start or end an outage of the table service."""
    fleet.table.down = down
    fleet.faults.seen["table_outage"] += down


def count_violations(fleet):
    """Compare what callers were told with what really ran.

    :param fleet: :class:`inmemory.Fleet` after its last event.
    :returns: dict of counts.
    """
    not_run = verdicts.Verdict.NOT_RUN.value
    sent = list(fleet.sent.values())
    once = [name for name, call in fleet.calls.items() if call.kind == "once"]
    return {
        "lost": sum(is_wrong(s) for s in sent),
        "crossed": sum(is_crossed(s) for s in sent),
        "not_run_but_ran": sum(
            s.outcome == not_run and fleet.runs[s.identifier] > 0 for s in sent
        ),
        "executed_twice": sum(fleet.call_runs[name] > 1 for name in once),
    }


def add_routers(fleet, duration_s):
    """Let every entry choose with a router, which ejects failing endpoints.

    :param fleet: :class:`inmemory.Fleet`.
    :param duration_s: time for which endpoints report.
    """
    names = tuple(fleet.agents)
    limits = (contracts.ClientLimit("*", 1e6),)
    row = contracts.Row(
        inmemory.ROW, "model", "1", "digest-1", holders=names, limits=limits
    )
    configuration = contracts.Configuration(1, "bench", contracts.Table((row,)))
    instances = [machines.Instance(n, "model", "", 0, "r", "d", "") for n in names]
    routers = {}
    for entry in fleet.entries:
        router = routing.Router("r", "d", fleet.rng)
        router.instances_listed(instances, fleet.now_s)
        router.configuration_accepted(configuration, fleet.now_s)
        routers[entry.name] = router

    def choose(route, now_s, entry):
        query = routing.RoutingQuery(inmemory.ROW, "client", "", route.avoid, True)
        found = routers[entry.name].choose(query, now_s, now_s)
        return found.endpoint if isinstance(found, routing.EndpointChoice) else found

    def ended(entry, action):
        outcome = routing.Outcome.FAILED if action.reason else routing.Outcome.ANSWERED
        routers[entry.name].finished(action.attempt, outcome, fleet.now_s, action.load)

    def report():
        message = types.EndpointReport({inmemory.ROW: "digest-1"}, 0, 16, "ready")
        for router in routers.values():
            for name in names:
                router.endpoint_reported(name, message, fleet.now_s)

    fleet.choose = choose
    fleet.on_attempt = lambda entry, action: routers[entry.name].dispatched(
        action.work.attempt, action.endpoint, "", fleet.now_s
    )
    fleet.on_attempt_ended = ended
    for number in range(int(duration_s / REPORT_INTERVAL_S) + 1):
        fleet.at(number * REPORT_INTERVAL_S, report)


def amplification(
    seed, budget, requests=RETRY_REQUESTS, entry_count=3, is_routed=False
):
    """Return attempts for each request while a third of the endpoints fail.

    :param seed: seed of all random choices.
    :param budget: :class:`retries.RetryBudget` shared by all entries, or None.
    :param requests: number of requests.
    :param entry_count: entry instances.
    :param is_routed: True to choose with routers, which eject failing endpoints; False
        to choose at random.
    :returns: attempts divided by requests, and the share of answered requests.
    """
    fleet = inmemory.Fleet(seed, entry_count=entry_count, budget=budget)
    for agent in list(fleet.agents.values())[::3]:
        agent.broken = True
    if is_routed:
        add_routers(fleet, requests * INTERVAL_S)
    for number in range(requests):
        call = inmemory.Call(f"r{number}", "whole")
        entry = fleet.entries[number % len(fleet.entries)]
        fleet.at(number * INTERVAL_S, lambda c=call, e=entry: fleet.send(c, e))
    fleet.run()
    answered = sum(sent.complete for sent in fleet.sent.values())
    return fleet.attempts / requests, answered / requests


def run(seed):
    """Measure lost, crossed and repeated requests, and retry amplification.

    :param seed: seed of all random choices.
    :returns: dict from key to figure.
    """
    fleet = faulty_run(seed)
    results = {f"requests.{k}": float(v) for k, v in count_violations(fleet).items()}
    results["requests.fault_kinds"] = float(len(fleet.faults.seen))
    results["requests.sent"] = float(len(fleet.sent))
    results["requests.faults"] = float(fleet.faults.seen.total())
    ratio, answered = amplification(seed, None)
    results["retries.amplification"] = ratio
    results["retries.answered_share"] = answered
    ratio, answered = amplification(seed, None, is_routed=True)
    results["retries.routed_amplification"] = ratio
    results["retries.routed_answered_share"] = answered
    unlimited = retries.RetryBudget(1e9, 1e9, 10**9)
    ratio, answered = amplification(seed, unlimited)
    results["retries.baseline_amplification"] = ratio
    results["retries.baseline_answered_share"] = answered
    return results
