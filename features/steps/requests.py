"""Steps for requests through the decision objects, with messages in memory."""

import json
import random

import behave

from bench import inmemory
from bench import requests as bench_requests
from cicadaplank.agent import executions
from cicadaplank.members import draining
from cicadaplank.messages import types
from cicadaplank.requests import (
    answers,
    claims,
    crash_tracking,
    dispatcher,
    exchange,
    retries,
)

SETTLED_S = 60.0
SEED = 11


def send(context, kind, name="call", entry=0, poison=False):
    """Send the first request of a call."""
    call = inmemory.Call(name, kind, poison)
    context.call = call
    return context.fleet.send(call, context.fleet.entries[entry])


def last(context):
    """Return the last request that was sent."""
    return context.call.sent[-1]


def outcome_of(sent):
    """Return the outcome of a request, ``complete`` for a whole answer."""
    return "complete" if sent.complete else sent.outcome


def error_of(sent):
    """Return the error document of a request."""
    return json.loads(sent.document)["error"]


def all_sent(context):
    """Return every request that was sent."""
    return list(context.fleet.sent.values())


@behave.given("a request fleet of {agents:d} agents and {entries:d} entries")
def step_fleet(context, agents, entries):
    context.fleet = inmemory.Fleet(SEED, {}, entries, agents)
    # After the first token of a stream, and before a whole answer.
    context.fleet.loss_delay_s = 0.03


@behave.given("request engines that cannot resume")
def step_no_resume(context):
    for agent in context.fleet.agents.values():
        agent.can_resume = False


@behave.given("request engines that name their weights last")
def step_late_names(context):
    for agent in context.fleet.agents.values():
        agent.names_weights = False


@behave.given("request agent {name} serves other weights")
def step_other_weights(context, name):
    context.fleet.agents[name].weights = "digest-2"


@behave.given("a request table service that is silent")
def step_table_silent(context):
    context.fleet.table.silent = True


@behave.when("a {kind} request meets the faults {faults}")
def step_faults(context, kind, faults):
    if faults != "none":
        context.fleet.faults.once.extend(faults.split())
    send(context, kind)
    context.fleet.run(0.5)
    assert not context.fleet.faults.once, "a fault was not injected"


@behave.when("a stream request loses its connection to a0 after some tokens")
def step_lost_after_tokens(context):
    fleet = context.fleet
    fleet.choose = lambda route, now_s, entry: "a1" if "a0" in route.avoid else "a0"
    entry = fleet.entries[0]
    fleet.at(0.07, lambda: fleet.disconnect(entry, fleet.agents["a0"]))
    send(context, "stream")
    fleet.run(SETTLED_S)


@behave.when(
    "a {kind} request waits {wait:g} of its {deadline:g} seconds for a connection to"
    " its agent"
)
def step_slow_dial(context, kind, wait, deadline):
    assert deadline == inmemory.DEADLINE_S, inmemory.DEADLINE_S
    context.fleet.dial_s = wait
    send(context, kind)
    context.fleet.run(SETTLED_S)


@behave.when("a {kind} request is left by its caller after {delay:g} seconds")
def step_leave(context, kind, delay):
    sent = send(context, kind)
    context.fleet.at(delay, lambda: context.fleet.leave(sent))
    context.fleet.run(delay + 1e-6)


@behave.when("a stream request is running and every request agent but the last drains")
def step_drain(context):
    fleet = context.fleet
    fleet.choose = lambda route, now_s, entry: "a1" if "a0" in route.avoid else "a0"
    send(context, "stream")
    fleet.run(0.05)
    for agent in list(fleet.agents.values())[:-1]:
        agent.draining.stop_requested(fleet.now_s)


@behave.when(
    "a whole request is running and its request agent drains with a limit of {limit:g}"
)
def step_drain_limit(context, limit):
    fleet = context.fleet
    send(context, "whole")
    fleet.run(0.01)
    agent = fleet.agents["a0"]
    agent.draining.set_limits(draining.StopLimits(limit))
    agent.draining.stop_requested(fleet.now_s)

    def reach_limit():
        for action in agent.draining.tick(fleet.now_s):
            if isinstance(action, draining.Abort):
                agent.apply(agent.executions.abort(action, fleet.now_s))

    fleet.at(limit, reach_limit)


@behave.when(
    "a {kind} request is answered because its entry stops after {delay:g} seconds"
)
def step_stop_entry(context, kind, delay):
    send(context, kind)
    context.fleet.entries[0].later(delay, "stop")
    context.fleet.run(delay + 0.01)


@behave.when("requests reach the bound of {bound}")
def step_bound(context, bound):
    fleet = context.fleet
    if bound == "requests":
        context.last = send_many(fleet, dispatcher.MAX_REQUESTS + 1, "stream")
    elif bound == "claims":
        fleet.table.silent = True
        context.last = send_many(
            fleet, claims.MAX_PENDING_WRITES_FOR_CLAIMS + 1, "once"
        )
    elif bound == "executions":
        agent = fleet.agents["a0"]
        for number in range(executions.MAX_EXECUTIONS + 1):
            work = types.Work(f"w{number}.1", "model", "client", "POST", "/run", b"x")
            context.last = agent.executions.work("link", work, fleet.now_s)
    else:
        context.last = receive_parts(fleet.now_s, bound == "buffered bytes")


def send_many(fleet, count, kind):
    """Send more calls than fit; return the last request."""
    for number in range(count):
        sent = fleet.send(inmemory.Call(f"c{number}", kind), fleet.entries[0])
    fleet.run(0.0015)
    return sent


def receive_parts(now_s, is_spread):
    """Receive answers in parts until a final answer; return its actions."""
    desk = dispatcher.Dispatcher("e", "e.1", lambda r, n: "a", random.Random(SEED))
    part = bytes(1024 * 1024)
    for number in range(20 if is_spread else 1):
        wanted = exchange.Request(
            f"r{number}", "row", "client", "POST", "/", b"x", now_s + 4.0
        )
        (sent,) = desk.request(wanted, now_s)
        assert desk.begin_write(sent.work, now_s)
        for index in range(5 if is_spread else 9):
            message = types.WorkData(sent.work.attempt, index * len(part), part)
            taken = desk.message("a", message, now_s)
            if taken:
                return taken
    return ()


@behave.when("{count:d} once requests are sent one after the other")
def step_one_by_one(context, count):
    for number in range(count):
        send(context, "once", f"call{number}")
        context.fleet.run(3.0 if number == 0 else 0.02)
    context.fleet.run(SETTLED_S)


@behave.when("{count:d} once requests are sent at the same time")
def step_at_once(context, count):
    for number in range(count):
        send(context, "once", f"call{number}")
    context.fleet.run(SETTLED_S)


@behave.when("work with {left:g} seconds left reaches a request agent")
def step_late_work(context, left):
    work = types.Work("late.1", "model", "client", "POST", "/run", b"x", True, 5, left)
    agent = context.fleet.agents["a0"]
    context.taken = agent.executions.work("link", work, context.fleet.now_s)


@behave.when(
    "work of generation {first:d} and then of generation {second:d} reaches a request"
    " agent"
)
def step_generations(context, first, second):
    agent = context.fleet.agents["a0"]
    context.taken = ()
    for generation in (first, second):
        work = types.Work(
            f"old-{generation}.1",
            "model",
            "client",
            "POST",
            "/run",
            b"x",
            once_key="key",
            generation=generation,
        )
        context.taken += agent.executions.work("link", work, context.fleet.now_s)


@behave.when("{count:d} calls run through a faulty request fleet with seed {seed:d}")
def step_faulty_run(context, count, seed):
    context.fleet = bench_requests.faulty_run(seed, count)


@behave.when("a third of the request endpoints fail")
def step_third_fails(context):
    context.ratio, _ = bench_requests.amplification(SEED, None, 1_500, 1)
    unlimited = retries.RetryBudget(1e9, 1e9, 10**9)
    context.unlimited_ratio, _ = bench_requests.amplification(SEED, unlimited, 300)


@behave.when("the request call is sent again {delay:g} seconds later")
def step_again(context, delay):
    fleet = context.fleet
    # The first request was followed for half a second.
    fleet.run(max(0.0, delay - 0.5))
    fleet.send(context.call, fleet.entries[-1])
    fleet.run(SETTLED_S)


@behave.when("the request key is sent again with other content")
def step_other_content(context):
    fleet = context.fleet
    fleet.send(context.call, fleet.entries[-1], content="other")
    fleet.run(SETTLED_S)


@behave.when("a once request loses its entry after {delay:g} milliseconds")
def step_kill_entry(context, delay):
    send(context, "once")
    context.fleet.at(delay / 1000, context.fleet.entries[0].kill)
    context.fleet.run(0.5)


@behave.when("the same once request is sent to both request entries")
def step_both_entries(context):
    send(context, "once")
    context.fleet.send(context.call, context.fleet.entries[1])
    context.fleet.run(SETTLED_S)


@behave.when(
    "a once request is answered while the table service is down and its entry is killed"
)
def step_unrecorded(context):
    fleet = context.fleet
    send(context, "once")
    fleet.at(0.02, lambda: setattr(fleet.table, "down", True))
    fleet.run(0.2)
    assert last(context).complete
    fleet.entries[0].kill()
    fleet.table.down = False
    fleet.run(0.3)


@behave.when(
    "the request table service is down from {start:g} to {end:g} seconds after a once"
    " request"
)
def step_outage(context, start, end):
    fleet = context.fleet
    fleet.at(start, lambda: setattr(fleet.table, "down", True))
    fleet.at(end, lambda: setattr(fleet.table, "down", False))
    send(context, "once")
    fleet.run(0.2)


@behave.when(
    "every request transaction is lost from {start:g} to {end:g} seconds after a once"
    " request"
)
def step_lost_transactions(context, start, end):
    fleet = context.fleet
    lost = "table_request_lost"
    fleet.at(start, lambda: fleet.faults.rates.update({lost: 1.0}))
    fleet.at(end, lambda: fleet.faults.rates.pop(lost))
    send(context, "once")
    fleet.run(end)
    assert fleet.faults.seen[lost], "no transaction was lost"


@behave.when("a request that crashes engines is sent to every request entry in turn")
def step_poison_in_turn(context):
    for entry in context.fleet.entries:
        if context.fleet.sent:
            context.fleet.send(context.call, entry)
        else:
            send(context, "stream", poison=True)
        context.fleet.run(5.0)


@behave.when(
    "a request that crashes engines runs beside {count:d} other stream requests"
)
def step_poison_beside(context, count):
    for number in range(count):
        send(context, "stream", f"other{number}", number % 3)
    send(context, "stream", "poison", poison=True)
    context.fleet.run(SETTLED_S)


@behave.when(
    "a request that crashes engines is sent {count:d} times, {gap:d} milliseconds apart"
)
def step_poison_copies(context, count, gap):
    fleet = context.fleet
    context.call = inmemory.Call("poison", "stream", True)
    for number in range(count):
        entry = fleet.entries[number % len(fleet.entries)]
        fleet.at(number * gap / 1000, lambda e=entry: fleet.send(context.call, e))
    fleet.run(SETTLED_S)


@behave.when("a request that crashes engines is sent again after {delay:g} seconds")
def step_poison_later(context, delay):
    send(context, "stream", poison=True)
    context.fleet.run(delay)
    context.fleet.send(context.call, context.fleet.entries[0])
    context.fleet.run(SETTLED_S)


@behave.when("two copies of a request run at both entries on an engine that crashes")
def step_copies_crash(context):
    fleet = context.fleet
    call = inmemory.Call("call", "whole")
    context.call = call
    for entry in (0, 0, 1, 1):
        fleet.send(call, fleet.entries[entry])
    fleet.at(0.01, fleet.agents["a0"].crash)
    fleet.run(1.0)


@behave.when(
    "two stream requests share the first free endpoint and one crashes engines"
)
def step_crash_beside(context):
    fleet = context.fleet
    names = sorted(fleet.agents)
    fleet.choose = lambda route, now_s, entry: next(
        (name for name in names if name not in route.avoid), None
    )
    send(context, "stream", "poison", poison=True)
    send(context, "stream", "innocent")
    fleet.run(SETTLED_S)


@behave.when("{count:d} request claims get no response from random times on")
def step_silent_claims(context, count):
    rng = random.Random(SEED)
    context.ticks = []
    for number in range(count):
        pending = claims.Claims("entry")
        # Sums round when they pass a power of two.
        now_s = rng.uniform(0.0, 8.0)
        lease_s = now_s + 4.0
        pending.claim(f"c{number}", "row", "client", "key", "digest", lease_s, now_s)
        for _ in range(12):
            now_s = pending.next_tick_s()
            pending.tick(now_s)
            context.ticks.append((now_s, pending.next_tick_s()))


@behave.then("no request claim asks for a tick that is already due")
def step_ticks_progress(context):
    busy = [(now_s, next_s) for now_s, next_s in context.ticks if next_s <= now_s]
    assert not busy, busy[:3]


@behave.then("the request entries sent {count:d} attempts")
def step_attempts(context, count):
    assert context.fleet.attempts == count, context.fleet.attempts


@behave.when("{count:d} request contents are each part of a crash")
def step_many_suspects(context, count):
    context.suspects = crash_tracking.CrashTracker()
    context.suspects.record_crash("confirmed", "a0", 0.0)
    context.suspects.record_crash("confirmed", "a1", 1.0)
    for number in range(count):
        context.suspects.record_crash(f"digest{number}", "a0", 2.0 + number / 100)


@behave.then("the request outcome is {outcome}")
def step_outcome(context, outcome):
    context.fleet.run(SETTLED_S)
    sent = last(context)
    assert outcome_of(sent) == outcome, (sent.outcome, sent.code, sent.document)
    assert sent.outcome == "gone" or sent.finals == 1, sent.finals


@behave.then("the request caller has all tokens once and in order")
def step_all_tokens(context):
    sent = last(context)
    assert bench_requests.received(sent) == bench_requests.expected(sent.call)


@behave.then("the request caller has only its own tokens in order")
def step_own_tokens(context):
    sent = last(context)
    lines = bench_requests.received(sent)
    assert not bench_requests.is_wrong(sent), lines


@behave.then("the request error is {code} and names the tokens delivered")
def step_stream_error(context, code):
    sent = last(context)
    assert error_of(sent)["code"] == code, sent.document
    assert "Discard" in error_of(sent)["next"], sent.document
    assert sent.total == len(bench_requests.received(sent)) > 0, sent.total


@behave.then("the request error is {code} and says what to do next")
def step_error(context, code):
    error = error_of(last(context))
    assert error["code"] == code, error
    assert error["message"] and error["next"], error
    assert error["verdict"] == last(context).outcome, error


@behave.then("the request error has a time after which to retry")
def step_retry_after(context):
    assert error_of(last(context))["retry_after_s"] > 0


@behave.then("the request final came after {limit:g} seconds at most")
def step_final_time(context, limit):
    sent = last(context)
    assert sent.final_s - sent.sent_s <= limit + 0.01, sent.final_s - sent.sent_s


@behave.then("every request final came within {limit:g} seconds")
def step_all_final_times(context, limit):
    for sent in all_sent(context):
        assert sent.outcome is not None, sent
        assert sent.final_s - sent.sent_s <= limit, sent.final_s - sent.sent_s


@behave.then("the request above the bound is refused as {verdict} with {code}")
def step_refused_above(context, verdict, code):
    last = context.last
    if isinstance(last, inmemory.Sent):
        assert (last.outcome, last.code) == (verdict, code), last
        return
    if isinstance(last[0], executions.Reply):
        assert isinstance(last[0].message, types.WorkRefused), last
        assert last[0].message.reason == code, last
        return
    given = [action for action in last if isinstance(action, answers.Answer)]
    found = [(answer.verdict.value, answer.code) for answer in given]
    assert found == [(verdict, code)], found
    cancels = [action for action in last if isinstance(action, exchange.SendCancel)]
    assert len(cancels) == 1, last
    ended = [action for action in last if isinstance(action, exchange.AttemptEnded)]
    assert [action.cancelled for action in ended] == [True], ended


@behave.then("{count:d} request finals came within {limit:g} seconds")
def step_most_final_times(context, count, limit):
    times = [sent.final_s - sent.sent_s for sent in all_sent(context)]
    assert sum(time <= limit for time in times) >= count, times


@behave.then("the first request outcome is {outcome}")
def step_first_outcome(context, outcome):
    assert outcome_of(context.call.sent[0]) == outcome, context.call.sent[0]


@behave.then("the request engines generated {count:d} tokens at most")
def step_generated(context, count):
    assert context.fleet.generated <= count, context.fleet.generated


@behave.then("request agent {name} ran {count:d} attempts")
def step_started(context, name, count):
    assert context.fleet.agents[name].started == count


@behave.then("every request outcome is {outcome}")
def step_all_outcomes(context, outcome):
    found = {outcome_of(sent) for sent in all_sent(context)}
    assert found == {outcome}, found


@behave.then("the request agents run nothing")
@behave.then("the request agents run nothing after {delay:g} seconds")
def step_idle(context, delay=0.0):
    context.fleet.run(delay)
    running = [len(a.runs) + len(a.executions) for a in context.fleet.agents.values()]
    assert not any(running), running


@behave.then("the request entries dropped at least {count:d} responses")
def step_dropped(context, count):
    context.fleet.run(SETTLED_S)
    dropped = [entry.dispatcher.dropped_responses for entry in context.fleet.entries]
    assert sum(dropped) >= count, dropped


@behave.then("the next {count:d} request outcomes are complete")
def step_next_complete(context, count):
    for number in range(count):
        send(context, "stream", f"next{number}")
        context.fleet.run(SETTLED_S)
        assert last(context).complete, last(context)


@behave.then("the request ran {count:d} times")
@behave.then("the request call ran {count:d} times")
def step_ran(context, count):
    context.fleet.run(SETTLED_S)
    assert context.fleet.call_runs[context.call.name] == count, context.fleet.call_runs


@behave.then("the request agent refuses it")
def step_refused(context):
    assert isinstance(context.taken[0].message, types.WorkRefused), context.taken
    assert len(context.taken) == 1, context.taken


@behave.then("the request agent ran generation {generation:d} only")
def step_ran_generation(context, generation):
    calls = [a for a in context.taken if isinstance(a, executions.CallEngine)]
    assert [call.work.generation for call in calls] == [generation], calls
    failure = context.taken[-1].message
    assert failure.verdict == "may_have_run", failure


@behave.then("no caller was lost, crossed, misinformed or served twice")
def step_no_violations(context):
    violations = bench_requests.count_violations(context.fleet)
    assert not any(violations.values()), violations
    assert len(context.fleet.faults.seen) >= 20, context.fleet.faults.seen


@behave.then("the request retries amplify at most {limit:g} times")
def step_amplification(context, limit):
    assert context.ratio <= limit, context.ratio
    assert context.unlimited_ratio > limit, context.unlimited_ratio


@behave.then("one request outcome is complete and the other is may_have_run")
def step_one_of_two(context):
    found = sorted(outcome_of(sent) for sent in context.call.sent)
    assert found == ["complete", "may_have_run"], found


@behave.then("the request table service saw at most {count:d} transactions")
def step_transactions(context, count):
    assert context.fleet.table.transactions <= count, context.fleet.table.transactions


@behave.then("the request call is complete when sent again {delay:g} seconds later")
def step_again_complete(context, delay):
    context.fleet.run(delay)
    sent = context.fleet.send(context.call, context.fleet.entries[-1])
    context.fleet.run(SETTLED_S)
    assert sent.complete, (sent.outcome, sent.code)
    assert context.fleet.call_runs[context.call.name] == 1


@behave.then("the request engines crashed at most {count:d} times")
def step_crashes_at_most(context, count):
    assert 2 <= context.fleet.crashes <= count, context.fleet.crashes


@behave.then("the request engines crashed {count:d} times")
def step_crashes(context, count):
    assert context.fleet.crashes == count, context.fleet.crashes


@behave.then("the first request error is {code} with verdict {verdict}")
def step_first_error(context, code, verdict):
    error = error_of(context.call.sent[0])
    assert (error["code"], error["verdict"]) == (code, verdict), error


@behave.then("the later request errors are {code} with verdict {verdict}")
def step_later_errors(context, code, verdict):
    assert len(context.call.sent) > 1
    for sent in context.call.sent[1:]:
        error = error_of(sent)
        assert (error["code"], error["verdict"]) == (code, verdict), error
        assert error["retry_after_s"] > 0, error


@behave.then("the other request outcomes are complete")
def step_others_complete(context):
    for sent in all_sent(context):
        if not sent.call.poison:
            assert sent.complete, (sent.identifier, sent.outcome, sent.document)
            assert not bench_requests.is_wrong(sent), sent.parts


@behave.then("no other request is blocked")
def step_others_not_blocked(context):
    for number in range(12):
        sent = context.fleet.send(
            context.fleet.calls[f"other{number}"], context.fleet.entries[0]
        )
        context.fleet.run(1.0)
        assert sent.complete, (sent.outcome, sent.code)


@behave.then("the request content was part of {count:d} crash at every entry")
def step_crash_count(context, count):
    sent = context.call.sent[0]
    body = sent.call.name.encode()
    digest = crash_tracking.digest("client", inmemory.ROW, "POST", "/run", body)
    now_s = context.fleet.now_s
    for entry in context.fleet.entries:
        assert entry.dispatcher.suspects.crashes(digest, now_s) == count


@behave.then("at most {count:d} request suspicions are held")
def step_suspects_bounded(context, count):
    assert len(context.suspects) <= count, len(context.suspects)
    assert context.suspects.evicted > 0


@behave.then("a request content with two crashes is still blocked")
def step_still_blocked(context):
    assert context.suspects.blocked_for_s("confirmed", 20.0) > 0
