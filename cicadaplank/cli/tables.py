"""Commands on the table: plan, accept, show, status, history, rollback."""

import json
import pathlib
import random
import uuid

from twisted.internet import reactor, task

from cicadaplank.cli import fleet, loop, processes, results
from cicadaplank.daemons import table_requests
from cicadaplank.external import http, tables
from cicadaplank.messages import actions, types
from cicadaplank.table import acceptance, plan, records, status
from cicadaplank.world import contracts

STEP_S = 0.05
# How long an acceptance waits for the version to be in force everywhere.
IN_FORCE_LIMIT_S = 8.0
ASK_INTERVAL_S = 0.25
HISTORY_LENGTH = 20


def read_declarations(path):
    """Read and check a declarations file.

    :param path: path of a JSON file.
    :returns: :class:`cicadaplank.world.contracts.Table`.
    :raises CommandError: with every error of the file.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        raise results.CommandError(message, results.EXIT_USAGE) from error
    except ValueError as error:
        message = f"{path}: not JSON: {error}"
        raise results.CommandError(message, results.EXIT_USAGE) from error
    try:
        return contracts.parse_table(document)
    except ValueError as error:
        message = f"{path}:\n{error}"
        raise results.CommandError(message, results.EXIT_USAGE) from error


class Table:
    """Commands on the table."""

    def plan(self, file, settings, json=False):
        """Show what accepting a declarations file would change.

        :param file: path of the declarations file.
        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        planned = loop.run(_plan(read_declarations(file), _session(settings)))
        version, found = planned
        lines = [f"base version {version}", *found.difference.lines()]
        lines += [f"warning {w.kind.value}: {w.row} {w.detail}" for w in found.warnings]
        warnings = [
            {"kind": w.kind.value, "row": w.row, "detail": w.detail}
            for w in found.warnings
        ]
        document = {
            "base_version": version,
            "difference": found.difference,
            "warnings": warnings,
        }
        results.show(document, lines, json)

    def accept(self, file, settings, base=None, change_id=None, json=False):
        """Accept a declarations file and wait until it is in force.

        :param file: path of the declarations file.
        :param settings: path of the settings file of any process.
        :param base: version that the file was planned against; the current one when it
            is left out.
        :param change_id: identifier of the change; repeat it after an unknown outcome.
        :param json: print JSON.
        """
        table = read_declarations(file)
        change = str(change_id or uuid.uuid4().hex)
        accepted = _accept(table, _session(settings), base, change)
        _show_accepted(loop.run(accepted), json)

    def rollback(self, version, settings, json=False):
        """Accept the content of an old version as a new version.

        :param version: number of the old version.
        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        session = _session(settings)
        accepted = _rollback(int(version), session, uuid.uuid4().hex)
        _show_accepted(loop.run(accepted), json)

    def show(self, settings, json=False):
        """Show the configuration that the table service holds.

        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        current = loop.run(_current(_session(settings)))
        document = contracts.to_document(current.table)
        lines = [f"version {current.version} change {current.change_id}"]
        for row in current.table.rows:
            holders = ", ".join(current.table.holders(row.name)) or "nobody"
            lines.append(f"{row.kind} {row.name} {row.version}: {holders}")
        results.show({"version": current.version, "table": document}, lines, json)

    def status(self, settings, json=False):
        """Show the version in force by data centre, and who lags.

        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        centres = loop.run(_status(_session(settings)))
        results.show({"data_centres": centres}, _status_lines(centres), json)

    def history(self, settings, json=False):
        """Show the newest accepted versions.

        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        found = loop.run(_history(_session(settings)))
        lines = [f"{each.version} {each.change_id}" for each in found]
        document = [
            {"version": each.version, "change_id": each.change_id} for each in found
        ]
        results.show(document, lines, json)


class _Session:
    """Connections of one command."""

    def __init__(self, checked):
        client = http.Client(reactor, checked.platform.table_url, "operator")
        self.tables = tables.TablesClient(client)
        self.fleet = fleet.Fleet(checked)


def _session(path):
    return _Session(processes.load_settings(path))


async def _read(session, keys):
    event = await table_requests.send_request(session.tables, records.ReadKeys(keys))
    if isinstance(event, records.RecordsRead):
        return event
    message = f"the table service cannot be read: {event.reason}; try again later"
    raise results.CommandError(message, results.EXIT_UNAVAILABLE)


async def _current(session):
    """Return the current configuration of the table service."""
    read = await _read(session, (records.CURRENT_KEY,))
    current = records.parse_current(read.get(records.CURRENT_KEY))
    if not current.version:
        return contracts.EMPTY
    return await _version(session, current.version)


async def _version(session, version):
    key = records.version_key(version)
    record = (await _read(session, (key,))).get(key)
    if not record.revision:
        raise results.CommandError(f"version {version} is not recorded")
    return contracts.parse_configuration(record.value)


async def _plan(table, session):
    current = await _current(session)
    listed = await session.fleet.instances()
    return current.version, plan.plan(current.table, table, listed)


async def _history(session):
    current = await _current(session)
    if not current.version:
        return []
    keys = acceptance.history_keys(current.version, HISTORY_LENGTH)
    return acceptance.parse_history(await _read(session, keys))


async def _accept(table, session, base, change_id):
    if base is None:
        base = (await _current(session)).version
    fleet_version = await _fleet_configuration(session)
    machine = acceptance.Acceptance(
        change_id, int(base), table, random.Random(), fleet_version
    )
    outcome = await _drive(machine, session)
    return outcome, await _wait_in_force(outcome, session)


async def _rollback(version, session, change_id):
    current = await _current(session)
    old = await _version(session, version)
    fleet_version = await _fleet_configuration(session)
    machine = acceptance.rollback(
        change_id, current.version, old, random.Random(), fleet_version
    )
    outcome = await _drive(machine, session)
    return outcome, await _wait_in_force(outcome, session)


async def _fleet_configuration(session):
    """Return the highest configuration that a reachable process holds.

    It is higher than that of a table service that was restored to an older state.
    """
    listed = await session.fleet.instances()
    statuses = await session.fleet.ask(listed, types.StatusRequest(), types.StatusReply)
    held = {name: reply.version for name, reply in statuses.items() if reply}
    if not held or not max(held.values()):
        return contracts.EMPTY
    name = max(held, key=held.get)
    holder = [each for each in listed if each.name == name]
    request = types.ConfigurationRequest(0)
    replies = await session.fleet.ask(holder, request, types.ConfigurationReply)
    reply = replies[name]
    if reply is None or not reply.configuration_json:
        return contracts.EMPTY
    return contracts.parse_configuration(reply.configuration_json)


async def _drive(machine, session):
    """Drive an acceptance to its outcome."""
    waiting = list(machine.start(reactor.seconds()))
    while machine.outcome is None:
        for action in waiting:
            if isinstance(action, actions.Alert):
                print(f"alert {action.kind}: {action.detail}")
        calls = [
            action
            for action in waiting
            if isinstance(action, (records.ReadKeys, records.Transact))
        ]
        waiting = []
        for call in calls:
            event = await table_requests.send_request(session.tables, call)
            waiting += machine.answered(event, reactor.seconds())
        if not waiting:
            await task.deferLater(reactor, STEP_S)
            waiting += machine.tick(reactor.seconds())
    return machine.outcome


async def _wait_in_force(outcome, session):
    """Wait until every reachable process has an accepted version in force."""
    if not isinstance(outcome, acceptance.Accepted):
        return None
    give_up_s = reactor.seconds() + IN_FORCE_LIMIT_S
    while True:
        centres = await _status(session)
        reached = [each.version for each in centres if each.version is not None]
        late = [version for version in reached if version < outcome.version]
        if not late or reactor.seconds() >= give_up_s:
            await session.fleet.close()
            return centres
        await task.deferLater(reactor, ASK_INTERVAL_S)


async def _status(session):
    """Return the status of each data centre.

    :returns: list of :class:`cicadaplank.table.status.DataCentreStatus`.
    """
    listed = await session.fleet.instances()
    replies = await session.fleet.ask(listed, types.StatusRequest(), types.StatusReply)
    answered = {name: reply for name, reply in replies.items() if reply is not None}
    return status.summarise(listed, answered)


def _status_lines(centres):
    """Return the status of each data centre as lines of text."""
    lines = []
    for centre in centres:
        version = "-" if centre.version is None else centre.version
        cut_off = (
            "" if centre.reaches_table_service else ", does not reach the table service"
        )
        lines.append(f"{centre.data_centre}: version {version} in force{cut_off}")
        lines += [
            f"  {lag.instance} lags at {lag.version} for {lag.behind_s:.1f} s"
            for lag in centre.lagging
        ]
        lines += [f"  {name} is not ready" for name in centre.not_ready]
        lines += [f"  {name} gives no answer" for name in centre.unreachable]
    return lines


def _show_accepted(accepted, as_json):
    """Print the outcome of an acceptance; every failure has its own exit code."""
    outcome, centres = accepted
    if isinstance(outcome, acceptance.Accepted):
        document = {
            "version": outcome.version,
            "change_id": outcome.change_id,
            "data_centres": centres,
        }
        lines = [f"accepted as version {outcome.version}", *_status_lines(centres)]
        results.show(document, lines, as_json)
        return
    if isinstance(outcome, acceptance.Conflicted):
        theirs = outcome.theirs.lines() if outcome.theirs else ["(base not recorded)"]
        text = "\n".join(
            [
                f"version {outcome.current.version} was accepted first by change "
                f"{outcome.current.change_id}; your change had no effect.",
                "Theirs, since your base:",
                *theirs,
                "Yours, against the version in force:",
                *outcome.mine.lines(),
                "Plan again against the version in force.",
            ]
        )
        raise results.CommandError(text, results.EXIT_CONFLICT)
    if isinstance(outcome, acceptance.OutcomeUnknown):
        text = (
            f"the outcome is unknown ({outcome.reason}); run the command again with "
            f"--change-id={outcome.change_id}, which is safe"
        )
        raise results.CommandError(text, results.EXIT_UNAVAILABLE)
    text = f"not accepted, nothing was changed: {outcome.reason}"
    raise results.CommandError(text, results.EXIT_UNAVAILABLE)
