"""Fetches the metrics of processes, and reads and writes the scrape history file.

Instances persist nothing; the ``burn`` command of an operator keeps the file.
"""

import dataclasses
import json

from returns import result
from twisted.internet import defer

from cicadaplank.external import errors, http
from cicadaplank.reports import burn, expositions, objectives

METRICS_PATH = "/metrics"
# A fleet of the expected size has 1,110 processes; connecting to all of them at once
# would take most of the file descriptors that a process may open.
MAX_CONCURRENT_FETCHES = 32


@dataclasses.dataclass(frozen=True)
class RawScrape:
    """Unparsed metrics text of one process.

    :param process: instance name.
    :param time_s: Unix time of the scrape.
    :param text: metrics text.
    """

    process: str
    time_s: float
    text: str

    def to_line(self):
        """Return a line of the history file, without the line feed."""
        return json.dumps([self.process, self.time_s, self.text])


def fetch(clients, clock):
    """Fetch the metrics of several processes, ``MAX_CONCURRENT_FETCHES`` at a time.

    :param clients: dict from instance name to
        :class:`cicadaplank.external.http.Client`.
    :param clock: function that returns the Unix time in seconds.
    :returns: Deferred with ``(tuple of RawScrape, dict from the name of an instance
        without metrics to the reason)``.
    """
    return defer.Deferred.fromCoroutine(_fetch(dict(clients), clock))


async def _fetch(clients, clock):
    slots = defer.DeferredSemaphore(MAX_CONCURRENT_FETCHES)

    def fetch_one(name, client):
        return defer.Deferred.fromCoroutine(_fetch_one(name, client, clock))

    ended = await defer.gatherResults(
        [slots.run(fetch_one, name, client) for name, client in clients.items()]
    )
    scrapes = tuple(item for item in ended if isinstance(item, RawScrape))
    faults = dict(item for item in ended if not isinstance(item, RawScrape))
    return scrapes, faults


async def _fetch_one(name, client, clock):
    try:
        answer = http.check_status(await client.send("GET", METRICS_PATH))
        return RawScrape(name, clock(), answer.body.decode())
    except errors.PlatformError as error:
        return name, error.reason
    except UnicodeDecodeError as error:
        return name, f"metrics are not UTF-8: {error}"


def read_lines(lines, promised=objectives.DEFAULTS):
    """Parse the lines of a history file; a malformed line affects no other.

    :param lines: iterable of texts, as :meth:`RawScrape.to_line` returns them.
    :param promised: tuple of :class:`objectives.Objective`.
    :returns: ``(tuple of burn.Scrape, tuple of texts on malformed lines)``.
    """
    scrapes, faults = [], []
    for number, line in enumerate(lines, 1):
        read = _read_line(line, promised)
        if isinstance(read, result.Success):
            scrapes.append(read.unwrap())
        else:
            faults += [f"line {number}: {fault}" for fault in read.failure()]
    return tuple(scrapes), tuple(faults[: expositions.MAX_FAULTS * 10])


def _read_line(line, promised):
    try:
        process, time_s, text = json.loads(line)
        if not isinstance(process, str) or not isinstance(time_s, float):
            raise ValueError("no process and time")
        return burn.read_scrape(process, time_s, text.encode(), promised)
    except (ValueError, TypeError, AttributeError) as error:
        return result.Failure((f"not a scrape: {error}",))
