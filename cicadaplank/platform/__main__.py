"""Command line that starts a role: ``python3 -m cicadaplank.platform entry``."""

import functools
import os
import signal
import sys
import time

# The other modules are imported after SIGHUP is ignored: a signal for changed settings
# must not end a process while it loads them.

SETTINGS_VARIABLE = "CICADAPLANK_SETTINGS"
EXIT_USAGE = 2
ROLES = ("entry", "agent")
# Limit of the log lines that are buffered while nobody reads them; further lines are
# dropped.
LINE_BUFFER_BYTES = 256 * 1024


def _read_settings(path, role):
    """Read and check the settings file of a role; on faults print them all and exit.

    :returns: tuple of path, document, checked settings and address of the store.
    """
    from cicadaplank.platform import settings

    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        document = settings.read(path)
        checked = getattr(settings, role)(document)
        return path, document, checked, settings.read_store_address(document)
    except settings.SettingsError as fault:
        for line in fault.faults:
            print(f"settings: {line}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def steady_clock(source=time):
    """Return a clock that neither jumps nor stops while the machine is suspended.

    :param source: module with the clocks of the system.
    :returns: callable that returns seconds. Without such a clock it is the monotonic
        one, which may stop during suspension.
    """
    if not hasattr(source, "CLOCK_BOOTTIME"):
        return source.monotonic
    return functools.partial(source.clock_gettime, source.CLOCK_BOOTTIME)


def _steady_reactor():
    """Return the reactor with a clock that is unaffected by wall-clock jumps."""
    from twisted.internet import reactor

    reactor.seconds = steady_clock()
    return reactor


def _run_process(reactor, process):
    from cicadaplank.reports import events, lines

    writer = lines.LineWriter(sys.stdout.fileno(), LINE_BUFFER_BYTES)
    events.handler(writer).push_application()
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)


def _store_adapters(reactor, address, regions):
    """Return the client of the store, its row parser and its registry of instances."""
    from cicadaplank.platform import client, rows, store

    rows_store = store.Store(client.Client(reactor, address))
    return rows_store, rows.RowDecoder(regions), store.InstanceRegistry(rows_store)


def _block_registry(rows_store):
    """Return the row of the store with the blocked parts of prompts."""
    from cicadaplank.platform import store

    return store.BlockRegistry(rows_store)


class Roles:
    """Commands that run a process on the platform or check its settings."""

    def entry(self, path=""):
        """Run the entry process of an edge machine.

        :param path: settings file; by default the one in CICADAPLANK_SETTINGS.
        """
        path, document, checked, address = _read_settings(path, "entry")
        reactor = _steady_reactor()
        from cicadaplank.gateway import process
        from cicadaplank.platform import headers, settings

        adapters = _store_adapters(reactor, address, checked.regions)
        entry = process.EntryProcess(
            reactor,
            checked,
            *adapters,
            headers.PlatformDialect(),
            lambda: settings.entry(settings.read(path)),
            _block_registry(adapters[0]),
        )
        _run_process(reactor, entry)

    def agent(self, path=""):
        """Run the agent process beside a model server.

        :param path: settings file; by default the one in CICADAPLANK_SETTINGS.
        """
        path, document, checked, address = _read_settings(path, "agent")
        reactor = _steady_reactor()
        from cicadaplank.platform import client, servers, settings
        from cicadaplank.replicas import process

        agent = process.AgentProcess(
            reactor,
            checked,
            *_store_adapters(reactor, address, checked.regions),
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
        if role not in ROLES:
            print(f"role must be one of {', '.join(ROLES)}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        _read_settings(path, role)
        print("the settings are valid")


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import fire

    fire.Fire(Roles, name="cicadaplank.platform")
