"""Steps against real processes."""

import contextlib
import signal
import threading
import time

import behave

from cicadaplank.requests import routing
from features import processes
from standins import batches

PREFIX_BLOCKS = routing.PREFIX_CHARS // batches.BLOCK_CHARS


def streams(context, entry=None):
    """Stream completions in the background."""
    system = context.system
    choice = [entry] if entry else system.entries

    def work():
        prompt = system.prompt()
        found = system.complete(choice[hash(prompt) % len(choice)], prompt)
        return prompt, *found

    return processes.Background(work)


def await_stream(context, results, count=4):
    """Wait until some streams have ended, so that others are under way."""
    system = context.system.deployment
    system.wait_until("streams", lambda: len(results) >= count)


def endpoint_with_work(system):
    """Return an agent that runs a stream now."""

    def busy():
        names = [n for n in system.agents if system.deployment.status(n)["load"]]
        return names and names[0]

    return system.deployment.wait_until("an endpoint with work", busy)


@behave.given('a deployment that serves version "{version}"')
def step_deployment(context, version):
    context.system = processes.system_of(context)
    context.system.serve(version)


@behave.when(
    'requests run without pause while version "{new}" is published and accepted'
)
def step_version_change(context, new):
    running = streams(context)
    await_stream(context, running.results)
    context.system.publish(new)
    context.system.accept(context.system.write_table(new))
    context.system.await_serving(new)
    ended = len(running.results)
    await_stream(context, running.results, ended + 16)
    context.streams = running.stop()


@behave.then("every answer is whole and from one version")
def step_one_version(context):
    for _, result in context.streams:
        assert not isinstance(result, Exception), result
        prompt, status, tokens, ended = result
        assert status == 200 and ended, result
        expected = [
            processes.expected_tokens(version, prompt) for version in ("v1", "v2")
        ]
        assert tokens in expected, result


@behave.then('the last answers are from version "{version}"')
def step_last_answers(context, version):
    for _, (prompt, _, tokens, _) in context.streams[-4:]:
        assert tokens == processes.expected_tokens(version, prompt)


@behave.when("the endpoint of a stream suffers a {fault}")
def step_endpoint_fault(context, fault):
    running = streams(context)
    name = endpoint_with_work(context.system)
    process = context.system.deployment.processes[name]
    if fault == "kill":
        process.kill()
    elif fault == "freeze":
        process.signal(signal.SIGSTOP)
    else:
        process.signal(signal.SIGTERM)
    await_stream(context, running.results, len(running.results) + 12)
    context.streams = running.stop()


@behave.then("the caller has every token of the stream once")
def step_every_token(context):
    for _, result in context.streams:
        assert not isinstance(result, Exception), result
        prompt, status, tokens, ended = result
        assert status == 200 and ended, result
        assert tokens == processes.expected_tokens("v1", prompt), result


SERVICE_FAULTS = {
    "service closes at once": {"kind": "drop", "path": "/calls", "share": 0.5},
    "service answer lost": {"kind": "lose_response", "path": "/calls", "share": 0.5},
}
TABLE_FAULTS = {
    "table service down": {"kind": "refuse"},
    "table service answers lost": {
        "kind": "lose_response",
        "path": "/transact",
        "share": 0.5,
    },
}


@behave.when("{count:d} once-only calls meet the fault {fault}")
def step_once_only(context, count, fault):
    system = context.system
    for entry in system.entries:
        # After an outage of the table service an entry refuses claims for a time; calls
        # that are refused at once would prove nothing about the fault.
        system.deployment.wait_until(
            "an answered call",
            lambda entry=entry: (
                system.call_once(entry, f"ready/{time.time()}")[1] == "ran"
            ),
        )
    name = processes.SERVICE if fault in SERVICE_FAULTS else "tables"
    system.deployment.set_faults(name, {**SERVICE_FAULTS, **TABLE_FAULTS}[fault])
    context.calls = {}
    began = time.time()
    for number in range(count):
        key = f"{fault}/{began}/{number}".replace(" ", "-")
        entry = system.entries[number % 2]
        first = system.call_once(entry, key)
        again = system.call_once(entry, key)
        context.calls[key] = (first, again)


@behave.then('no call that was told "not run" was executed')
def step_not_run(context):
    executed = context.system.executions()
    for key, (first, again) in context.calls.items():
        if (first[1], again[1]) == ("not_run", "not_run"):
            assert key not in executed, (key, first, again)
        assert first[1] and again[1], (key, first, again)


@behave.then("no call was executed twice")
def step_not_twice(context):
    executed = context.system.executions()
    twice = {key: count for key, count in executed.items() if count > 1}
    assert not twice, twice


@behave.when(
    "an entry is killed while a slow once-only call runs and the caller repeats it"
)
def step_entry_killed(context):
    system = context.system
    delay = {"kind": "delay", "path": "/calls", "delay_s": 1.0}
    system.deployment.set_faults(processes.SERVICE, delay)
    context.key = f"killed/{time.time()}"
    first = processes.Background(
        lambda: system.call_once("norte-entry-1", context.key), 1
    )

    def delayed():
        return system.deployment.counters(processes.SERVICE).get("fault_delay")

    system.deployment.wait_until("the call at the service", delayed)
    system.deployment.processes["norte-entry-1"].kill()
    first.stop()
    system.deployment.set_faults(processes.SERVICE)
    context.again = system.call_once("litoral-entry-1", context.key)


@behave.then("the call was executed at most once")
def step_at_most_once(context):
    assert context.system.executions().get(context.key, 0) <= 1


@behave.then("the repeated call was told that it may have run, or its result")
def step_may_have_run(context):
    assert context.again[1] in ("may_have_run", "ran"), context.again


@behave.when("an endpoint is removed from the table, {state}")
def step_remove_endpoint(context, state):
    system = context.system
    context.leaver = next(iter(system.agents))
    engine = system.agents[context.leaver]
    running = streams(context)
    await_stream(context, running.results)
    holders = [name for name in system.agents if name != context.leaver]
    accepted = []

    def watch():
        # The write is the last moment at which new work is allowed without delay.
        code, output, errors = system.accept(system.write_table("v1", holders))
        accepted.append(time.time())

    version = max(in_force_versions(system))
    if state == "with the table service down after the write":
        before = system.deployment.counters("tables").get("writes", 0)
        thread = threading.Thread(target=watch)
        thread.start()
        system.deployment.wait_until(
            "the write",
            lambda: system.deployment.counters("tables")["writes"] > before,
        )
        written_s = time.time()
        system.deployment.wait_until(
            "one process with the version",
            lambda: max(in_force_versions(system)) > version,
        )
        system.deployment.set_faults("tables", {"kind": "refuse"})
        thread.join()
    else:
        watch()
        written_s = accepted[0]
    context.written_s = written_s
    time.sleep(processes.LEAVE_S)
    counted = engine_executions(system, engine)
    await_stream(context, running.results, len(running.results) + 12)
    context.late_work = engine_executions(system, engine) - counted
    context.streams = running.stop()


def engine_executions(system, engine):
    """Return how many completions an engine has run."""
    return system.deployment.counters(engine).get("executions", 0)


def in_force_versions(system):
    """Return the set of versions in force over all processes."""
    return {system.deployment.status(name)["table_version"] for name in system.names}


@behave.then("its last new work began less than 3 s after the acceptance")
def step_no_late_work(context):
    assert context.late_work == 0, context.late_work
    for _, result in context.streams:
        assert not isinstance(result, Exception), result
        assert result[1] == 200 and result[3], result


@behave.when("an {role} is stopped during streams")
def step_planned_stop(context, role):
    system = context.system
    running = streams(context, None if role == "agent" else "norte-entry-1")
    await_stream(context, running.results)
    name = endpoint_with_work(system) if role == "agent" else "norte-entry-1"
    context.stopped = system.deployment.processes[name]
    context.stopped.signal(signal.SIGTERM)
    context.exit_code = context.stopped.wait_stopped(15.0)
    context.role = role
    context.streams = running.stop()


@behave.then("every stream is whole and the process exits with code 0")
def step_whole_streams(context):
    assert context.exit_code == 0, context.stopped.lines[-20:]
    whole = 0
    for _, result in context.streams:
        if context.role == "entry" and isinstance(result, OSError):
            # The port is closed, or the entry refused new work: nothing was cut.
            assert not isinstance(result, EOFError), result
            continue
        assert not isinstance(result, Exception), result
        prompt, status, tokens, ended = result
        if context.role == "entry" and status == 503:
            continue
        assert status == 200 and ended, result
        assert tokens == processes.expected_tokens("v1", prompt), result
        whole += 1
    assert whole >= 4, whole


@behave.when("a table is accepted, {fault}")
def step_accept_fault(context, fault):
    system = context.system
    tables = system.deployment
    path = system.write_table("v1", priority=int(time.time() * 10) % 9)
    began_s = time.monotonic()
    if fault == "while the answer to the write is lost":
        lost = {"kind": "lose_response", "path": "/transact", "count": 1}
        tables.set_faults("tables", lost)
    elif fault == "while another operator accepts":
        other = system.write_table("v1", priority=9, name="other.json")
        rival = processes.Background(lambda: system.accept(other, check=False), 1)
    code, output, errors = system.accept(path, "--json", check=False)
    if fault == "while another operator accepts":
        outcomes = [code, *[result[0] for _, result in rival.stop()]]
        assert 0 in outcomes and set(outcomes) <= {0, 3}, (outcomes, errors)
    else:
        assert code == 0, errors
    context.accepted = max(in_force_versions(system))
    if "table service goes down" in fault or "replaced" in fault:
        tables.set_faults("tables", {"kind": "refuse"})
    if "replaced" in fault:
        name = next(iter(system.agents))
        tables.processes[name].kill()
        system.revive(name)
    context.began_s = began_s


@behave.then("every process has the accepted version in force within 8 s")
def step_in_force(context):
    system = context.system
    system.deployment.wait_until(
        "in force",
        lambda: min(in_force_versions(system)) >= context.accepted,
        processes.IN_FORCE_S,
    )


@behave.then("no process reports a lower version afterwards")
def step_no_revert(context):
    system = context.system
    system.deployment.set_faults("tables")
    for _ in range(5):
        assert min(in_force_versions(system)) >= context.accepted
        system.deployment.wait_until(
            "a poll", lambda: system.deployment.counters("tables").get("reads")
        )


def complete_long(system, count):
    """Complete prompts with prefixes of their own; each entry uses its own region."""
    for number in range(count):
        prompt = system.prompt().ljust(routing.PREFIX_CHARS, "x")
        entry = system.entries[number % len(system.entries)]
        status, _, ended = system.complete(entry, prompt, 1)
        assert status == 200 and ended, (entry, status, prompt[:24])


@behave.when(
    "requests fill the prefix caches until both entries have hints of every engine"
)
def step_fill_caches(context):
    system = context.system

    def hinted():
        complete_long(system, 2)
        return all(min(system.hints(entry).values()) > 0 for entry in system.entries)

    # An entry knows the prefixes of the other region from the agents' reports only.
    # An endpoint that earlier scenarios had ejected gets work again after that time.
    limit_s = 1.2 * routing.EJECT_MAX_S + 10.0
    system.deployment.wait_until("hints of every engine", hinted, limit_s)


def evict_all(system, engine):
    """Send an engine prompts that no entry knows, which displace all prefixes."""
    for number in range(processes.CACHE_BLOCKS // PREFIX_BLOCKS + 2):
        prompt = f"Direct prompt {number} {time.time()}".ljust(
            routing.PREFIX_CHARS, "x"
        )
        document = {"model": processes.MODEL, "prompt": prompt, "max_tokens": 1}
        headers = {"X-Cicadaplank-Attempt": f"direct-{number}"}
        system.deployment.call(engine, "POST", "/v1/completions", document, headers)


@behave.when("the prefixes meet the {loss}")
def step_lose_prefixes(context, loss):
    system = context.system
    # No engine holds more prefixes than blocks; those that lost them hold none.
    context.held = dict.fromkeys(system.agents, processes.CACHE_BLOCKS)
    name, engine = next(iter(system.agents.items()))
    if loss == "eviction by other prompts":
        context.held = dict.fromkeys(system.agents, 0)
        for each in system.agents.values():
            evict_all(system, each)
        return
    context.held[name] = 0
    if loss == "crash of an engine":
        # The crash also closes the connection that sets the fault.
        with contextlib.suppress(OSError):
            system.deployment.set_faults(engine, {"kind": "crash"})
    else:
        system.deployment.processes[name].kill()
        system.revive(name)


@behave.then("no entry has more hints of an engine than its cache holds")
def step_hints_held(context):
    system = context.system
    found = []

    def right():
        found[:] = [system.hints(entry) for entry in system.entries]
        return all(
            hints[name] <= most
            for hints in found
            for name, most in context.held.items()
        )

    try:
        system.deployment.wait_until("hints", right, processes.HINTS_S)
    except TimeoutError as error:
        raise AssertionError((context.held, found)) from error
    # A crashed engine gets its weights again before the next scenario.
    system.await_serving("v1")


@behave.when("the metrics of every process are read")
def step_read_metrics(context):
    for name in context.system.names:
        status, _, body = context.system.deployment.send(name, "GET", "/metrics")
        assert status == 200 and body.endswith(b"# EOF\n"), (name, status, body[-200:])


@behave.then("no process has logged an internal error")
def step_no_internal_error(context):
    processes = [*context.system.deployment.processes.values(), *context.system.ended]
    errors = [
        line
        for process in processes
        for line in process.lines
        if "event=internal_error" in line
    ]
    assert not errors, errors
