"""Steps for the admission queue."""

import random

import behave

from cicadaplank.requests import admission

SEED = 3
ROW = "drafts"


def waiting(name, priority=5, deadline_s=60.0, row=ROW):
    """Return a request that waits."""
    return admission.QueuedRequest(str(name), row, "portal", priority, deadline_s)


@behave.given("an admission queue with an objective of 0.88 s")
def step_queue(context):
    context.queue = admission.AdmissionQueue(0.88, max_queued=100)


@behave.when('the admission queue meets the case "{case}"')
def step_case(context, case):
    queue = context.queue
    context.request = "it"
    if case == "is past its deadline":
        context.actions = queue.submit(waiting("it", deadline_s=1.0), 1.0)
        return
    if case in (
        "reaches its deadline in the queue",
        "waits longer than the objective allows",
    ):
        deadline_s = 0.2 if "deadline" in case else 60.0
        assert not queue.submit(waiting("it", deadline_s=deadline_s), 0.0)
        context.actions = queue.tick(0.1)
        assert not context.actions
        assert queue.next_expiry_s() == min(0.44, deadline_s), queue.next_expiry_s()
        assert queue.first(ROW, queue.next_expiry_s()) is None
        context.actions = queue.tick(queue.next_expiry_s())
        return
    count = 20 if case == "would wait longer than that" else 100
    if count == 20:
        # Ten starts in a second, then twenty requests ahead.
        for number in range(10):
            queue.submit(waiting(f"started {number}"), number * 0.1)
            queue.started(f"started {number}", number * 0.1 + 0.05)
    for number in range(count):
        last = queue.submit(waiting("it" if number == 99 else number), 1.0)
        if last and count == 20:
            context.request = str(number)
            context.actions = last
            return
    if case == "finds the queue full":
        context.request = "late"
        context.actions = queue.submit(waiting("late"), 1.0)
    else:
        context.actions = queue.submit(waiting("urgent", priority=1), 1.0)


@behave.then(
    'the admission queue sheds that request as "{reason}" with a time to retry'
)
def step_sheds(context, reason):
    (action,) = context.actions
    assert (action.request, action.reason) == (context.request, reason), action
    assert 1.0 <= action.retry_after_s <= admission.MAX_RETRY_AFTER_S, action
    assert context.queue.counts[f"shed_{reason}"] == 1, context.queue.counts


@behave.when("the admission queue sees {count:d} first tokens after {elapsed_s:g} s")
def step_first_tokens(context, count, elapsed_s):
    for number in range(count):
        context.queue.first_token_seen(ROW, elapsed_s, number * 0.1)


@behave.then("the admission queue allows a wait between {least_s:g} s and {most_s:g} s")
def step_allows(context, least_s, most_s):
    limit_s = context.queue.max_wait_s(ROW)
    assert least_s <= limit_s <= most_s, limit_s


@behave.when('the admission queue takes requests of the priorities "{priorities}"')
def step_takes(context, priorities):
    for number, priority in enumerate(priorities.split(","), 1):
        context.queue.submit(waiting(number, int(priority)), 0.0)


@behave.then('the admission queue starts them in the order "{order}"')
def step_order(context, order):
    started = []
    while (first := context.queue.first(ROW, 0.1)) is not None:
        context.queue.started(first.request, 0.1)
        started.append(first.request)
    assert started == order.split(", "), started
    assert len(context.queue) == 0


@behave.when(
    "the admission queue gets 40/s, a quarter urgent, and starts 20/s for 20 s"
)
def step_overload(context):
    rng = random.Random(SEED)
    queue = context.queue
    context.arrived, context.started, context.sheds = {}, [], []
    for step in range(2000):
        now_s = step * 0.01
        actions = queue.tick(now_s)
        if rng.random() < 0.4:
            name = str(step)
            context.arrived[name] = (now_s, rng.random() < 0.25)
            priority = 1 if context.arrived[name][1] else 5
            actions += queue.submit(waiting(name, priority), now_s)
        context.sheds += [now_s - context.arrived[each.request][0] for each in actions]
        first = queue.first(ROW, now_s) if step % 5 == 0 else None
        if first is not None:
            queue.started(first.request, now_s)
            context.started.append(first.request)


@behave.then("the admission queue started at least 98% of the urgent requests")
def step_urgent(context):
    urgent = {name for name, (_, is_urgent) in context.arrived.items() if is_urgent}
    share = len(urgent & set(context.started)) / len(urgent)
    assert share >= 0.98, share


@behave.then("the admission queue started at least 18 requests a second")
def step_rate(context):
    assert len(context.started) / 20 >= 18, len(context.started) / 20


@behave.then("the admission queue shed no request after more than 0.6 s")
def step_early(context):
    assert context.sheds
    assert max(context.sheds) <= 0.6, max(context.sheds)


@behave.when("the admission queue starts a later request {count:d} times")
def step_passes(context, count):
    queue = context.queue
    queue.submit(waiting("first"), 0.0)
    for number in range(count):
        queue.submit(waiting(number), 0.0)
        queue.submit(waiting(f"other {number}"), 0.0)
        assert len(queue.dispatch_candidates(ROW, 0.1)) > 1
        queue.started(str(number), 0.1)


@behave.then("the admission queue offers only the first request")
def step_only_first(context):
    names = [each.request for each in context.queue.dispatch_candidates(ROW, 0.1)]
    assert names == ["first"], names


@behave.when("the caller of the first request disconnects")
def step_disconnects(context):
    context.queue.withdrawn("1", 0.0)
    assert context.queue.counts["withdrawn"] == 1


@behave.when("the admission queue starts 1/s at once for 20 s and then gets 30")
def step_burst(context):
    for second in range(20):
        context.queue.submit(waiting(f"quiet {second}"), float(second))
        context.queue.started(f"quiet {second}", float(second))
    context.actions = ()
    for number in range(30):
        context.actions += context.queue.submit(waiting(number), 30.0)


@behave.then("the admission queue sheds nothing")
def step_nothing(context):
    assert not context.actions, context.actions


@behave.when("the admission queue meets {count:d} rows one after the other")
def step_rows(context, count):
    for number in range(count):
        row = f"row {number}"
        context.queue.submit(waiting(number, row=row), 0.0)
        context.queue.started(str(number), 0.0)


@behave.then("the admission queue has counted {count:d} rows that it dropped")
def step_rows_dropped(context, count):
    assert context.queue.counts["rows_dropped"] == count, context.queue.counts


@behave.when("the admission queue holds 50 requests of a row without endpoints")
def step_stuck(context):
    for number in range(50):
        context.queue.submit(waiting(number, 1, row="stuck"), 0.0)
    context.actions = context.queue.submit(waiting("other"), 0.0)


@behave.then("the admission queue offers a request of another row")
def step_other_row(context):
    assert not context.actions, context.actions
    assert context.queue.first(ROW, 0.1).request == "other"
