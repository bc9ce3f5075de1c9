"""State machine that accepts a table in one conditional transaction, and the history.

An accepted table is stored under the next version number, together with a record of
the change, so that a repeated command finds out whether it was already accepted.
"""

import dataclasses
import json

import automat

from cicadaplank.messages import actions
from cicadaplank.table import plan, records
from cicadaplank.world import contracts

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# An operator waits for the outcome; after this time the command reports what is known.
ACCEPT_TIMEOUT_S = 30.0
# Leaves room for the envelope below codec.MAX_FRAME_BYTES, so that a configuration
# always fits in one frame of a peer connection.
MAX_CONFIGURATION_BYTES = 1_900_000


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Outcome: the change is stored as a version and will be in force everywhere.

    :param version: version number under which the change is stored.
    :param change_id: identifier of the change.
    :param current_version: current version; higher than ``version`` when another change
        was accepted after this one.
    """

    version: int
    change_id: str
    current_version: int


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """Outcome: another change was accepted first; this one has no effect, now or later.

    :param base_version: version that the rejected change is based on.
    :param current: :class:`cicadaplank.world.contracts.Configuration` in force.
    :param theirs: :class:`cicadaplank.table.plan.Difference` from the base to the
        configuration in force, or None when one of the two could not be read.
    :param mine: difference from the configuration in force to the rejected table, or
        None when the configuration in force could not be read.
    """

    base_version: int
    current: contracts.Configuration
    theirs: object
    mine: object


@dataclasses.dataclass(frozen=True)
class NotAccepted:
    """Outcome: the change has no effect, now or later; it may be submitted again.

    :param reason: text for the operator.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """Outcome: the change may have been accepted, or may still be.

    Running the acceptance again with the same change id is safe and determines the
    outcome.

    :param change_id: identifier of the change.
    :param reason: text for the operator.
    """

    change_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Finished:
    """Action: report the outcome to the operator.

    :param outcome: :class:`Accepted`, :class:`Conflicted`, :class:`NotAccepted` or
        :class:`OutcomeUnknown`.
    """

    outcome: object


def _flatten(outputs):
    return tuple(action for part in outputs for action in part)


class Acceptance:
    """State machine of one operator's attempt to accept a table as the next version.

    It does no I/O. The caller calls :meth:`start` once, :meth:`answered` with the
    result of each :class:`~cicadaplank.table.records.ReadKeys` or
    :class:`~cicadaplank.table.records.Transact`, and :meth:`tick` at least every
    0.1 s; it carries out the returned actions and stops at :class:`Finished`. At most
    one request is outstanding. All keys of a read must be read from the same snapshot,
    so that the change record and the current version are consistent.

    :param change_id: identifier chosen by the operator's command; reused when the
        command is repeated after :class:`OutcomeUnknown`.
    :param base_version: version that the change is based on.
    :param table: proposed :class:`cicadaplank.world.contracts.Table`.
    :param fleet_configuration: :class:`cicadaplank.world.contracts.Configuration` with
        the highest version that a reachable instance holds. Its version is higher than
        the one in ``table/current`` after the table service was restored to an older
        state.
    :param rng: :class:`random.Random` for the jitter of retries.
    """

    _machine = automat.MethodicalMachine()

    def __init__(
        self, change_id, base_version, table, rng, fleet_configuration=contracts.EMPTY
    ):
        self.change_id = change_id
        self.base_version = base_version
        self.table = table
        self.outcome = None
        self._fleet_configuration = fleet_configuration
        self._rng = rng
        self._retry_s = FIRST_RETRY_S
        self._retry_at_s = None
        self._deadline_s = None
        self._may_take_effect = False
        self._reason = ""
        self._read_result = records.RecordsRead()
        self._current = records.CurrentVersion()
        self._version = 0

    @property
    def state(self):
        """Name of the state machine's state, for logs and metrics."""
        return self._state_name()

    def start(self, now_s):
        """Check the proposed table and start the acceptance.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._deadline_s = now_s + ACCEPT_TIMEOUT_S
        try:
            # Every process serialises a parsed table to the same JSON text, so that the
            # result of applying a delta can be checked against the digest.
            self.table = contracts.parse_table(contracts.to_document(self.table))
        except ValueError as error:
            self._reason = f"the table is invalid; nothing was changed\n{error}"
            return self._invalid(now_s)
        size_bytes = len(self._configuration(self.base_version + 1).to_json())
        if size_bytes > MAX_CONFIGURATION_BYTES:
            self._reason = (
                f"the configuration has {size_bytes} bytes of JSON text, more than the "
                f"allowed {MAX_CONFIGURATION_BYTES} bytes; nothing was changed"
            )
            return self._invalid(now_s)
        return self._begin(now_s)

    def answered(self, event, now_s):
        """Process the result of the outstanding request.

        :param event: instance of a result class of :mod:`cicadaplank.table.records`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if self.outcome is not None:
            return ()
        if isinstance(event, records.Unavailable | records.AnswerLost):
            self._reason = event.reason
            if isinstance(event, records.AnswerLost):
                self._may_take_effect = True
            self._retry_at_s = now_s + self._retry_s * self._rng.uniform(0.5, 1.0)
            self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
            return self._request_failed(now_s)
        self._retry_s = FIRST_RETRY_S
        if isinstance(event, records.Committed):
            return self._committed(now_s)
        if isinstance(event, records.Conflict):
            return self._condition_failed(now_s)
        if self.state == "comparing":
            self._read_result = event
            return self._configurations_read(now_s)
        return self._classify(event, now_s)

    def tick(self, now_s):
        """Send a retry that is due, or report the outcome at the deadline.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if self._deadline_s is not None and now_s >= self._deadline_s:
            return self._deadline_reached(now_s)
        if self._retry_at_s is not None and now_s >= self._retry_at_s:
            self._retry_at_s = None
            return self._retry(now_s)
        return ()

    def _classify(self, event, now_s):
        try:
            current = records.parse_current(event.get(records.CURRENT_KEY))
        except ValueError as error:
            self._reason = str(error)
            return self._found_unreadable(now_s)
        self._read_result, self._current = event, current
        if event.get(self._change_key()).revision:
            return self._found_own_change(now_s)
        if max(current.version, self._fleet_configuration.version) > self.base_version:
            return self._found_newer_version(now_s)
        return self._found_base_current(now_s)

    def _change_key(self):
        return records.CHANGE_PREFIX + self.change_id

    def _configuration(self, version):
        return contracts.Configuration(version, self.change_id, self.table)

    def _finish(self, outcome):
        self.outcome = outcome
        self._deadline_s = self._retry_at_s = None
        return (Finished(outcome),)

    @_machine.state(initial=True, serialized="idle")
    def _idle(self):
        """No request was sent yet."""

    @_machine.state(serialized="reading")
    def _reading(self):
        """Reading ``table/current`` and the record of this change."""

    @_machine.state(serialized="transacting")
    def _transacting(self):
        """The transaction was sent and its result is outstanding."""

    @_machine.state(serialized="comparing")
    def _comparing(self):
        """Another change was accepted first; reading both configurations to compare."""

    @_machine.state(serialized="finished")
    def _finished(self):
        """The outcome was reported; later results are ignored."""

    @_machine.serializer()
    def _state_name(self, state):
        return state

    @_machine.input()
    def _begin(self, now_s):
        """The proposed table is valid and the acceptance starts."""

    @_machine.input()
    def _invalid(self, now_s):
        """The proposed table is invalid or its configuration exceeds the size limit."""

    @_machine.input()
    def _found_own_change(self, now_s):
        """The change record exists: this change was accepted."""

    @_machine.input()
    def _found_newer_version(self, now_s):
        """A version after the base version was accepted, and it is not this change."""

    @_machine.input()
    def _found_base_current(self, now_s):
        """No version after the base version was accepted."""

    @_machine.input()
    def _found_unreadable(self, now_s):
        """The value of ``table/current`` is malformed."""

    @_machine.input()
    def _committed(self, now_s):
        """The transaction took effect."""

    @_machine.input()
    def _condition_failed(self, now_s):
        """A condition of the transaction did not hold."""

    @_machine.input()
    def _configurations_read(self, now_s):
        """The configurations to compare were read."""

    @_machine.input()
    def _request_failed(self, now_s):
        """The request failed or its answer was lost."""

    @_machine.input()
    def _retry(self, now_s):
        """The retry delay is over."""

    @_machine.input()
    def _deadline_reached(self, now_s):
        """``ACCEPT_TIMEOUT_S`` passed since the start."""

    @_machine.output()
    def _read_current(self, now_s):
        return (records.ReadKeys((records.CURRENT_KEY, self._change_key())),)

    @_machine.output()
    def _send_transaction(self, now_s):
        behind = self._current.version < max(
            self._fleet_configuration.version, self.base_version
        )
        newest = max(
            self._current.version, self._fleet_configuration.version, self.base_version
        )
        self._version = newest + 1
        text = self._configuration(self._version).to_json()
        current = records.CurrentVersion(
            self._version, self.change_id, records.digest(text)
        )
        version_key = records.version_key(self._version)
        puts = [
            (records.CURRENT_KEY, current.to_json()),
            (version_key, text),
            (self._change_key(), f'{{"version": {self._version}}}'),
        ]
        alerts = ()
        if behind:
            alerts = (_behind_alert(self._current.version, newest),)
            if self._fleet_configuration.version == newest:
                puts.append(
                    (records.version_key(newest), self._fleet_configuration.to_json())
                )
        conditions = (
            (records.CURRENT_KEY, self._read_result.get(records.CURRENT_KEY).revision),
            (version_key, 0),
            (self._change_key(), 0),
        )
        transact = records.Transact(self.change_id, conditions, tuple(puts))
        return (*alerts, transact)

    @_machine.output()
    def _read_configurations(self, now_s):
        keys = [records.version_key(self.base_version)]
        if self._current.version > self._fleet_configuration.version:
            keys.append(records.version_key(self._current.version))
        return (records.ReadKeys(tuple(keys)),)

    @_machine.output()
    def _report_accepted(self, now_s):
        record = self._read_result.get(self._change_key())
        version = self._version
        if record.revision:
            version = int(json.loads(record.value)["version"])
        current_version = max(version, self._current.version)
        return self._finish(Accepted(version, self.change_id, current_version))

    @_machine.output()
    def _report_conflict(self, now_s):
        current = self._fleet_configuration
        if self._current.version > self._fleet_configuration.version:
            current = self._recorded_configuration(self._current.version)
        base = self._recorded_configuration(self.base_version)
        theirs = mine = None
        if current is not None:
            mine = plan.difference(current.table, self.table)
            theirs = base and plan.difference(base.table, current.table)
        return self._finish(Conflicted(self.base_version, current, theirs, mine))

    def _recorded_configuration(self, version):
        if version == 0:
            return contracts.EMPTY
        record = self._read_result.get(records.version_key(version))
        if not record.revision:
            return None
        try:
            return contracts.parse_configuration(record.value)
        except ValueError:
            return None

    @_machine.output()
    def _report_not_accepted(self, now_s):
        return self._finish(NotAccepted(self._reason))

    @_machine.output()
    def _report_unknown(self, now_s):
        reason = "no answer to the transaction from the table service"
        return self._finish(OutcomeUnknown(self.change_id, reason))

    @_machine.output()
    def _report_unresolved(self, now_s):
        if self._may_take_effect:
            return self._finish(OutcomeUnknown(self.change_id, self._reason))
        reason = self._reason or "no answer from the table service"
        return self._finish(NotAccepted(f"{reason}; nothing was changed"))

    _idle.upon(_begin, _reading, [_read_current], _flatten)
    _idle.upon(_invalid, _finished, [_report_not_accepted], _flatten)
    _reading.upon(_found_own_change, _finished, [_report_accepted], _flatten)
    _reading.upon(_found_base_current, _transacting, [_send_transaction], _flatten)
    _reading.upon(_found_newer_version, _comparing, [_read_configurations], _flatten)
    _reading.upon(_found_unreadable, _finished, [_report_unresolved], _flatten)
    _reading.upon(_request_failed, _reading, [], _flatten)
    _reading.upon(_retry, _reading, [_read_current], _flatten)
    _reading.upon(_deadline_reached, _finished, [_report_unresolved], _flatten)
    _transacting.upon(_committed, _finished, [_report_accepted], _flatten)
    # The condition may have failed because an earlier attempt at this transaction took
    # effect and its answer was lost, so the change record decides.
    _transacting.upon(_condition_failed, _reading, [_read_current], _flatten)
    _transacting.upon(_request_failed, _reading, [], _flatten)
    _transacting.upon(_deadline_reached, _finished, [_report_unknown], _flatten)
    _comparing.upon(_configurations_read, _finished, [_report_conflict], _flatten)
    _comparing.upon(_request_failed, _comparing, [], _flatten)
    _comparing.upon(_retry, _comparing, [_read_configurations], _flatten)
    _comparing.upon(_deadline_reached, _finished, [_report_conflict], _flatten)


def _behind_alert(store_version, known_version):
    detail = (
        f"the table service is at version {store_version} but version {known_version} "
        "was accepted before: it was restored to an older state; numbering continues "
        "after the higher version"
    )
    return actions.Alert("table_service_behind", detail)


def history_keys(current_version, count=20):
    """Return the keys of the newest configurations.

    :param current_version: version in ``table/current``.
    :param count: maximum number of keys.
    :returns: tuple of keys, the newest first.
    """
    oldest = max(1, current_version - count + 1)
    return tuple(
        records.version_key(version)
        for version in range(current_version, oldest - 1, -1)
    )


def parse_history(read):
    """Parse the configurations read with :func:`history_keys`; absent keys are skipped.

    :param read: result of the read, :class:`cicadaplank.table.records.RecordsRead`.
    :returns: list of :class:`cicadaplank.world.contracts.Configuration`, the newest
        first.
    :raises ValueError: when a record does not hold a valid configuration.
    """
    found = [
        contracts.parse_configuration(record.value)
        for record in read.records
        if record.revision and record.key.startswith(records.VERSION_PREFIX)
    ]
    return sorted(found, key=lambda configuration: -configuration.version)


def rollback(change_id, current_version, old, rng, fleet_configuration=contracts.EMPTY):
    """Return an acceptance of an old version's table as a new version.

    :param change_id: identifier of this change.
    :param current_version: version in force that the operator saw; the base version.
    :param old: :class:`cicadaplank.world.contracts.Configuration` to restore.
    :param rng: :class:`random.Random` for the jitter of retries.
    :param fleet_configuration: as for :class:`Acceptance`.
    :returns: :class:`Acceptance`.
    """
    return Acceptance(change_id, current_version, old.table, rng, fleet_configuration)
