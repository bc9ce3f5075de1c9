"""Metrics of a process, shown as text for a klein route."""

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
# Client names come from callers; beyond this number they share one label, so that a
# caller who invents names cannot use up the memory.
MAX_CLIENTS = 1_000
OTHER_CLIENT = "other"
# Marks the end of the text, so that a text cut at the end of a line is recognised.
END = b"# EOF\n"


def peak_memory_bytes():
    """Return the largest memory that this process has held."""
    # Linux gives it in KiB.
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class Outcome(enum.Enum):
    """How a request ended for its caller.

    ``ANSWERED``, ``FAILED`` and ``SHED`` (refused because of overload) count for the
    availability. ``LIMITED`` (above the client's own limit), ``INVALID`` and
    ``CANCELLED`` (by the caller) do not: the system could not have answered them.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    LIMITED = "limited"
    INVALID = "invalid"
    CANCELLED = "cancelled"


class Metrics:
    """Counters, gauges and histograms of one process.

    :param process: instance name.
    :param role: ``entry`` or ``agent``.
    :param region: region name.
    :param data_centre: data centre name.
    :param promised: tuple of :class:`objectives.Objective`; each threshold is a bound
        of its histogram, so that burn rates are exact.
    :param start_s: Unix time at which the process started.
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
        self._labels = {name: escape(value) for name, value in labels.items()}
        self._collectors = {}
        self._clients = set()
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
        """Count a request that has ended.

        :param client: client name.
        :param half: half of the endpoint, or empty when none was chosen.
        :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
        :param outcome: :class:`Outcome`.
        """
        labels = self._request_labels(client, half)
        labels |= {"verdict": verdict.value, "outcome": outcome.value}
        self._requests.inc(labels)

    def add_first_token(self, client, half, latency_s):
        """Add the time from the arrival of a request to its first token.

        :param client: client name.
        :param half: half of the endpoint.
        :param latency_s: seconds.
        """
        self._observe(objectives.FIRST_TOKEN, client, half, latency_s)

    def add_between_tokens(self, client, half, latency_s):
        """Add the time between two tokens of a stream.

        :param client: client name.
        :param half: half of the endpoint.
        :param latency_s: seconds.
        """
        self._observe(objectives.BETWEEN_TOKENS, client, half, latency_s)

    def count(self, name, amount=1, **labels):
        """Add to a counter, which is created when it is first used.

        :param name: name without prefix; quantities carry their unit.
        :param amount: what is added, 0 to show the counter.
        :param labels: labels with few values each.
        """
        full = f"{PREFIX}{name}_total"
        collector = self._collector(aioprometheus.Counter, full, name)
        collector.add(_escaped(labels), amount)

    def set_gauge(self, name, value, **labels):
        """Set a gauge, which is created when it is first used.

        :param name: name without prefix; quantities carry their unit.
        :param value: number.
        :param labels: labels with few values each.
        """
        collector = self._collector(aioprometheus.Gauge, f"{PREFIX}{name}", name)
        collector.set(_escaped(labels), value)

    def observe(self, name, value, bounds, **labels):
        """Add to a histogram, which is created when it is first used.

        :param name: name without prefix, with its unit.
        :param value: observation.
        :param bounds: upper bounds of the buckets; those of the first call count.
        :param labels: labels with few values each.
        """
        full = f"{PREFIX}{name}"
        collector = self._collectors.get(full)
        if collector is None:
            collector = self._collectors[full] = aioprometheus.Histogram(
                full,
                name,
                const_labels=self._labels,
                registry=self.registry,
                buckets=[*bounds, float("inf")],
            )
        collector.add(_escaped(labels), float(value))

    def render(self):
        """Return the text for a klein route.

        :returns: ``(bytes, dict of headers)``.
        """
        data, headers = aioprometheus.render(self.registry, ())
        return data + END, headers

    def _collector(self, cls, name, doc):
        collector = self._collectors.get(name)
        if collector is None:
            collector = cls(
                name, doc, const_labels=self._labels, registry=self.registry
            )
            self._collectors[name] = collector
        elif not isinstance(collector, cls):
            raise ValueError(f"{name} is a {type(collector).__name__}")
        return collector

    def _request_labels(self, client, half):
        if client not in self._clients:
            if len(self._clients) >= MAX_CLIENTS:
                self.count("clients_without_label")
                client = OTHER_CLIENT
            else:
                self._clients.add(client)
        return _escaped({"client": client, "half": half})

    def _observe(self, name, client, half, latency_s):
        observer = self._observers.get((name, client, half))
        if observer is None:
            labels = self._request_labels(client, half)
            histogram = self._histograms[name]
            histogram.add(labels, float(latency_s))
            if client in self._clients:
                # Looking a series up by its labels takes longer than the observation.
                self._observers[name, client, half] = histogram.get_value(labels)
            return
        observer.observe(float(latency_s))


def escape(text):
    """Escape a label value; aioprometheus writes values as they are.

    :param text: value.
    :returns: text that the text format can carry.
    """
    text = str(text).replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")


def _escaped(labels):
    return {name: escape(value) for name, value in labels.items()}
