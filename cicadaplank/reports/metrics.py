"""Counters, gauges and histograms of a process in the Prometheus text format."""

import enum
import resource
import time

import aioprometheus

from cicadaplank.reports import objectives

PREFIX = "cicadaplank_"
REQUESTS = f"{PREFIX}requests_total"
START_TIME = f"{PREFIX}start_time_seconds"
HISTOGRAMS = {
    objectives.FIRST_TOKEN: f"{PREFIX}first_token_seconds",
    objectives.BETWEEN_TOKENS: f"{PREFIX}between_tokens_seconds",
}
FIRST_TOKEN_BOUNDS_S = (0.05, 0.11, 0.22, 0.44, 0.66, 0.88, 1.32, 1.76, 3.52, 7.04)
BETWEEN_TOKENS_BOUNDS_S = (0.002, 0.005, 0.01, 0.02, 0.029, 0.04, 0.058, 0.116, 0.29)
# Client names come from callers and each one creates new series. Clients beyond this
# number share one label, so that invented names cannot exhaust the memory.
MAX_CLIENT_LABELS = 1_000
OTHER_CLIENT = "other"
# Ends the text, so that a text truncated at the end of a line is detected.
EOF_MARKER = b"# EOF\n"
# Begins the lines of one metric.
_FAMILY_START = b"# HELP "


def peak_memory_bytes():
    """Return the peak resident memory of this process in bytes."""
    # Linux reports ru_maxrss in KiB.
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class Outcome(enum.Enum):
    """How a request ended for its caller.

    ``ANSWERED``, ``FAILED`` and ``SHED`` (rejected because of overload) count towards
    the availability. ``LIMITED`` (above the client's own limit), ``INVALID`` and
    ``CANCELLED`` (by the caller) do not: the system could not have answered them.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    LIMITED = "limited"
    INVALID = "invalid"
    CANCELLED = "cancelled"


class Metrics:
    """Registry of the counters, gauges and histograms of one process.

    :param process: instance name, a constant label of every series, as are the role,
        region and data centre.
    :param role: ``entry`` or ``agent``.
    :param region: region name.
    :param data_centre: data centre name.
    :param promised: tuple of :class:`objectives.Objective`; each latency threshold is a
        bucket bound of its histogram, so that burn rates are exact.
    :param start_s: Unix time at which the process started, the current time by default.
    """

    def __init__(
        self,
        process,
        role,
        region,
        data_centre,
        promised=objectives.DEFAULTS,
        start_s=None,
    ):
        self.registry = aioprometheus.Registry()
        labels = {"process": process, "role": role}
        labels |= {"region": region, "data_centre": data_centre}
        self._labels = {
            name: escape_label_value(value) for name, value in labels.items()
        }
        self._collectors = {}
        self._labelled_clients = set()
        self._observers = {}
        thresholds = {o.name: o.threshold_s for o in promised}
        self._requests = self._collector(
            aioprometheus.Counter, REQUESTS, "requests by verdict and outcome"
        )
        self._histograms = {
            name: aioprometheus.Histogram(
                HISTOGRAMS[name],
                f"{name} latency in seconds",
                const_labels=self._labels,
                registry=self.registry,
                buckets=[*sorted({*bounds, thresholds[name]}), float("inf")],
            )
            for name, bounds in (
                (objectives.FIRST_TOKEN, FIRST_TOKEN_BOUNDS_S),
                (objectives.BETWEEN_TOKENS, BETWEEN_TOKENS_BOUNDS_S),
            )
        }
        start = self._collector(aioprometheus.Gauge, START_TIME, "start of the process")
        start.set({}, time.time() if start_s is None else start_s)

    def add_request(self, client, half, verdict, outcome):
        """Count a completed request by client, half, verdict and outcome.

        :param client: client name.
        :param half: half of the endpoint, or empty when none was chosen.
        :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
        :param outcome: :class:`Outcome`.
        """
        labels = self._request_labels(client, half)
        labels |= {"verdict": verdict.value, "outcome": outcome.value}
        self._requests.inc(labels)

    def add_first_token(self, client, half, latency_s):
        """Record the time from the arrival of a request to its first token.

        :param client: client name.
        :param half: half of the endpoint.
        :param latency_s: seconds.
        """
        self._observe(objectives.FIRST_TOKEN, client, half, latency_s)

    def add_between_tokens(self, client, half, latency_s):
        """Record the time between two consecutive tokens of a stream.

        :param client: client name.
        :param half: half of the endpoint.
        :param latency_s: seconds.
        """
        self._observe(objectives.BETWEEN_TOKENS, client, half, latency_s)

    def count(self, name, amount=1, **labels):
        """Add to a counter, which is created on first use.

        :param name: name without prefix and ``_total``; quantities carry their unit.
        :param amount: increment; 0 creates the counter without adding to it.
        :param labels: labels, each with a small number of values.
        :raises ValueError: when the name belongs to a metric of another type.
        """
        full_name = f"{PREFIX}{name}_total"
        collector = self._collector(aioprometheus.Counter, full_name, name)
        collector.add(_escape_labels(labels), amount)

    def set_gauge(self, name, value, **labels):
        """Set a gauge, which is created on first use.

        :param name: name without prefix; quantities carry their unit.
        :param value: number.
        :param labels: labels, each with a small number of values.
        :raises ValueError: when the name belongs to a metric of another type.
        """
        collector = self._collector(aioprometheus.Gauge, f"{PREFIX}{name}", name)
        collector.set(_escape_labels(labels), value)

    def observe(self, name, value, bounds, **labels):
        """Add an observation to a histogram, which is created on first use.

        :param name: name without prefix, with its unit.
        :param value: observation.
        :param bounds: upper bounds of the buckets, without infinity; used only by the
            call that creates the histogram.
        :param labels: labels, each with a small number of values.
        """
        full_name = f"{PREFIX}{name}"
        collector = self._collectors.get(full_name)
        if collector is None:
            collector = self._collectors[full_name] = aioprometheus.Histogram(
                full_name,
                name,
                const_labels=self._labels,
                registry=self.registry,
                buckets=[*bounds, float("inf")],
            )
        collector.add(_escape_labels(labels), float(value))

    def render(self, first=()):
        """Return body and headers of the answer to a scrape.

        :param first: names without prefix of the metrics that come first, for readers
            that keep only the beginning of a page. The others follow by name.
        :returns: ``(bytes, dict of headers)``.
        """
        data, headers = aioprometheus.render(self.registry, ())
        names = [f"{PREFIX}{name}".encode() for name in first]
        ranks = {name: rank for rank, name in enumerate(names)}
        families = data.split(_FAMILY_START)[1:]
        families.sort(key=lambda text: ranks.get(text.split(b" ", 1)[0], len(ranks)))
        body = b"".join(_FAMILY_START + family for family in families)
        return body + EOF_MARKER, headers

    def _collector(self, cls, name, doc):
        collector = self._collectors.get(name)
        if collector is None:
            collector = cls(
                name, doc, const_labels=self._labels, registry=self.registry
            )
            self._collectors[name] = collector
        elif not isinstance(collector, cls):
            raise ValueError(f"{name} is already a {type(collector).__name__}")
        return collector

    def _request_labels(self, client, half):
        if client not in self._labelled_clients:
            if len(self._labelled_clients) >= MAX_CLIENT_LABELS:
                self.count("clients_without_label")
                client = OTHER_CLIENT
            else:
                self._labelled_clients.add(client)
        return _escape_labels({"client": client, "half": half})

    def _observe(self, name, client, half, latency_s):
        observer = self._observers.get((name, client, half))
        if observer is None:
            labels = self._request_labels(client, half)
            histogram = self._histograms[name]
            histogram.add(labels, float(latency_s))
            if client in self._labelled_clients:
                # Cached: looking a series up by labels takes longer than observing.
                self._observers[name, client, half] = histogram.get_value(labels)
            return
        observer.observe(float(latency_s))


def escape_label_value(text):
    """Escape a label value for the text format; aioprometheus does not escape.

    :param text: label value, converted to text first.
    :returns: text with escaped backslashes, double quotes and line feeds.
    """
    text = str(text).replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")


def _escape_labels(labels):
    return {name: escape_label_value(value) for name, value in labels.items()}
