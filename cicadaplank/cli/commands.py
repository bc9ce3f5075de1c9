"""Root of the command line, from which ``fire`` builds commands and flags."""

import contextlib
import sys

from cicadaplank import __version__
from cicadaplank.cli import burn, calls, processes, results, tables, weights
from cicadaplank.reports import explain


class Settings:
    """Commands on settings files."""

    def check(self, *files):
        """Check settings files and list every error.

        :param files: paths of the settings files.
        """
        if not files:
            raise results.CommandError("name at least one file", results.EXIT_USAGE)
        results.print_result(None, calls.check_settings(files), False)


class Commands:
    """Weight distribution system for bursts.

    Exit codes: 0 done, 1 failed, 2 bad usage or file, 3 conflict with another
    operator, 4 a service or process cannot be reached.
    """

    def __init__(self):
        self.table = tables.Table()
        self.weights = weights.Weights()
        self.settings = Settings()

    def entry(self, settings):
        """Run an entry process until it is stopped.

        :param settings: path of its settings file.
        """
        processes.run("entry", settings)

    def agent(self, settings):
        """Run an agent process until it is stopped.

        :param settings: path of its settings file.
        """
        processes.run("agent", settings)

    def request(self, url, client, model, prompt, stream=True, tokens=16, json=False):
        """Send one completion request; print the answer, verdict and timings.

        :param url: base URL of an entry instance.
        :param client: client name.
        :param model: row name.
        :param prompt: prompt text.
        :param stream: request a stream of tokens as they are generated.
        :param tokens: maximum number of tokens to generate.
        :param json: print JSON.
        """
        calls.request(url, client, model, prompt, stream, tokens, json)

    def burn(self, settings, history, urls=None, plot=None, json=False):
        """Report the burn rates of the service-level objectives.

        :param settings: path of the settings file of any process.
        :param history: path of the file that keeps the metrics of earlier runs.
        :param urls: ``name=url,...`` to fetch metrics over HTTP instead of over peer
            connections.
        :param plot: path of an SVG file to write.
        :param json: print JSON.
        """
        burn.report(settings, history, urls, plot, json)

    def explain(self, request, *files):
        """Show the log lines of one request and how it ended.

        :param request: identifier that the client sent with the attempt.
        :param files: log files of any number of processes.
        """
        if not files:
            raise results.CommandError("name at least one file", results.EXIT_USAGE)
        try:
            with contextlib.ExitStack() as stack:
                opened = [
                    stack.enter_context(open(file, errors="replace")) for file in files
                ]
                found = explain.lines_of(str(request), opened)
        except OSError as error:
            raise results.CommandError(str(error), results.EXIT_USAGE) from error
        for line in found:
            print(line.text)
        print(explain.summary(found))

    def version(self):
        """Print the version."""
        print(f"cicadaplank {__version__} python {sys.version.split()[0]}")
