"""Steps for the clients of the platform and its stand-ins."""

import dataclasses
import hashlib
import json
import subprocess
import sys
import time

import behave
from twisted.internet import defer, reactor

from cicadaplank.external import (
    engines,
    errors,
    http,
    instances,
    objects,
    origins,
    services,
    tables,
)
from cicadaplank.world import machines
from features import reactors
from standins import batches, serving
from standins import engines as engine_standin
from standins import instances as instance_standin
from standins import objects as object_standin
from standins import origins as origin_standin
from standins import services as service_standin
from standins import tables as table_standin

TIMEOUT_S = 10.0
# For faults that end only at the timeout; the fault's own delay is longer.
SHORT_S = 0.3
DELAY_S = 0.6
ATTEMPT = "a-1"
PROMPT = "a prompt that is longer than one block of the cache"
CHUNK = b"chunk" * 1000
CHUNK_DIGEST = hashlib.sha256(CHUNK).hexdigest()
FAST = {"step_s": 0.002, "load_s": 0.01, "restart_s": 0.05}
AGENT_1 = machines.Instance("agent-1", "agent", "127.0.0.1", 1, "norte", "n1", "a")


def completion(total=4, prompt=PROMPT, attempt=ATTEMPT, **fields):
    body = {"model": "m", "prompt": prompt, "max_tokens": total}
    return engines.Completion(
        attempt,
        "/v1/completions",
        json.dumps(body).encode(),
        **{"timeout_s": TIMEOUT_S, **fields},
    )


def load_command(row="m", fencing_token=1, **fields):
    values = {"kind": "model", "version": "1", "base": "", "chunks": 1}
    values |= {"manifest_digest": f"digest-{row}", "fencing_token": fencing_token}
    return engines.LoadCommand(row, **{**values, **fields})


def service_call(timeout_s):
    path = "/calls/sign"
    return services.ServiceCall(ATTEMPT, "POST", path, b"{}", timeout_s=timeout_s)


# What each call needs: kind of stand-in, how it is made, counter of its effects.
CALLS = {
    "transact": (
        "table service",
        lambda c, t: c.transact("id", [], [tables.Put("k", "v")]),
        "writes",
    ),
    "read": ("table service", lambda c, t: c.read(["k"]), "reads"),
    "put object": ("object store", lambda c, t: c.put("k", b"v"), "writes"),
    "get object": ("object store", lambda c, t: c.get("stored"), "reads"),
    "absent object": ("object store", lambda c, t: c.get("absent"), "reads"),
    "get chunk": ("origin", lambda c, t: c.get_chunk(CHUNK_DIGEST), "chunks_sent"),
    "absent chunk": ("origin", lambda c, t: c.get_chunk("00"), "chunks_sent"),
    "mislabelled chunk": (
        "origin",
        lambda c, t: c.put_chunk("00", CHUNK),
        "chunks_sent",
    ),
    "list instances": ("instances", lambda c, t: c.list(), "requests"),
    "service call": ("service", lambda c, t: c.call(service_call(t)), "executions"),
    "completion": (
        "engine",
        lambda c, t: c.complete(completion(timeout_s=t)),
        "executions",
    ),
    "stream": (
        "engine",
        lambda c, t: c.complete(completion(stream=True, timeout_s=t)),
        "executions",
    ),
    "load weights": ("empty engine", lambda c, t: c.load(load_command()), "loads"),
    "engine state": ("engine", lambda c, t: c.state(), "requests"),
    "engine load": ("engine", lambda c, t: c.load_report(), "requests"),
}


class Objects(object_standin.Objects):
    """Object store that holds one object from the start."""

    def __init__(self):
        super().__init__()
        self._objects["stored"] = b"value"


def engine(**options):
    return engine_standin.Engines("e", engine_standin.Options(**FAST, **options))


STANDINS = {
    "table service": (table_standin.Tables, tables.TableServiceClient),
    "object store": (Objects, objects.ObjectStoreClient),
    "origin": (
        origin_standin.Origins,
        lambda client: origins.OriginClient(client, None),
    ),
    "instances": (instance_standin.Instances, instances.InstanceListClient),
    "service": (service_standin.Services, services.ServiceClient),
    "engine": (engine, engines.EngineClient),
    "empty engine": (engine, engines.EngineClient),
}


def connect(context, address, kind, sender="tester", timeout_s=TIMEOUT_S, **options):
    http_client = http.Client(reactor, address, sender, timeout_s, **options)
    context.cleanups.append(lambda: reactors.run(http_client.close))
    return STANDINS[kind][1](http_client)


def serve(context, kind, standin):
    context.standin, context.kind = standin, kind
    reactors.run(standin.listen)
    context.cleanups.append(lambda: reactors.run(standin.stop))
    context.address = f"http://127.0.0.1:{standin.port}"
    context.client = connect(context, context.address, kind)
    return context.client


def attempt(context, function, *args):
    """Keep the result of a call, or the error that it failed with."""
    try:
        context.result = reactors.run(function, *args)
    except (errors.PlatformError, defer.CancelledError) as error:
        context.result = error


def set_faults(context, *faults):
    reactors.run(context.standin.set_faults, {"faults": list(faults)})


async def load_model(client, row="m", chunks=(CHUNK,), **fields):
    command = load_command(row, chunks=len(chunks), **fields)
    for index, chunk in enumerate(chunks):
        await client.stage(command.manifest_digest, index, chunk)
    return await client.load(command)


@behave.given("the platform stand-in for {call}")
def step_standin(context, call):
    kind = CALLS[call][0]
    standin = STANDINS[kind][0]()
    client = serve(context, kind, standin)
    context.effects = CALLS[call][2]
    if kind == "engine":
        reactors.run(load_model, client)
    elif kind == "empty engine":
        reactors.run(client.stage, "digest-m", 0, CHUNK)
    elif kind == "origin":
        standin.add(CHUNK)


@behave.when("the platform call {call} meets the fault {fault}")
def step_call_fault(context, call, fault):
    if fault == "stopped":
        reactors.run(context.standin.stop)
    elif fault == "crash":
        set_faults(context, {"kind": "crash", "text": "prompt"})
    elif fault != "none":
        set_faults(context, {"kind": fault, "delay_s": DELAY_S})
    short = fault in ("hang", "delay", "stall")
    timeout_s = SHORT_S if short else TIMEOUT_S
    client = connect(context, context.address, context.kind, timeout_s=timeout_s)
    attempt(context, CALLS[call][1], client, timeout_s)


@behave.when("the platform call {call} is made")
def step_call(context, call):
    attempt(context, CALLS[call][1], context.client, TIMEOUT_S)


@behave.when("the platform call {call} is made 3 times")
def step_call_thrice(context, call):
    for _ in range(3):
        attempt(context, CALLS[call][1], context.client, TIMEOUT_S)


@behave.when("the platform call {call} is made to it")
def step_call_scripted(context, call):
    options = {"max_answer_bytes": 100_000}
    client = connect(context, context.address, CALLS[call][0], **options)
    attempt(context, CALLS[call][1], client, TIMEOUT_S)


@behave.when("the platform call {call} is made by {sender}")
def step_call_sender(context, call, sender):
    client = connect(context, context.address, context.kind, sender)
    attempt(context, CALLS[call][1], client, TIMEOUT_S)


@behave.given("the platform fault {kind} for the sender {sender}")
def step_fault_sender(context, kind, sender):
    set_faults(context, {"kind": kind, "senders": [sender]})


@behave.given("the platform fault {kind} for {delay_s:g} s")
def step_fault_delay(context, kind, delay_s):
    set_faults(context, {"kind": kind, "delay_s": delay_s})


@behave.given("the platform fault {kind} for 1 request")
def step_fault_once(context, kind):
    set_faults(context, {"kind": kind, "count": 1})


@behave.when("the platform fault {kind} is set")
def step_fault(context, kind):
    set_faults(context, {"kind": kind})


@behave.when("its faults are replaced by {document}")
def step_replace_faults(context, document):
    client = http.Client(reactor, context.address)
    context.cleanups.append(lambda: reactors.run(client.close))
    attempt(context, client.send, "POST", "/faults", document.encode())
    context.shown = reactors.run(client.send, "GET", "/faults").json()


@behave.then("the platform stand-in answers 400 and keeps no fault")
def step_faults_refused(context):
    assert context.result.status == 400, context.result
    assert context.shown == {"faults": []}, context.shown


@behave.then("the platform call ends with {outcome}")
def step_outcome(context, outcome):
    assert type(context.result).__name__ == outcome, repr(context.result)


@behave.then("the last platform call ends with Unavailable and says when to retry")
def step_retry_after(context):
    assert isinstance(context.result, errors.Unavailable), context.result
    assert context.result.retry_after_s > 0


@behave.then("the platform stand-in counts {effects:d} effects")
def step_effects(context, effects):
    counters = context.standin.counters

    def reached():
        return counters.get(context.effects, 0) == effects

    reactors.run(reactors.eventually, reached, f"{effects} effects in {counters}")


@behave.given("a platform server that answers every request with {body}")
def step_scripted(context, body):
    data = bytes(200_000) if body == "200000 bytes" else body.encode()
    if body == "no attempt header":
        data = b'{"total": 4, "manifest_digest": "d"}'
    standin = serving.StandIn()
    for method in ("GET", "POST", "PUT"):
        reply = serving.Reply(200, data)
        standin.route(method, "/<path:rest>", lambda call, rest, r=reply: r)
    serve(context, "table service", standin)


@behave.given("a platform {service} that allows 2 a second")
def step_slow_service(context, service):
    # The clock stands still, so that the number of calls alone decides.
    kind, clock = STANDINS[service][0], lambda: 1000.0
    serve(context, service, kind(2, 2, clock=clock))
    if service == "origin":
        context.standin.add(CHUNK)


# Stores.


def put_both(context, first, second):
    records = reactors.run(context.client.read, [first[0], second[0]])
    conditions = [tables.Condition(r.key, r.revision) for r in records]
    puts = [tables.Put(*first), tables.Put(*second)]
    attempt(context, context.client.transact, "id", conditions, puts)


@behave.when("platform records {first}={one} and {second}={two} are put")
def step_put(context, first, one, second, two):
    put_both(context, (first, one), (second, two))
    assert isinstance(context.result, tables.Committed), context.result


@behave.when(
    "a platform transaction expects a at revision 7 and b at its own, and puts both"
)
def step_stale(context):
    (record,) = reactors.run(context.client.read, ["b"])
    conditions = [tables.Condition("a", 7), tables.Condition("b", record.revision)]
    puts = [tables.Put("a", "x"), tables.Put("b", "x")]
    attempt(context, context.client.transact, "id", conditions, puts)


@behave.then("the platform conflict shows a=1")
def step_conflict(context):
    (record,) = context.result.records
    assert (record.key, record.value) == ("a", "1"), record


@behave.then("the platform records are a={one} and b={two}")
def step_records(context, one, two):
    records = reactors.run(context.client.read, ["a", "b"])
    found = [str(record.value) for record in records]
    assert found == [one, two], records


@behave.when("the platform record a is deleted at its revision")
def step_delete(context):
    (record,) = reactors.run(context.client.read, ["a"])
    conditions = [tables.Condition("a", record.revision)]
    attempt(context, context.client.transact, "i", conditions, [tables.Put("a", None)])


@behave.then("the platform record a can be created again")
def step_create(context):
    conditions = [tables.Condition("a", 0)]
    attempt(context, context.client.transact, "i", conditions, [tables.Put("a", "3")])
    assert isinstance(context.result, tables.Committed), context.result


@behave.when("two platform transactions create the same key at once")
def step_race(context):
    def both():
        conditions = [tables.Condition("k", 0)]
        puts = [tables.Put("k", "v")]
        calls = [context.client.transact(i, conditions, puts) for i in ("1", "2")]
        return defer.gatherResults(calls)

    context.results = reactors.run(both)


@behave.then("one platform transaction is Committed and one is Conflict")
def step_raced(context):
    names = sorted(type(result).__name__ for result in context.results)
    assert names == ["Committed", "Conflict"], names


@behave.then("the first platform record of the prefix {prefix} is {key}")
def step_prefix(context, prefix, key):
    records = reactors.run(context.client.read_prefix, prefix, 1)
    assert [record.key for record in records] == [key], records


@behave.given("a platform origin with a link of {rate:d} bytes a second")
def step_origin(context, rate):
    serve(context, "origin", origin_standin.Origins(rate_bytes_per_s=rate))


@behave.when("two platform downloads of {size:d} bytes run at once")
def step_downloads(context, size):
    context.data = [bytes([value]) * size for value in (1, 2)]
    digests = [context.standin.add(data) for data in context.data]
    client = origins.OriginClient(http.Client(reactor, context.address))
    start_s = time.monotonic()
    context.result = reactors.run(
        lambda: defer.gatherResults([client.get_chunk(digest) for digest in digests])
    )
    context.duration_s = time.monotonic() - start_s


@behave.then("the platform downloads take at least {low_s:g} s and are complete")
def step_downloaded(context, low_s):
    assert context.result == context.data
    assert context.duration_s >= low_s, context.duration_s


@behave.then("the platform chunk differs from the one that was stored")
def step_corrupt(context):
    assert len(context.result) == len(CHUNK) and context.result != CHUNK


@behave.given("a platform list of instances that lags by {lag_s:d} s")
def step_lag(context, lag_s):
    serve(context, "instances", instance_standin.Instances(lag_s))


@behave.when("the platform instance agent-1 joins")
def step_join(context):
    reactors.run(context.standin.put, AGENT_1)


@behave.then("the platform list is empty")
def step_list_empty(context):
    assert reactors.run(context.client.list) == ()


@behave.then("without the lag the platform list has agent-1")
def step_list(context):
    context.standin.lag_s = 0.0
    listed = reactors.run(context.client.list)
    assert listed == (instances.ListedInstance(AGENT_1, "live"),), listed


# Engines.


def parse_options(text):
    options = {}
    for pair in text.split(","):
        name, value = pair.split("=")
        kind = {f.name: f.type for f in dataclasses.fields(engine_standin.Options)}
        convert = (lambda v: v == "True") if kind[name] is bool else kind[name]
        options[name] = convert(value)
    return options


def new_engine(context, **options):
    client = serve(context, "engine", engine(**options))
    client = engines.EngineClient(client._client, options.get("command_key", ""))
    context.client = client
    context.effects = "executions"
    context.model = reactors.run(load_model, client)
    context.events = []


@behave.given("a platform engine with the model m")
def step_engine(context):
    new_engine(context)


@behave.given("a platform engine with the model m and the options {options}")
def step_engine_options(context, options):
    new_engine(context, **parse_options(options))


@behave.given("a second platform engine with the model m")
def step_second_engine(context):
    context.first = context.client
    new_engine(context)


@behave.when("a platform stream of {total:d} tokens runs")
def step_stream(context, total):
    context.events = []
    request = completion(total, stream=True)
    attempt(context, context.client.complete, request, context.events.append)


@behave.when("a platform stream of {total:d} tokens resumes at {offset:d}")
def step_resume(context, total, offset):
    request = completion(total, stream=True, offset=offset)
    attempt(context, context.client.complete, request, context.events.append)


@behave.then("the platform stream has the tokens {first:d} to {last:d} of the {which}")
def step_tokens(context, first, last, which):
    offsets = range(first, last + 1)
    digest = context.model.content_digest
    expected = [(i, batches.token(digest, PROMPT, i)) for i in offsets]
    found = [(e.offset, json.loads(e.data)["token"]) for e in context.events]
    assert found == expected, found
    assert context.result.total == last + 1, context.result
    assert context.result.manifest_digest == "digest-m"


def sse(kind, **values):
    values = {"attempt": ATTEMPT, **values}
    return f"event: {kind}\ndata: {json.dumps(values)}\n\n".encode()


def scripted_stream(damage):
    tokens = [sse("token", offset=i, token="t") for i in range(3)]
    end = sse("end", total=3, manifest_digest="d")
    other = sse("token", attempt="a-2", offset=1, token="t")
    return {
        "all tokens and end": [*tokens, end],
        "no end": tokens,
        "a lost token": [tokens[0], tokens[2], end],
        "a repeated token": [*tokens[:2], tokens[1], tokens[2], end],
        "an end with total 4": [*tokens, sse("end", total=4, manifest_digest="d")],
        "an end without digest": [*tokens, sse("end", total=3)],
        "a token of another": [tokens[0], other, tokens[2], end],
        "text that is not JSON": [tokens[0], b"event: token\ndata: {\n\n", end],
        "an endless event": [b"event: " + bytes(engines.MAX_EVENT_BYTES)],
    }[damage]


@behave.given("a platform server that streams {damage}")
def step_scripted_stream(context, damage):
    async def stream(call):
        call.request.setHeader("X-Cicadaplank-Attempt", ATTEMPT)
        call.request.write(b"".join(scripted_stream(damage)))
        if damage == "an endless event":
            await defer.Deferred()

    standin = serving.StandIn()
    standin.route("POST", "/v1/completions", stream)
    serve(context, "engine", standin)


@behave.then("{count:d} platform tokens were delivered")
def step_delivered(context, count):
    assert len(context.events) == count, context.events


async def cancel_stream(context, how):
    journal, client = context.standin.journal, context.client
    others = []
    if how == "while another one runs":
        others.append(client.complete(completion(10_000, stream=True, attempt="b")))
        others[0].addErrback(lambda failure: None)
        await reactors.eventually(lambda: len(journal) == 1, "the other runs")
    started = len(journal) + 1
    # Longer than the scenario, so that only the cancellation can end it.
    prompt = PROMPT * (1000 if how == "before its first token" else 1)
    events = []

    def on_event(event):
        events.append(event)
        if how == "after its third token" and len(events) == 3:
            request.cancel()

    request = client.complete(completion(100_000, prompt, stream=True), on_event)
    await reactors.eventually(lambda: len(journal) == started, "the stream started")
    if how == "by its identifier":
        await client.cancel(ATTEMPT)
    elif how != "after its third token":
        request.cancel()
    try:
        await request
    except (errors.AnswerLost, defer.CancelledError):
        pass
    for other in others:
        await reactors.eventually(
            lambda: journal[-1]["outcome"] == "cancelled", "cancelled"
        )
        other.cancel()


@behave.when("a platform stream is cancelled {how}")
def step_cancel(context, how):
    reactors.run(cancel_stream, context, how)


@behave.then("the platform journal ends with cancelled")
def step_journal(context):
    journal = context.standin.journal

    def cancelled():
        return journal[-1]["outcome"] == "cancelled"

    reactors.run(reactors.eventually, cancelled, f"cancelled in {journal}")


@behave.then("the platform engine is idle")
def step_idle(context):
    batch = context.standin._batch

    def idle():
        return not batch.running and not batch.waiting

    reactors.run(reactors.eventually, idle, "no sequence left")


@behave.when(
    "the platform role is set to {role} with the token {token:d} after the token 5"
)
def step_role(context, role, token):
    reactors.run(context.client.set_role, "both", 5)
    attempt(context, context.client.set_role, role, token)


@behave.then("the platform engine reads back the role {role} and the last token {last}")
def step_read_back(context, role, last):
    state = reactors.run(context.client.state)
    found = (state.role, state.commands[-1].fencing_token)
    assert found == (role, int(last)), state
    assert state.commands[-1].sender == "tester"


@behave.when("the platform role is set with the command key {key}")
def step_key(context, key):
    key = "" if key == "none" else key
    client = engines.EngineClient(context.client._client, key)
    attempt(context, client.set_role, "decode", 9)


@behave.when("the platform weights w are loaded with a chunk missing")
def step_partial(context):
    async def load():
        await context.client.stage("digest-w", 1, CHUNK)
        return await context.client.load(load_command("w", chunks=2))

    attempt(context, load)


@behave.then("the content digest that is read back {what}")
def step_content(context, what):
    loaded = reactors.run(context.client.state).model("w")
    if what == "is absent":
        assert loaded is None, loaded
    else:
        whole = engine_standin.content_digest([CHUNK_DIGEST, CHUNK_DIGEST])
        assert loaded.content_digest != whole


@behave.when("the platform weights of m are replaced during a stream of 40 tokens")
def step_replace(context):
    async def replace():
        request = completion(40, stream=True)
        ended = context.client.complete(request, context.events.append)
        await reactors.eventually(lambda: context.events, "the first token")
        fields = {"manifest_digest": "digest-2", "fencing_token": 2}
        await load_model(context.client, chunks=(b"other",), **fields)
        return await ended

    attempt(context, replace)
    assert reactors.run(context.client.state).model("m").manifest_digest == "digest-2"


@behave.when("a platform adapter is loaded on the base {base}")
def step_adapter(context, base):
    fields = {"kind": "adapter", "base": base, "fencing_token": 3}
    attempt(context, lambda: load_model(context.client, "ad", **fields))


@behave.when("the platform engine crashes and returns")
def step_crash(context):
    reactors.run(context.standin.crash)


@behave.then("the platform engine reads back no model")
def step_no_model(context):
    assert reactors.run(context.client.state).models == ()


def streams(context, *requests):
    """Run streams at once; keep ``(attempt, outcome name)`` in order of their ends."""
    context.ends = []

    def start(request):
        def ended(result):
            value = getattr(result, "value", result)
            context.ends.append((request.attempt, type(value).__name__))

        return context.client.complete(request).addBoth(ended)

    return [start(request) for request in requests]


@behave.when("{count:d} platform streams start at once")
def step_burst(context, count):
    requests = [completion(attempt=f"s-{i}", stream=True) for i in range(count)]
    reactors.run(lambda: defer.gatherResults(streams(context, *requests)))


@behave.then("some platform streams end with Unavailable and the others are complete")
def step_bounded(context):
    outcomes = {outcome for _, outcome in context.ends}
    assert outcomes == {"Unavailable", "CompletionEnd"}, context.ends


@behave.when("platform streams of priority 7, 3 and 0 wait for a slot")
def step_priorities(context):
    async def wait():
        fields = {"stream": True, "timeout_s": TIMEOUT_S}
        first = context.client.complete(completion(100_000, attempt="first", **fields))
        first.addErrback(lambda failure: None)
        journal = context.standin.journal
        await reactors.eventually(lambda: len(journal) == 1, "the first runs")
        waiting = streams(
            context,
            *[completion(attempt=str(p), priority=p, **fields) for p in (7, 3, 0)],
        )
        await reactors.eventually(lambda: len(journal) == 4, "all wait")
        first.cancel()
        await defer.gatherResults(waiting)

    reactors.run(wait)


@behave.then("the platform streams end in the order 0, 3, 7")
def step_order(context):
    expected = [(priority, "CompletionEnd") for priority in "037"]
    assert context.ends == expected, context.ends


@behave.then("the platform load report is from before the stream")
def step_load_report(context):
    report = reactors.run(context.client.load_report)
    assert (report.running, report.measured_unix_s) == (0, 0.0), report
    assert report.capacity == engine_standin.Options().slots


@behave.when("platform prompts of 2 blocks, then of 1 other block, run")
def step_prompts(context):
    for prompt in ("x" * 64, "y" * 32):
        reactors.run(context.client.complete, completion(prompt=prompt))


@behave.then("the platform cache events are {kinds}")
def step_cache_events(context, kinds):
    events = reactors.run(context.client.cache_events, 0)
    assert ", ".join(event.kind for event in events) == kinds, events


@behave.then("the platform cache events have the sequence numbers 2, 3")
def step_cache_gap(context):
    events = reactors.run(context.client.cache_events, 0)
    assert [event.sequence for event in events] == [2, 3], events


@behave.when("the cache of a platform stream is moved to the second engine")
def step_move_cache(context):
    async def move():
        events = []
        request = completion(100_000, stream=True)
        stream = context.first.complete(request, events.append)
        stream.addErrback(lambda failure: None)
        await reactors.eventually(lambda: events, "the first token")
        await context.client.import_cache(await context.first.export_cache(ATTEMPT))
        stream.cancel()

    reactors.run(move)


@behave.then("the second platform engine finds the prompt in its cache")
def step_cache_found(context):
    reactors.run(context.client.complete, completion())
    batch = context.standin._batch
    assert batch.blocks_found == batch.blocks_total == 1, vars(batch)


@behave.given("a platform process with the engines a and b")
def step_process(context):
    command = [sys.executable, "-m", "standins.engines", "--engines", "a:0,b:0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.cleanups.append(process.stdout.close)
    context.cleanups.append(process.wait)
    context.cleanups.append(process.terminate)
    context.clients = {}
    for _ in range(2):
        line = dict(pair.split("=") for pair in process.stdout.readline().split())
        address = f"http://127.0.0.1:{line['port']}"
        context.clients[line["standin"]] = connect(context, address, "engine")


@behave.when("the platform role of a is set to decode")
def step_process_role(context):
    reactors.run(context.clients["a"].set_role, "decode", 1)


@behave.then("the platform engine a has the role decode and b has the role both")
def step_process_roles(context):
    roles = {n: reactors.run(c.state).role for n, c in context.clients.items()}
    assert roles == {"a": "decode", "b": "both"}, roles
