"""Command line that starts a role: ``python3 -m cicadaplank.platform entry``."""

import os
import sys
import time

import fire

from cicadaplank.platform import settings

SETTINGS_VARIABLE = "CICADAPLANK_SETTINGS"
EXIT_USAGE = 2
# Limit of the log lines that are buffered while nobody reads them; further lines are
# dropped.
LINE_BUFFER_BYTES = 256 * 1024


def _read_settings(path, reader):
    """Read and check a settings file; on faults print them all and exit.

    :returns: tuple of path, document, checked settings and address of the store.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        document = settings.read(path)
        return path, document, reader(document), settings.read_store_address(document)
    except settings.SettingsError as fault:
        for line in fault.faults:
            print(f"settings: {line}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _monotonic_reactor():
    """Return the reactor with a monotonic clock, unaffected by wall-clock jumps."""
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    return reactor


def _run_process(reactor, process):
    from cicadaplank.reports import events, lines

    writer = lines.LineWriter(sys.stdout.fileno(), LINE_BUFFER_BYTES)
    events.handler(writer).push_application()
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)


def _store_adapters(reactor, address):
    """Return the client of the store, its row parser and its registry of instances."""
    from cicadaplank.platform import client, rows, store

    rows_store = store.Store(client.Client(reactor, address))
    return rows_store, rows.RowDecoder(), store.InstanceRegistry(rows_store)


class Roles:
    """Commands that run a process on the platform or check its settings."""

    def entry(self, path=""):
        """Run the entry process of an edge machine.

        :param path: settings file; by default the one in CICADAPLANK_SETTINGS.
        """
        path, document, checked, address = _read_settings(path, settings.entry)
        reactor = _monotonic_reactor()
        from cicadaplank.gateway import process
        from cicadaplank.platform import headers

        entry = process.EntryProcess(
            reactor,
            checked,
            *_store_adapters(reactor, address),
            headers.PlatformDialect(),
            lambda: settings.entry(settings.read(path)),
        )
        _run_process(reactor, entry)

    def agent(self, path=""):
        """Run the agent process beside a model server.

        :param path: settings file; by default the one in CICADAPLANK_SETTINGS.
        """
        path, document, checked, address = _read_settings(path, settings.agent)
        reactor = _monotonic_reactor()
        from cicadaplank.platform import client, servers
        from cicadaplank.replicas import process

        agent = process.AgentProcess(
            reactor,
            checked,
            *_store_adapters(reactor, address),
            servers.ModelServer(client.Client(reactor, document["engine"]["address"])),
            lambda origin: servers.Origin(client.origin_client(reactor, origin)),
            lambda: settings.agent(settings.read(path)),
        )
        _run_process(reactor, agent)

    def check(self, role, path=""):
        """Check a settings file and list all faults.

        :param role: ``entry`` or ``agent``.
        :param path: settings file; by default the one in CICADAPLANK_SETTINGS.
        """
        readers = {"entry": settings.entry, "agent": settings.agent}
        if role not in readers:
            print(f"role must be one of {', '.join(readers)}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        _read_settings(path, readers[role])
        print("the settings are valid")


if __name__ == "__main__":
    fire.Fire(Roles, name="cicadaplank.platform")
