"""Implementation of the ``burn`` command."""

import pathlib

from twisted.internet import reactor

from cicadaplank.cli import fleet, loop, processes, results
from cicadaplank.external import http
from cicadaplank.messages import types
from cicadaplank.reports import burn, plots, scrapes

PLOT_WINDOW_S = 3_600.0


def report(settings, history, urls=None, plot=None, json=False):
    """Report the burn rates of the service-level objectives over several windows.

    The current metrics of every entry instance are first appended to the history file;
    a window covers at most the length of the history.

    :param settings: path of the settings file of any process.
    :param history: path of the file that keeps the metrics of earlier runs.
    :param urls: ``name=url,...`` to fetch metrics over HTTP instead of over peer
        connections.
    :param plot: path of an SVG file to write.
    :param json: print JSON, without the processes and lines that gave no metrics.
    :raises CommandError: when the settings are invalid, or the history file or the plot
        cannot be written.
    """
    checked = processes.load_settings(settings)
    path = pathlib.Path(history)
    coroutine = _fetch_urls(urls) if urls else _query_entries(checked)
    new_scrapes, faults = loop.run(coroutine)
    try:
        with path.open("a") as file:
            file.writelines(scrape.to_line() + "\n" for scrape in new_scrapes)
        lines = path.read_text().splitlines()
    except OSError as error:
        message = f"{path}: history file cannot be read or written: {error.strerror}"
        raise results.CommandError(message, results.EXIT_USAGE) from error
    read, line_faults = scrapes.read_lines(lines, checked.objectives)
    burns = burn.burn_rates(read, reactor.seconds(), checked.objectives)
    if plot:
        points = burn.timeline(read, PLOT_WINDOW_S, checked.objectives)
        try:
            plots.write_plot(plot, points, PLOT_WINDOW_S)
        except ValueError as error:
            raise results.CommandError(str(error), results.EXIT_USAGE) from error
    if json:
        print(burn.to_json(burns))
        return
    print(burn.to_text(burns))
    for name, reason in sorted(faults.items()):
        print(f"no metrics from {name}: {reason}")
    for fault in line_faults:
        print(f"{path}: {fault}")


async def _query_entries(checked):
    """Query the metrics of every entry instance over peer connections."""
    fleet_connections = fleet.Fleet(checked)
    entries = [
        each for each in await fleet_connections.instances() if each.role == "entry"
    ]
    replies = await fleet_connections.query(
        entries, types.MetricsRequest(), types.MetricsReply
    )
    now_s = reactor.seconds()
    found = [
        scrapes.RawScrape(name, now_s, reply.text)
        for name, reply in replies.items()
        if reply is not None
    ]
    silent = {name: "no answer" for name, reply in replies.items() if reply is None}
    await fleet_connections.close()
    return found, silent


async def _fetch_urls(urls):
    """Fetch metrics over HTTP from the URLs of the ``--urls`` flag."""
    text = urls if isinstance(urls, str) else ",".join(urls)
    pairs = [element.partition("=") for element in text.split(",")]
    if not all(name and equals and url for name, equals, url in pairs):
        message = "--urls must have the form name=url,name=url"
        raise results.CommandError(message, results.EXIT_USAGE)
    clients = {name: http.Client(reactor, url) for name, _, url in pairs}
    return await scrapes.fetch(clients, reactor.seconds)
