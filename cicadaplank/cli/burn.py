"""Command that reports the service-level burn."""

import pathlib

from twisted.internet import reactor

from cicadaplank.cli import fleet, loop, processes, results
from cicadaplank.external import http
from cicadaplank.messages import types
from cicadaplank.reports import burn, plots, scrapes

PLOT_WINDOW_S = 3_600.0


def report(settings, history, urls=None, plot=None, json=False):
    """Report the burn rates of the service-level objectives over several windows.

    The metrics of every entry instance are added to the history file first; a window
    is only as long as the history.

    :param settings: path of the settings file of any process.
    :param history: path of the file that keeps the metrics between two calls.
    :param urls: ``name=url,...`` to fetch metrics over HTTP in place of asking peers.
    :param plot: path of an SVG file to write.
    :param json: print JSON.
    """
    checked = processes.load_settings(settings)
    path = pathlib.Path(history)
    coroutine = _fetch(urls) if urls else _ask(checked)
    fresh, faults = loop.run(coroutine)
    try:
        with path.open("a") as file:
            file.writelines(scrape.to_line() + "\n" for scrape in fresh)
        lines = path.read_text().splitlines()
    except OSError as error:
        message = f"{path}: cannot be written: {error.strerror}"
        raise results.CommandError(message, results.EXIT_USAGE) from error
    read, damaged = scrapes.read_lines(lines, checked.objectives)
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
    for fault in damaged:
        print(f"{path}: {fault}")


async def _ask(checked):
    """Ask every entry instance for its metrics."""
    asking = fleet.Fleet(checked)
    entries = [each for each in await asking.instances() if each.role == "entry"]
    replies = await asking.ask(entries, types.MetricsRequest(), types.MetricsReply)
    now_s = reactor.seconds()
    found = [
        scrapes.RawScrape(name, now_s, reply.text)
        for name, reply in replies.items()
        if reply is not None
    ]
    silent = {name: "no answer" for name, reply in replies.items() if reply is None}
    await asking.close()
    return found, silent


async def _fetch(urls):
    """Fetch metrics over HTTP."""
    text = urls if isinstance(urls, str) else ",".join(urls)
    pairs = [element.partition("=") for element in text.split(",")]
    if not all(name and equals and url for name, equals, url in pairs):
        message = "--urls must be name=url,name=url"
        raise results.CommandError(message, results.EXIT_USAGE)
    clients = {name: http.Client(reactor, url) for name, _, url in pairs}
    return await scrapes.fetch(clients, reactor.seconds)
