"""Steps for the decisions of the gateway when there is too little room."""

import random

import behave

from bench import burst
from cicadaplank.gateway import endpoints, placement, service_times, waiting
from cicadaplank.platform import headers

NOW_S = 10.0


def figures(**changed):
    """Return the figures of an engine."""
    given = {
        "step_s": 0.008,
        "step_per_call_s": 0.0,
        "step_per_token_s": 0.0,
        "read_tokens_per_s": 30_000.0,
        "chunk_tokens": 2048,
        "steps_per_pass": 5,
        "usual": service_times.Work(900, 100),
        "slots": 12,
    }
    return service_times.EngineFigures(**given | changed)


def state(slots=12):
    """Return the state of an endpoint."""
    return endpoints.EndpointState(
        endpoints.Endpoint("x", "s", "10.0.0.1", 80, "a", slots, False, {})
    )


@behave.given("the replay of a burst on uneven engines, seed {seed:d}")
def step_uneven_burst(context, seed):
    context.seed = seed


@behave.when("it is played with and without the load that engines report")
def step_play_both(context):
    context.days = {}
    for reports in (False, True):
        day = burst.Day(
            context.seed, placement.choose, paces=burst.UNEVEN, reports=reports
        )
        context.days[reports] = (day.run(), day)


@behave.then("fewer calls are late, and fewer are turned away by full engines")
def step_fewer(context):
    late, away = (
        {reports: count(day) for reports, (_, day) in context.days.items()}
        for count in (
            lambda day: sum(request.is_late for request in day.requests),
            lambda day: day.turned_away,
        )
    )
    assert late[True] < late[False], late
    assert away[True] < away[False], away


@behave.then("more worth is served with the reports than without them")
def step_worth_of_reports(context):
    worth = {reports: worth for reports, (worth, _) in context.days.items()}
    assert worth[True] > worth[False], worth


@behave.given(
    "engines that read {rate:d} tokens a second in steps of {step_ms:d} ms,"
    " {steps:d} steps a pass"
)
def step_engines(context, rate, step_ms, steps):
    context.figures = figures(
        read_tokens_per_s=rate, step_s=step_ms / 1000, steps_per_pass=steps
    )


@behave.when(
    "a prompt of {prompt:d} tokens goes to one with {calls:d} of {slots:d} calls,"
    " {unread:d} tokens to read and pace {pace:f}"
)
def step_prompt(context, prompt, calls, slots, unread, pace):
    situation = service_times.Situation(calls, slots, unread, pace)
    work = service_times.Work(prompt, 100)
    context.predicted_s = service_times.first_event_s(context.figures, work, situation)


@behave.then("its first event is predicted after {low:f} to {high:f} s")
def step_predicted(context, low, high):
    assert low <= context.predicted_s <= high, context.predicted_s


@behave.given("an endpoint that reported the paces {paces}")
def step_paces(context, paces):
    context.state = state()
    for pace in paces.replace(" and ", ", ").split(", "):
        report = service_times.LoadReport(1, 0, 12, float(pace))
        context.state.load.record(report, 0, NOW_S)


@behave.then(
    "its pace is near {first:f} at once and below {later:f} after {wait_s:d} s"
)
def step_pace(context, first, later, wait_s):
    assert abs(context.state.load.pace(NOW_S) - first) < 0.2
    assert context.state.load.pace(NOW_S + wait_s) < later


@behave.then(
    "a report without a pace does not make it {pace:f} again after {wait_s:d} s"
)
def step_report_without_pace(context, pace, wait_s):
    now_s = NOW_S + wait_s
    context.state.load.record(service_times.LoadReport(1, 0, 12), 0, now_s)
    assert context.state.load.pace(now_s) < pace - 0.2


@behave.given(
    "an endpoint with {slots:d} slots that reported {running:d} running calls"
)
def step_reported_full(context, slots, running):
    context.state = state(slots)
    report = service_times.LoadReport(running, 0, slots, 1.0)
    context.state.load.record(report, 0, NOW_S)


@behave.then("it has no free slot at once and one after {wait_s:d} s")
def step_free_later(context, wait_s):
    assert not placement.has_free_slot(context.state, NOW_S)
    assert placement.has_free_slot(context.state, NOW_S + wait_s)


@behave.then('the load report "{value}" is read as {read}')
def step_load_report(context, value, read):
    fields = [(b"X-Server-Load", value.encode())]
    head = headers.PlatformDialect().read_response(200, fields)
    if read == "malformed":
        assert head.malformed == ("X-Server-Load",), head
        assert head.load is None
        return
    *counts, _, pace = read.split()
    pace = None if pace == "pace" else float(pace)
    running, waiting_, slots = map(int, counts)
    assert not head.malformed
    assert head.load == service_times.LoadReport(running, waiting_, slots, pace)


def queued(name, priority=1, arrived_s=0.0, start_by_s=0.4, work_s=0.1):
    """Return the queue entry of a call that may wait for 5 s."""
    return waiting.QueuedCall(
        name, priority, arrived_s, start_by_s, arrived_s + 5.0, work_s
    )


@behave.given("a full waiting room with calls of priority {priority:d}")
def step_full_room(context, priority):
    context.queue = waiting.CallQueue()
    context.queue.sheds = True
    for number in range(waiting.MAX_WAITING):
        assert not context.queue.admit(queued(number, priority), 0.0)


@behave.when("a call of priority {priority:d} arrives there")
def step_arrives_there(context, priority):
    context.displaced = context.queue.displace(queued("new", priority), 0.0)
    context.reason = context.queue.admit(queued("new", priority), 0.0)


@behave.then("a call of priority {priority:d} is turned away in its place")
def step_displaced(context, priority):
    assert context.displaced.priority == priority
    assert not context.reason
    assert len(context.queue) == waiting.MAX_WAITING
    assert context.queue.refused["displaced"] == 1


@behave.then("the call of priority {priority:d} starts next")
def step_next(context, priority):
    assert context.queue.by_urgency(0.0)[0].priority == priority


@behave.given(
    "calls with short prompts and half as many with long ones, more than can be served"
)
def step_mixed_prompts(context):
    context.short_s, context.long_s = 0.05, 0.25


def replay(context, sheds, seed=1):
    """Serve calls one after the other, each for the time of its work.

    :returns: lists of the names of calls that started in time, and of all that started.
    """
    rng = random.Random(seed)
    mean_s = (2 * context.short_s + context.long_s) / 3
    queue, now_s, free_s = waiting.CallQueue(), 0.0, 0.0
    queue.sheds = sheds
    in_time, started, asked = [], [], []
    while now_s < 60.0:
        # One and a half times the calls that can be served.
        now_s += rng.expovariate(1.5 / mean_s)
        while free_s <= now_s and len(queue):
            entry = queue.by_urgency(free_s)[0]
            queue.dequeue(entry, free_s)
            started.append(entry.call)
            if free_s <= entry.start_by_s:
                in_time.append(entry.call)
            free_s += entry.work_s
            queue.pop_expired(free_s)
        free_s = max(free_s, now_s)
        is_long = rng.randrange(3) == 0
        name = ("long" if is_long else "short", len(asked))
        work_s = context.long_s if is_long else context.short_s
        asked.append(name)
        queue.admit(queued(name, 1, now_s, now_s + 0.4, work_s), now_s, 0.0)
    return in_time, started, asked


@behave.when(
    "they are replayed for 60 s by the order of arrival and by the work of the calls"
)
def step_replay_prompts(context):
    context.by_arrival = replay(context, False)
    context.by_work = replay(context, True)


@behave.then("more calls start in time by the work")
def step_more_in_time(context):
    by_arrival, by_work = len(context.by_arrival[0]), len(context.by_work[0])
    assert by_work > by_arrival, (by_work, by_arrival)


@behave.then("long prompts start at least half as often as all")
def step_long_prompts(context):
    _, started, asked = context.by_work
    share = {
        kind: sum(1 for name in started if name[0] in kind)
        / sum(1 for name in asked if name[0] in kind)
        for kind in (("long",), ("long", "short"))
    }
    long, every = share.values()
    assert long >= 0.5 * every, share


@behave.then("one with {calls:d} calls that has not reported costs a generation more")
def step_not_reported(context, calls):
    other = state()
    for _ in range(calls):
        other.call_started()
        other.load.call_sent(900)
    generation = placement.Generation(figures(), service_times.Work(900, 100), 0.4)
    demand = placement.Demand("s", "a", generation=generation)
    costs = [placement.cost(each, demand, NOW_S) for each in (context.state, other)]
    assert costs[0] < costs[1], costs


@behave.given("engines whose usual prompt has {tokens:d} tokens")
def step_usual_prompt(context, tokens):
    context.figures = figures(usual=service_times.Work(tokens, 100))


@behave.then("a call that states {stated} tokens counts as {counted:d}")
def step_counted_work(context, stated, counted):
    claimed = None if stated == "no" else service_times.Work(float(stated), 100)
    work = service_times.bounded_work(context.figures, claimed)
    assert work.prompt_tokens == counted, work


@behave.given(
    "calls of priority {priority:d} that can start at {starts:d} a second,"
    " and {count:d} that wait"
)
def step_waiting_calls(context, priority, starts, count):
    context.queue = waiting.CallQueue()
    context.queue.sheds = True
    for _ in range(starts):
        context.queue.record_start(NOW_S)
    context.calls = [queued(number, priority, NOW_S) for number in range(count)]
    for entry in context.calls:
        assert not context.queue.admit(entry, NOW_S, 0.0)


@behave.when("the room is checked")
def step_check_room(context):
    context.refused = context.queue.pop_expired(NOW_S + 0.1)


@behave.then("the last ones are refused")
def step_last_refused(context):
    names = [entry.call for entry in context.refused]
    assert names
    assert sorted(names) == list(range(min(names), len(context.calls))), names


@behave.then("those that stay are expected to start within their limit")
def step_stay(context):
    stay = context.queue.by_urgency(NOW_S + 0.1)
    last_s = NOW_S + 0.1 + len(stay) / 10
    assert len(stay) and last_s <= max(entry.wait_until_s for entry in stay)
