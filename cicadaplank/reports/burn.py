"""Burn rates of the service-level objectives.

The burn rate is the share of bad events in a window, divided by the share that the
objective allows: at 1 the error budget is used up exactly at the end of its period.
This module does no I/O; :mod:`cicadaplank.reports.scrapes` fetches the metrics.
"""

import dataclasses
import json
import math

from returns import result

from cicadaplank.reports import expositions, metrics, objectives

WINDOWS_S = (300.0, 3_600.0, 21_600.0, 259_200.0)
DIMENSIONS = ("client", "half", "data_centre")
DIMENSION_ALL = "all"
# Bounds the time that a plot takes: each point needs a pass over all scrapes.
MAX_PLOT_POINTS = 200
# Multiwindow alerts: severity, burn rate threshold, short and long window in seconds.
# Both windows must reach the threshold: the long one shows that the loss matters, the
# short one that it is still going on. Of the error budget of 30 days, one hour at 14.4
# uses 2%, six hours at 6 use 5%, and three days at 1 use 10%.
ALERTS = (
    ("page", 14.4, 300.0, 3_600.0),
    ("page", 6.0, 3_600.0, 21_600.0),
    ("ticket", 1.0, 21_600.0, 259_200.0),
)
AVAILABILITY_OUTCOMES = (
    metrics.Outcome.ANSWERED,
    metrics.Outcome.FAILED,
    metrics.Outcome.SHED,
)
AVAILABILITY_OUTCOME_VALUES = tuple(outcome.value for outcome in AVAILABILITY_OUTCOMES)


@dataclasses.dataclass(frozen=True)
class Series:
    """Key of one count: an objective and the labels of its events.

    :param objective: name of the objective.
    :param client: client name.
    :param half: half of the endpoint.
    :param data_centre: data centre of the process.
    """

    objective: str
    client: str
    half: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Count:
    """Number of good and of all events.

    :param good: events that meet the objective.
    :param total: all events.
    """

    good: float = 0.0
    total: float = 0.0

    def __add__(self, other):
        return Count(self.good + other.good, self.total + other.total)

    def __sub__(self, other):
        return Count(self.good - other.good, self.total - other.total)


@dataclasses.dataclass(frozen=True)
class Scrape:
    """Cumulative counts of one process at one time.

    :param process: instance name.
    :param time_s: Unix time of the scrape.
    :param start_s: Unix time at which the process started.
    :param counts: dict from :class:`Series` to :class:`Count`.
    """

    process: str
    time_s: float
    start_s: float
    counts: dict


@dataclasses.dataclass(frozen=True)
class Burn:
    """Burn rate of one objective in one window, for one value of a dimension.

    :param objective: name of the objective.
    :param window_s: length of the window in seconds.
    :param dimension: ``all``, ``client``, ``half`` or ``data_centre``.
    :param name: value of the dimension, empty for ``all``.
    :param count: :class:`Count` in the window.
    :param rate: burn rate, or None when there was no event.
    :param covered_s: seconds that the scrapes cover; less than ``window_s`` when the
        history is too short, more when the first scrape is before the start of the
        window.
    """

    objective: str
    window_s: float
    dimension: str
    name: str
    count: Count
    rate: float
    covered_s: float


@dataclasses.dataclass(frozen=True)
class Alert:
    """Burn rate threshold that a short and a long window both reach.

    :param severity: ``page`` or ``ticket``.
    :param objective: name of the objective.
    :param dimension: as in :class:`Burn`.
    :param name: as in :class:`Burn`.
    :param threshold: burn rate that both windows reach.
    :param short_s: length of the short window in seconds.
    :param long_s: length of the long window in seconds.
    """

    severity: str
    objective: str
    dimension: str
    name: str
    threshold: float
    short_s: float
    long_s: float


def read_scrape(process, time_s, data, promised=objectives.DEFAULTS):
    """Parse the metrics text of one process into counts for the objectives.

    :param process: instance name.
    :param time_s: Unix time of the scrape.
    :param data: metrics text as bytes.
    :param promised: tuple of :class:`objectives.Objective`.
    :returns: Success with :class:`Scrape`, or Failure with a tuple of error texts.
    """
    return expositions.parse_metrics(data).bind(
        lambda samples: _read_samples(process, time_s, samples, promised)
    )


def _read_samples(process, time_s, samples, promised):
    faults = [f"{s.name} is {s.value}" for s in samples if not _is_count(s)]
    starts = [s.value for s in samples if s.name == metrics.START_TIME]
    if len(starts) != 1:
        faults.append(f"{metrics.START_TIME} is missing or stands twice")
    counts = {}
    for objective in promised:
        if objective.name == objectives.AVAILABILITY:
            _read_requests(samples, counts)
        else:
            _read_histogram(samples, objective, counts, faults)
    if faults:
        return result.Failure(tuple(faults[: expositions.MAX_FAULTS]))
    return result.Success(Scrape(process, time_s, starts[0], counts))


def _is_count(sample):
    gauge = not sample.name.endswith(("_total", "_bucket", "_count"))
    return gauge or 0 <= sample.value < math.inf


def _series(objective, sample):
    labels = [sample.labels.get(name, "") for name in DIMENSIONS]
    return Series(objective, *labels)


def _read_requests(samples, counts):
    for sample in samples:
        outcome = sample.labels.get("outcome")
        if (
            sample.name != metrics.REQUESTS
            or outcome not in AVAILABILITY_OUTCOME_VALUES
        ):
            continue
        series = _series(objectives.AVAILABILITY, sample)
        good = sample.value if outcome == metrics.Outcome.ANSWERED.value else 0.0
        counts[series] = counts.get(series, Count()) + Count(good, sample.value)


def _read_histogram(samples, objective, counts, faults):
    name = metrics.HISTOGRAMS[objective.name]
    good, inf_buckets, total = {}, {}, {}
    for sample in samples:
        series = _series(objective.name, sample)
        if sample.name == f"{name}_count":
            total[series] = sample.value
        elif sample.name == f"{name}_bucket":
            try:
                bound_s = float(sample.labels.get("le", ""))
            except ValueError:
                faults.append(f"{name}: bound {sample.labels.get('le')!r}")
                continue
            if bound_s == objective.threshold_s:
                good[series] = sample.value
            elif bound_s == math.inf:
                inf_buckets[series] = sample.value
    for series in sorted({*good, *inf_buckets, *total}, key=str):
        if series not in good:
            faults.append(f"{name}: no bound at {objective.threshold_s} s")
        elif inf_buckets.get(series) != total.get(series):
            faults.append(f"{name}: buckets and count differ")
        elif good[series] > total[series]:
            faults.append(f"{name}: a bucket is above the count")
        else:
            counts[series] = Count(good[series], total[series])


def increases(scrapes, start_s, end_s):
    """Return the increase of every count in a window, over all processes.

    The counts of a restarted process begin at 0 again; events between its last scrape
    and the restart are lost. A process whose first scrape is in the window adds all its
    counts if it started in the window, else only the increase after that scrape.

    :param scrapes: :class:`Scrape` of any processes.
    :param start_s: Unix time of the start.
    :param end_s: Unix time of the end; later scrapes are ignored.
    :returns: ``(dict from Series to Count, seconds that the scrapes cover)``.
    """
    scrapes_by_process = {}
    for scrape in sorted(scrapes, key=lambda scrape: scrape.time_s):
        if scrape.time_s <= end_s:
            scrapes_by_process.setdefault(scrape.process, []).append(scrape)
    totals, first_s = {}, end_s
    for process_scrapes in scrapes_by_process.values():
        before = [scrape for scrape in process_scrapes if scrape.time_s <= start_s]
        inside = [scrape for scrape in process_scrapes if scrape.time_s > start_s]
        previous = before[-1] if before else None
        if before or inside:
            first_s = min(first_s, (before[-1:] or inside)[0].time_s)
        for scrape in inside:
            for series, count in _increase(previous, scrape, start_s).items():
                totals[series] = totals.get(series, Count()) + count
            previous = scrape
    return totals, end_s - first_s


def _increase(previous, scrape, start_s):
    if previous is None:
        return scrape.counts if scrape.start_s >= start_s else {}
    if _restarted(previous, scrape):
        return scrape.counts
    return {
        series: count - previous.counts.get(series, Count())
        for series, count in scrape.counts.items()
    }


def _restarted(previous, scrape):
    if scrape.start_s != previous.start_s:
        return True
    return any(
        scrape.counts.get(series, Count()).total < count.total
        for series, count in previous.counts.items()
    )


def burn_rates(scrapes, end_s, promised=objectives.DEFAULTS, windows_s=WINDOWS_S):
    """Return the burn rates of every objective, window and dimension.

    :param scrapes: :class:`Scrape` of any processes.
    :param end_s: Unix time at which every window ends.
    :param promised: tuple of :class:`objectives.Objective`.
    :param windows_s: lengths of the windows in seconds.
    :returns: tuple of :class:`Burn`.
    """
    burns = []
    for window_s in windows_s:
        totals, covered_s = increases(scrapes, end_s - window_s, end_s)
        for objective in promised:
            groups = {(DIMENSION_ALL, ""): Count()}
            for series, count in totals.items():
                if series.objective != objective.name:
                    continue
                for group in _group_keys(series):
                    groups[group] = groups.get(group, Count()) + count
            burns += [
                Burn(
                    objective.name,
                    window_s,
                    dimension,
                    name,
                    count,
                    rate(count, objective.target),
                    covered_s,
                )
                for (dimension, name), count in sorted(groups.items())
            ]
    return tuple(burns)


def _group_keys(series):
    named = [(dimension, getattr(series, dimension)) for dimension in DIMENSIONS]
    return [(DIMENSION_ALL, ""), *named]


def rate(count, target):
    """Return the share of bad events, divided by the share that the target allows.

    :param count: :class:`Count`.
    :param target: promised share of good events.
    :returns: burn rate, or None when there was no event.
    """
    if count.total <= 0:
        return None
    return (1.0 - count.good / count.total) / (1.0 - target)


def alerts(burns):
    """Return the alerts of ``ALERTS`` that the burn rates raise.

    :param burns: tuple of :class:`Burn`.
    :returns: tuple of :class:`Alert`; for the same objective, dimension and name only
        the first of ``ALERTS`` that applies.
    """
    rates = {(b.objective, b.dimension, b.name, b.window_s): b.rate for b in burns}
    found = {}
    for severity, threshold, short_s, long_s in ALERTS:
        for objective, dimension, name, window_s in rates:
            if window_s != long_s:
                continue
            key = (objective, dimension, name)
            pair = (rates.get((*key, short_s)), rates[(*key, long_s)])
            if all(value is not None and value >= threshold for value in pair):
                found.setdefault(key, Alert(severity, *key, threshold, short_s, long_s))
    return tuple(found.values())


def to_text(burns):
    """Format burn rates as a table of text, followed by the alerts.

    :param burns: tuple of :class:`Burn`.
    :returns: text; a rate whose window is longer than the history is marked ``*``.
    """
    windows_s = sorted({burn.window_s for burn in burns})
    rates = {(b.objective, b.dimension, b.name, b.window_s): b for b in burns}
    rows = sorted({key[:3] for key in rates})
    head = "".join(f"{window_name(window_s):>10}" for window_s in windows_s)
    lines = [f"{'objective':<16}{'by':<13}{'name':<20}{head}"]
    for objective, dimension, name in rows:
        cells = "".join(
            f"{_format_cell(rates.get((objective, dimension, name, window_s))):>10}"
            for window_s in windows_s
        )
        lines.append(f"{objective:<16}{dimension:<13}{name:<20}{cells}")
    lines += [
        f"{alert.severity} objective={alert.objective} by={alert.dimension} "
        f"name={alert.name or '-'} windows={window_name(alert.short_s)},"
        f"{window_name(alert.long_s)} burn>={alert.threshold:g}"
        for alert in alerts(burns)
    ]
    if any(burn.covered_s < burn.window_s for burn in burns):
        lines.append("* the history is shorter than the window")
    return "\n".join(lines) + "\n"


def _format_cell(burn):
    if burn is None or burn.rate is None:
        return "-"
    return f"{burn.rate:.2f}{'*' if burn.covered_s < burn.window_s else ''}"


def window_name(window_s):
    """Format the length of a window in its largest whole unit.

    :param window_s: length in seconds.
    :returns: for example ``5m`` or ``3d``.
    """
    for unit, length_s in (("d", 86_400), ("h", 3_600), ("m", 60)):
        if window_s >= length_s and window_s % length_s == 0:
            return f"{window_s / length_s:g}{unit}"
    return f"{window_s:g}s"


def to_json(burns):
    """Return the burn rates and alerts as JSON text.

    :param burns: tuple of :class:`Burn`.
    :returns: text.
    """
    document = {
        "burns": [dataclasses.asdict(burn) for burn in burns],
        "alerts": [dataclasses.asdict(alert) for alert in alerts(burns)],
    }
    return json.dumps(document, indent=1, sort_keys=True) + "\n"


def timeline(scrapes, window_s, promised=objectives.DEFAULTS):
    """Return burn rates over all clients, halves and data centres, for a plot.

    There is one point for the time of each scrape; of more than ``MAX_PLOT_POINTS``
    times, evenly spaced ones are used, the newest among them.

    :param scrapes: :class:`Scrape` of any processes.
    :param window_s: length in seconds of the window that ends at each point.
    :param promised: tuple of :class:`objectives.Objective`.
    :returns: dict from objective name to a list of ``(Unix time, burn rate)``, without
        the times whose window has no event.
    """
    points = {objective.name: [] for objective in promised}
    times_s = sorted({scrape.time_s for scrape in scrapes})
    step = -(-len(times_s) // MAX_PLOT_POINTS) or 1
    for time_s in times_s[::-step][::-1]:
        for burn in burn_rates(scrapes, time_s, promised, (window_s,)):
            if burn.dimension == DIMENSION_ALL and burn.rate is not None:
                points[burn.objective].append((time_s, burn.rate))
    return points
