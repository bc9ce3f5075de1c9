"""Table commands: plan, accept, show, status, history, rollback."""

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

TICK_INTERVAL_S = 0.05
# How long a command waits for an accepted version to be in force at all reachable
# processes.
IN_FORCE_TIMEOUT_S = 8.0
STATUS_POLL_INTERVAL_S = 0.25
HISTORY_LENGTH = 20


def read_declarations(path):
    """Read and check a declarations file.

    :param path: path of a JSON file.
    :returns: :class:`cicadaplank.world.contracts.Table`.
    :raises CommandError: when the file cannot be read or is invalid, with all errors.
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
    """Plan, accept and inspect versions of the table."""

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
        results.print_result(document, lines, json)

    def accept(self, file, settings, base=None, change_id=None, json=False):
        """Accept a declarations file as a new version and wait until it is in force.

        :param file: path of the declarations file.
        :param settings: path of the settings file of any process.
        :param base: version that the file was planned against, by default the current
            one.
        :param change_id: identifier of the change, random by default; after an unknown
            outcome, pass the same one again.
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
        current = loop.run(_current_configuration(_session(settings)))
        document = contracts.to_document(current.table)
        lines = [f"version {current.version} change {current.change_id}"]
        for row in current.table.rows:
            holders = ", ".join(current.table.holders(row.name)) or "nobody"
            lines.append(f"{row.kind} {row.name} {row.version}: {holders}")
        results.print_result(
            {"version": current.version, "table": document}, lines, json
        )

    def status(self, settings, json=False):
        """Show the version in force in each data centre, and the lagging instances.

        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        data_centres = loop.run(_status(_session(settings)))
        results.print_result(
            {"data_centres": data_centres}, _status_lines(data_centres), json
        )

    def history(self, settings, json=False):
        """Show the newest accepted versions, at most 20.

        :param settings: path of the settings file of any process.
        :param json: print JSON.
        """
        found = loop.run(_history(_session(settings)))
        lines = [f"{each.version} {each.change_id}" for each in found]
        document = [
            {"version": each.version, "change_id": each.change_id} for each in found
        ]
        results.print_result(document, lines, json)


class _Session:
    """Clients of the table service and the fleet for one command."""

    def __init__(self, checked):
        client = http.Client(reactor, checked.platform.table_url, "operator")
        self.tables = tables.TableServiceClient(client)
        self.fleet = fleet.Fleet(checked)


def _session(path):
    return _Session(processes.load_settings(path))


async def _read_records(session, keys):
    event = await table_requests.send_request(session.tables, records.ReadKeys(keys))
    if isinstance(event, records.RecordsRead):
        return event
    message = f"cannot read from the table service: {event.reason}; try again later"
    raise results.CommandError(message, results.EXIT_UNAVAILABLE)


async def _current_configuration(session):
    """Return the current configuration of the table service."""
    read = await _read_records(session, (records.CURRENT_KEY,))
    current = records.parse_current(read.get(records.CURRENT_KEY))
    if not current.version:
        return contracts.EMPTY
    return await _recorded_configuration(session, current.version)


async def _recorded_configuration(session, version):
    key = records.version_key(version)
    record = (await _read_records(session, (key,))).get(key)
    if not record.revision:
        raise results.CommandError(
            f"version {version} is not recorded at the table service"
        )
    return contracts.parse_configuration(record.value)


async def _plan(table, session):
    current = await _current_configuration(session)
    listed = await session.fleet.instances()
    return current.version, plan.plan(current.table, table, listed)


async def _history(session):
    current = await _current_configuration(session)
    if not current.version:
        return []
    keys = acceptance.history_keys(current.version, HISTORY_LENGTH)
    return acceptance.parse_history(await _read_records(session, keys))


async def _accept(table, session, base, change_id):
    if base is None:
        base = (await _current_configuration(session)).version
    fleet_version = await _newest_fleet_configuration(session)
    state_machine = acceptance.Acceptance(
        change_id, int(base), table, random.Random(), fleet_version
    )
    outcome = await _run_acceptance(state_machine, session)
    return outcome, await _wait_in_force(outcome, session)


async def _rollback(version, session, change_id):
    current = await _current_configuration(session)
    old = await _recorded_configuration(session, version)
    fleet_version = await _newest_fleet_configuration(session)
    state_machine = acceptance.rollback(
        change_id, current.version, old, random.Random(), fleet_version
    )
    outcome = await _run_acceptance(state_machine, session)
    return outcome, await _wait_in_force(outcome, session)


async def _newest_fleet_configuration(session):
    """Return the newest configuration that a reachable process holds.

    It is newer than the current one of a table service restored to an older state.
    """
    listed = await session.fleet.instances()
    statuses = await session.fleet.query(
        listed, types.StatusRequest(), types.StatusReply
    )
    held = {name: reply.version for name, reply in statuses.items() if reply}
    if not held or not max(held.values()):
        return contracts.EMPTY
    name = max(held, key=held.get)
    holder = [each for each in listed if each.name == name]
    request = types.ConfigurationRequest(0)
    replies = await session.fleet.query(holder, request, types.ConfigurationReply)
    reply = replies[name]
    if reply is None or not reply.configuration_json:
        return contracts.EMPTY
    return contracts.parse_configuration(reply.configuration_json)


async def _run_acceptance(state_machine, session):
    """Perform the actions of an acceptance until it has an outcome."""
    waiting = list(state_machine.start(reactor.seconds()))
    while state_machine.outcome is None:
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
            waiting += state_machine.answered(event, reactor.seconds())
        if not waiting:
            await task.deferLater(reactor, TICK_INTERVAL_S)
            waiting += state_machine.tick(reactor.seconds())
    return state_machine.outcome


async def _wait_in_force(outcome, session):
    """Wait until an accepted version is in force at every reachable process.

    :returns: list of :class:`cicadaplank.table.status.DataCentreStatus`, also when
        ``IN_FORCE_TIMEOUT_S`` passed before; None when nothing was accepted.
    """
    if not isinstance(outcome, acceptance.Accepted):
        return None
    deadline_s = reactor.seconds() + IN_FORCE_TIMEOUT_S
    while True:
        data_centres = await _status(session)
        versions = [each.version for each in data_centres if each.version is not None]
        outdated = [version for version in versions if version < outcome.version]
        if not outdated or reactor.seconds() >= deadline_s:
            await session.fleet.close()
            return data_centres
        await task.deferLater(reactor, STATUS_POLL_INTERVAL_S)


async def _status(session):
    """Return the status of each data centre.

    :returns: list of :class:`cicadaplank.table.status.DataCentreStatus`.
    """
    listed = await session.fleet.instances()
    replies = await session.fleet.query(
        listed, types.StatusRequest(), types.StatusReply
    )
    answered = {name: reply for name, reply in replies.items() if reply is not None}
    return status.summarise(listed, answered)


def _status_lines(data_centres):
    """Return the status of each data centre as lines of text."""
    lines = []
    for data_centre in data_centres:
        version = "-" if data_centre.version is None else data_centre.version
        poll_note = (
            ""
            if data_centre.reaches_table_service
            else ", does not reach the table service"
        )
        lines.append(
            f"{data_centre.data_centre}: version {version} in force{poll_note}"
        )
        lines += [
            f"  {lag.instance} lags at {lag.version} for {lag.behind_s:.1f} s"
            for lag in data_centre.lagging
        ]
        lines += [f"  {name} is not ready" for name in data_centre.not_ready]
        lines += [f"  {name} gives no answer" for name in data_centre.unreachable]
    return lines


def _show_accepted(accepted, as_json):
    """Print the outcome of an acceptance.

    :raises CommandError: with exit code 3 for a conflict and 4 when the outcome is
        unknown or nothing was accepted.
    """
    outcome, data_centres = accepted
    if isinstance(outcome, acceptance.Accepted):
        document = {
            "version": outcome.version,
            "change_id": outcome.change_id,
            "data_centres": data_centres,
        }
        lines = [f"accepted as version {outcome.version}", *_status_lines(data_centres)]
        results.print_result(document, lines, as_json)
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
