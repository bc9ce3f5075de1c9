"""Steps for metrics, burn rates and event lines."""

import io
import json
import random

import behave
import hypothesis
from hypothesis import strategies
from returns import result
from twisted.internet import defer, reactor

from cicadaplank.external import http
from cicadaplank.reports import burn, events, expositions, metrics, objectives, scrapes
from cicadaplank.requests import verdicts
from features import reactors
from standins import serving

RAN = verdicts.Verdict.RAN
SERIES = burn.Series(objectives.AVAILABILITY, "crew", "a", "norte1")
START_S = 1000.0


def new_metrics(process="e1", data_centre="norte1", **fields):
    return metrics.Metrics(
        process, "entry", "norte", data_centre, start_s=START_S, **fields
    )


def read(data, process="e1", time_s=START_S + 100, promised=objectives.DEFAULTS):
    return burn.read_scrape(process, time_s, data, promised)


def number(text):
    return None if text == "none" else float(text)


def shown(text):
    """Return the text that an Examples cell stands for."""
    return {"LINE FEED": "line\nfeed", "EMPTY": ""}.get(text, text)


# Burn rates.


@behave.when("the burn rate is computed for {good:d} of {total:d} at {target:g}")
def step_rate(context, good, total, target):
    context.rate = burn.rate(burn.Count(good, total), target)


@behave.then("the burn rate is {rate}")
def step_rate_is(context, rate):
    expected = number(rate)
    if expected is None:
        assert context.rate is None, context.rate
    else:
        assert abs(context.rate - expected) < 1e-9, context.rate


def parse_scrape(text):
    """Read ``process@time/start:good/total``."""
    process, rest = text.split("@")
    times, counts = rest.split(":")
    time_s, start_s = map(float, times.split("/"))
    count = burn.Count(*map(float, counts.split("/")))
    return burn.Scrape(process, time_s, start_s, {SERIES: count})


@behave.given("burn scrapes {text}")
def step_scrapes(context, text):
    words = [] if text == "none" else text.split()
    context.scrapes = [parse_scrape(word) for word in words]
    # The order in which scrapes are read does not matter.
    random.Random(1).shuffle(context.scrapes)


@behave.when("the burn window from {start_s:g} to {end_s:g} is counted")
def step_window(context, start_s, end_s):
    totals, context.covered_s = burn.increases(context.scrapes, start_s, end_s)
    context.count = totals.get(SERIES, burn.Count())


@behave.then("the burn window has {good:g} good of {total:g} over {covered_s:g} s")
def step_counted(context, good, total, covered_s):
    assert context.count == burn.Count(good, total), context.count
    assert context.covered_s == covered_s, context.covered_s


@behave.given("burn counts that only grow, of three processes")
def step_growing(context):
    step = strategies.tuples(strategies.integers(0, 9), strategies.integers(0, 9))
    context.growth = strategies.lists(
        strategies.tuples(step, step, step), min_size=2, max_size=8
    )


@behave.when("some of the burn scrapes between the first and the last are lost")
def step_lost(context):
    context.compared = 0

    @hypothesis.settings(
        derandomize=True,
        max_examples=100,
        database=None,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(context.growth, strategies.randoms(use_true_random=False))
    def compare(growth, rng):
        found = []
        counts = dict.fromkeys("abc", burn.Count())
        for index, steps in enumerate(growth):
            for process, (good, bad) in zip("abc", steps, strict=True):
                counts[process] += burn.Count(good, good + bad)
                values = {SERIES: counts[process]}
                found.append(burn.Scrape(process, 1000.0 + index, 1.0, values))
        last_s = 1000.0 + len(growth) - 1
        kept = [s for s in found if s.time_s in (1000.0, last_s) or rng.random() < 0.5]
        expected = burn.increases(found, 1000.0, last_s)
        assert burn.increases(kept, 1000.0, last_s) == expected
        steps = [step for row in growth[1:] for step in row]
        total = expected[0][SERIES].total
        assert total == sum(good + bad for good, bad in steps), (total, steps)
        context.compared += 1

    compare()


@behave.then("the burn window has the same counts")
def step_same(context):
    assert context.compared >= 50, context.compared


@behave.given("burn metrics with 9 requests answered and 1 {outcome}")
def step_outcomes(context, outcome):
    found = new_metrics()
    for value in ["answered"] * 9 + [outcome]:
        found.add_request("crew", "a", RAN, metrics.Outcome(value))
    context.texts = {"e1": found.render()[0]}
    context.promised = objectives.DEFAULTS


@behave.given(
    "burn metrics with the {name} threshold {threshold:g} and a latency of {latency:g}"
)
def step_latency(context, name, threshold, latency):
    document = {name: {"threshold_s": threshold}}
    context.promised = objectives.parse_objectives(document).unwrap()
    found = new_metrics(promised=context.promised)
    add = {
        objectives.FIRST_TOKEN: found.add_first_token,
        objectives.BETWEEN_TOKENS: found.add_between_tokens,
    }[name]
    add("crew", "a", latency)
    context.texts = {"e1": found.render()[0]}


@behave.given("burn metrics of two data centres where one client's requests fail")
def step_dimensions(context):
    requests = {
        ("e1", "norte1"): [("crew", "a", "answered"), ("buyer", "a", "failed")],
        ("e2", "este1"): [("crew", "a", "answered"), ("crew", "b", "answered")],
    }
    context.texts = {}
    for (process, data_centre), kinds in requests.items():
        found = new_metrics(process, data_centre)
        for client, half, outcome in kinds * 5:
            found.add_request(client, half, RAN, metrics.Outcome(outcome))
        context.texts[process] = found.render()[0]
    context.promised = objectives.DEFAULTS


@behave.when("the burn rates are computed from the metrics text")
def step_from_text(context):
    found = [
        read(text, process, promised=context.promised).unwrap()
        for process, text in context.texts.items()
    ]
    context.burns = burn.burn_rates(found, START_S + 200, context.promised, (300.0,))


@behave.then("the burn count of {objective} is {good:g} good of {total:g}")
def step_count(context, objective, good, total):
    (found,) = [
        b for b in context.burns if (b.objective, b.dimension) == (objective, "all")
    ]
    assert found.count == burn.Count(good, total), found


@behave.then("the burn rates of availability are")
def step_table(context):
    found = [
        [b.dimension, b.name, f"{b.count.good:g}", f"{b.count.total:g}"]
        for b in context.burns
        if b.objective == objectives.AVAILABILITY
    ]
    assert found == [row.cells for row in context.table], found


@behave.when("burn alerts are computed for {m5}, {h1}, {h6} and {d3}")
def step_alerts(context, m5, h1, h6, d3):
    rates = [number(text) for text in (m5, h1, h6, d3)]
    burns = tuple(
        burn.Burn("availability", window_s, "all", "", burn.Count(), rate, window_s)
        for window_s, rate in zip(burn.WINDOWS_S, rates, strict=True)
    )
    context.alerts = burn.alerts(burns)


@behave.then("the burn alert is {alert}")
def step_alert(context, alert):
    found = [
        f"{a.severity} {a.threshold:g} "
        f"{burn.window_name(a.short_s)} {burn.window_name(a.long_s)}"
        for a in context.alerts
    ]
    assert found == ([] if alert == "none" else [alert]), found


@behave.when("the burn report ends at {end_s:g}")
def step_report(context, end_s):
    context.burns = burn.burn_rates(context.scrapes, end_s)


@behave.then("the burn table shows 1000.00 for 5m, 1000.00* for 1h and a page")
def step_text(context):
    lines = burn.to_text(context.burns).splitlines()
    assert lines[0].split() == ["objective", "by", "name", "5m", "1h", "6h", "3d"]
    (row,) = [line for line in lines if line.startswith("availability    all")]
    assert row.split()[2:4] == ["1000.00", "1000.00*"], row
    assert any(line.startswith("page objective=availability") for line in lines)
    assert lines[-1] == "* the history is shorter than the window", lines[-1]


@behave.then("the burn table shows - for an objective without events")
def step_text_empty(context):
    (row,) = [
        line
        for line in burn.to_text(context.burns).splitlines()
        if line.startswith("first_token")
    ]
    assert row.split()[2:] == ["-"] * 4, row


@behave.then("the burn JSON text has the same rates and alerts")
def step_json(context):
    document = json.loads(burn.to_json(context.burns))
    assert [b["rate"] for b in document["burns"]] == [b.rate for b in context.burns]
    assert len(document["alerts"]) == len(burn.alerts(context.burns)) > 0


# Metrics and their text.


@behave.given("the text of report metrics")
def step_text_given(context):
    found = new_metrics()
    found.add_request("crew", "a", RAN, metrics.Outcome.ANSWERED)
    found.add_first_token("crew", "a", 0.5)
    found.add_between_tokens("crew", "a", 0.02)
    context.data = found.render()[0]
    assert isinstance(read(context.data), result.Success)


REQUEST = b"cicadaplank_requests_total{"
BUCKET = b"cicadaplank_first_token_seconds_bucket{"


def edit(lines, mark, old, new):
    """Replace a part of the first line that has a mark and the part."""
    index = next(i for i, line in enumerate(lines) if mark in line and old in line)
    lines[index] = lines[index].replace(old, new)
    return b"\n".join(lines)


def damaged(data, damage):
    lines = data.split(b"\n")
    request = next(line for line in lines if line.startswith(REQUEST))
    without = {
        "no start time": b"cicadaplank_start_time_seconds",
        "no bucket at the threshold": b'le="0.88"',
    }
    if damage in without:
        return b"\n".join(line for line in lines if without[damage] not in line)
    edits = {
        "a byte that is not UTF-8": (REQUEST, b"crew", b"cr\xffew"),
        "a line of words": (REQUEST, request, b"some words here"),
        "an unterminated label": (REQUEST, b'"}', b'"'),
        "a label without quotes": (REQUEST, b'"crew"', b"crew"),
        "a label twice": (REQUEST, b"half=", b"client="),
        "a value of words": (REQUEST, b"} 1", b"} many"),
        "a value that is NaN": (REQUEST, b"} 1", b"} NaN"),
        "a negative counter": (REQUEST, b"} 1", b"} -1"),
        "an infinite counter": (REQUEST, b"} 1", b"} +Inf"),
        "a line twice": (REQUEST, request, request + b"\n" + request),
        "a count unlike the buckets": (
            b"cicadaplank_first_token_seconds_count",
            b"} 1",
            b"} 2",
        ),
        "a bucket above the count": (b'le="0.88"', b"} 1", b"} 3"),
        "a bound that is no number": (BUCKET, b'le="0.05"', b'le="wide"'),
    }
    if damage in edits:
        return edit(lines, *edits[damage])
    return {
        "an empty text": b"",
        "a cut in the middle": data[: len(data) // 2],
        "a cut at the end of a line": b"\n".join(lines[:5]) + b"\n",
        "a missing last line feed": data[:-1],
        "more than the longest length": bytes(expositions.MAX_TEXT_BYTES + 1),
    }[damage]


@behave.when("the report text is damaged by {damage}")
def step_damage(context, damage):
    before = context.data
    context.data = damaged(before, damage)
    assert context.data != before


@behave.then("the report text is refused with {fault}")
def step_refused(context, fault):
    found = read(context.data)
    assert isinstance(found, result.Failure), found
    assert any(fault in text for text in found.failure()), found.failure()


@behave.given(
    "report processes p1 and p2 that serve metrics, p3 that is stopped and p4 that lies"
)
def step_processes(context):
    context.clients = {}
    for process in ("p1", "p2", "p3", "p4"):
        standin = serving.StandIn()
        data = b"\xff\xfe" if process == "p4" else new_metrics(process).render()[0]
        reply = serving.Reply(200, data)
        standin.route("GET", "/metrics", lambda call, r=reply: r)
        reactors.run(standin.listen)
        context.cleanups.append(lambda s=standin: reactors.run(s.stop))
        address = f"http://127.0.0.1:{standin.port}"
        client = http.Client(reactor, address)
        context.cleanups.append(lambda c=client: reactors.run(c.close))
        context.clients[process] = client
        if process == "p3":
            reactors.run(standin.stop)


class SlowFleet:
    """Clients of many processes whose answers wait until no further request comes."""

    def __init__(self, count):
        self.clients = {f"p{index}": self for index in range(count)}
        self.most = 0
        self._waiting = []

    def send(self, method, path):
        """Answer like the HTTP client, but later."""
        waiting = defer.Deferred()
        self._waiting.append(waiting)
        self.most = max(self.most, len(self._waiting))
        if len(self._waiting) == 1:
            reactor.callLater(0, self._answer)
        return waiting

    def _answer(self):
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(http.Response(200, None, new_metrics().render()[0]))


@behave.given("{count:d} report processes that answer when no further one is asked")
def step_fleet(context, count):
    context.fleet = SlowFleet(count)
    context.clients = context.fleet.clients


@behave.then("the report scrapes are of {count:d} processes, at most 32 at once")
def step_fleet_scraped(context, count):
    assert len({raw.process for raw in context.raw}) == count, context.faults
    assert context.fleet.most == 32, context.fleet.most


@behave.when("the report processes are scraped")
def step_scrape(context):
    context.raw, context.faults = reactors.run(
        scrapes.fetch, context.clients, lambda: 1234.0
    )


@behave.then("the report scrapes are of p1 and p2")
def step_scraped(context):
    lines = [raw.to_line() for raw in context.raw]
    found, faults = scrapes.read_lines(lines)
    assert not faults, faults
    assert [(s.process, s.time_s) for s in found] == [("p1", 1234.0), ("p2", 1234.0)]


@behave.then("the report faults name p3 and p4")
def step_faults(context):
    assert sorted(context.faults) == ["p3", "p4"], context.faults


@behave.given("a report file with two scrapes and between them {line}")
def step_file(context, line):
    text = new_metrics().render()[0].decode()
    good = scrapes.RawScrape("e1", 1000.0, text).to_line()
    context.lines = [good, line, good]


@behave.when("the report file is read")
def step_read_file(context):
    context.scrapes, context.faults = scrapes.read_lines(context.lines)


@behave.then("the report file gives two scrapes and a fault in line 2")
def step_file_read(context):
    assert len(context.scrapes) == 2
    assert len(context.faults) == 1, context.faults
    assert context.faults[0].startswith("line 2: "), context.faults


@behave.given("report metrics with a request of the client {name}")
def step_client(context, name):
    context.metrics = new_metrics()
    context.metrics.add_request(shown(name), "a", RAN, metrics.Outcome.ANSWERED)


def samples(context):
    return expositions.parse_metrics(context.metrics.render()[0]).unwrap()


@behave.then("the report text read back has the client {name}")
def step_client_read(context, name):
    found = {s.labels["client"] for s in samples(context) if s.name == metrics.REQUESTS}
    assert found == {shown(name)}, found


@behave.given("report metrics with requests of {count:d} clients")
def step_clients(context, count):
    context.metrics = new_metrics()
    for index in range(count):
        context.metrics.add_request(f"c{index}", "a", RAN, metrics.Outcome.ANSWERED)


@behave.then("the report text has {count:d} clients and counts {more:d} without label")
def step_clients_bounded(context, count, more):
    found = samples(context)
    clients = {s.labels["client"] for s in found if s.name == metrics.REQUESTS}
    assert len(clients) == count, len(clients)
    name = "cicadaplank_clients_without_label_total"
    assert [s.value for s in found if s.name == name] == [more]


@behave.given(
    "report metrics with the counter queue_rejected 3 and the gauge table_version 7"
)
def step_any(context):
    context.metrics = new_metrics()
    context.metrics.count("queue_rejected", queue="admission")
    context.metrics.count("queue_rejected", 2, queue="admission")
    context.metrics.set_gauge("table_version", 7)


@behave.then(
    "the report text has queue_rejected_total 3 and table_version 7 of process e1"
)
def step_any_read(context):
    found = {s.name: s for s in samples(context)}
    rejected = found["cicadaplank_queue_rejected_total"]
    version = found["cicadaplank_table_version"]
    assert (rejected.value, rejected.labels["queue"]) == (3, "admission"), rejected
    assert (version.value, version.labels["process"]) == (7, "e1"), version


@behave.then("the report gauge table_version cannot be used as a counter")
def step_clash(context):
    context.metrics.set_gauge("versions_total", 1)
    try:
        context.metrics.count("versions")
    except ValueError as error:
        assert "Gauge" in str(error), error
    else:
        raise AssertionError("one name for a gauge and a counter")


@behave.when("the report objectives are {document}")
def step_objectives(context, document):
    context.objectives = objectives.parse_objectives(json.loads(document))


@behave.then("the report objectives are refused with {fault}")
def step_objectives_refused(context, fault):
    faults = context.objectives.failure()
    assert any(text.startswith(fault) for text in faults), faults


@behave.then(
    "the report objectives are 0.99, 0.95 within 0.88 s and 0.95 within 0.029 s"
)
def step_objectives_read(context):
    found = [(o.target, o.threshold_s) for o in context.objectives.unwrap()]
    assert found == [(0.99, 0.0), (0.95, 0.88), (0.95, 0.029)], found


# Events.


@behave.given("an event log")
def step_log(context):
    context.stream = io.StringIO()
    context.handler = events.handler(context.stream)
    context.log = events.Events("e1")


def lines(context):
    return context.stream.getvalue().splitlines()


@behave.when("the event refused is logged with the reason {value}")
def step_log_reason(context, value):
    context.value = shown(value)
    with context.handler.applicationbound():
        context.log.log("refused", reason=context.value)


@behave.then("the event log has one line whose reason reads back")
def step_one_line(context):
    (line,) = lines(context)
    fields = events.parse_fields(line)
    assert fields["reason"] == context.value, line
    assert fields["event"] == "refused", line


@behave.when(
    "the event peer_suspected is logged as a warning with 1/3 s, True, None and 7"
)
def step_log_fields(context):
    values = {"after_s": 1 / 3, "known": True, "half": None, "peers": 7}
    with context.handler.applicationbound():
        context.log.log("peer_suspected", "warning", **values)


@behave.then("the event log line has all its fields in order")
def step_fields(context):
    (line,) = lines(context)
    time, rest = line.split(" ", 1)
    assert time.startswith("time=2") and time.endswith("Z"), line
    assert rest == (
        "level=warning process=e1 event=peer_suspected "
        "after_s=0.333333 known=true half=null peers=7"
    ), rest


@behave.when("an event with a value of 10000 characters is logged")
def step_log_long(context):
    with context.handler.applicationbound():
        context.log.log("refused", body="x" * 10_000)


@behave.then("the event log line is shorter than 700 characters")
def step_short(context):
    (line,) = lines(context)
    assert len(line) < 700, len(line)


@behave.then("logging an event with the field {field} is refused")
def step_bad_field(context, field):
    with context.handler.applicationbound():
        try:
            context.log.log(**{"event": "refused", "level": "info"}, **{field: 1})
        except (ValueError, TypeError):
            assert lines(context) == []
        else:
            raise AssertionError(f"{field} was written")


@behave.then("reading the event line {line} is refused")
def step_bad_line(context, line):
    try:
        fields = events.parse_fields(line)
    except ValueError:
        return
    raise AssertionError(f"read as {fields}")


@behave.given(
    "report metrics with a histogram of {count:d} labels and a gauge of the version"
)
def step_histogram(context, count):
    context.metrics = new_metrics()
    for number in range(count):
        context.metrics.observe("answer_seconds", 0.1, (0.05, 0.2), service=str(number))
    context.metrics.set_gauge("configuration_version", 7)


@behave.when("the report text is rendered with the version first")
def step_render_first(context):
    names = ("configuration_version", "not_measured_yet")
    context.data = context.metrics.render(names)[0]


@behave.then("the report text has the version in its first {size:d} bytes")
def step_first_bytes(context, size):
    assert b"\ncicadaplank_configuration_version{" in context.data[:size]


@behave.then("the report text is otherwise complete")
def step_complete(context):
    found = expositions.parse_metrics(context.data).unwrap()
    expected = expositions.parse_metrics(context.metrics.render()[0]).unwrap()
    assert len(found) == len(expected)
    assert sorted(map(str, found)) == sorted(map(str, expected))
