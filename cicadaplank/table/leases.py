"""Leases with fencing tokens: which process sends commands to an engine.

Safety depends on the token, which grows with every change of the holder: an engine
refuses a command with an old token; for an engine that ignores the token, the holder
reads the engine's state back and repeats its command when the state differs. The lease
only limits the number of processes that send commands to one, so clocks need not be
synchronised.
"""

import dataclasses
import json

import automat

from cicadaplank.table import records

# 780 agents renew at 13 writes/s, less than a twentieth of what the table service can
# handle. A restarted agent does not wait for the lease to expire: see Lease.
LEASE_DURATION_S = 180.0
RENEW_S = 60.0
# The clock rates of two machines differ by less than this fraction.
CLOCK_RATE_MARGIN = 0.01
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 10.0
WAITING_READ_S = 15.0
# For this long after a failed request the table service is considered down.
OUTAGE_EVIDENCE_S = 3 * MAX_RETRY_S
# A command of the former holder may still be in transit to the engine, so its state is
# read back until no such command can remain.
READ_BACK_DELAYS_S = (0.0, 1.0, 5.0, 30.0)


@dataclasses.dataclass(frozen=True)
class LeaseAcquired:
    """Action: the lease is acquired; send commands with this token from now on.

    :param token: fencing token.
    :param from_other: True when the lease record named a holder before. That may be an
        earlier incarnation of this instance.
    """

    token: int
    from_other: bool


@dataclasses.dataclass(frozen=True)
class LeaseLost:
    """Action: the lease is lost; send no further command to the engine.

    :param reason: text for the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class ReadBackEngine:
    """Action: read the engine's state, then call :meth:`Lease.engine_read`."""


@dataclasses.dataclass(frozen=True)
class RepeatCommand:
    """Action: the engine's state differs from the last command; send it again.

    :param token: fencing token.
    :param command: command passed to :meth:`Lease.command_sent`.
    :param found: engine state passed to :meth:`Lease.engine_read`.
    """

    token: int
    command: str
    found: str


@dataclasses.dataclass(frozen=True)
class Holder:
    """Value of a lease record.

    :param name: instance name of the holder, empty after a release.
    :param incarnation: start time of the holder in Unix milliseconds.
    :param token: fencing token; never decreases, not even after a release.
    :param duration_s: time without a change of the record after which another process
        may acquire the lease.
    """

    name: str = ""
    incarnation: int = 0
    token: int = 0
    duration_s: float = LEASE_DURATION_S

    def to_json(self):
        """Return the value as JSON text."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True)


def _flatten(outputs):
    return tuple(action for part in outputs for action in part)


def _parse(record):
    try:
        return Holder(**json.loads(record.value))
    except (ValueError, TypeError):
        # A malformed record counts as a free lease with token 0; an engine that saw a
        # higher token reports it when it refuses.
        return Holder()


class Lease:
    """State machine of one process that acquires, renews and releases one lease.

    It does no I/O. The caller calls :meth:`start`, :meth:`answered` with the result of
    each request to the table service, :meth:`tick` about once a second,
    :meth:`command_sent` after each command, :meth:`engine_read` with the engine's state
    after a :class:`ReadBackEngine`, :meth:`token_refused` when the engine refuses a
    token, and :meth:`release` on a planned stop. Before every command it calls
    :meth:`token`.

    A process with the same name and a higher incarnation acquires the lease of the
    process that it replaces at once. Any other process waits until the record has not
    changed for its duration, measured by the waiting process's own clock.

    While the table service is down no other process can acquire the lease, so the
    holder may still send commands (state ``unconfirmed``) but does not repeat them.

    For metrics, ``reads`` and ``writes`` count requests to the table service and
    ``repeated_commands`` counts commands that were repeated because the engine's state
    differed from them.

    :param subject: what is leased, for example the engine's name.
    :param name: instance name of this process.
    :param incarnation: start time of this process in Unix milliseconds.
    :param rng: :class:`random.Random` for the jitter of renewals and retries.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, subject, name, incarnation, rng):
        self.subject = subject
        self.name = name
        self.incarnation = incarnation
        self.repeated_commands = 0
        self.reads = 0
        self.writes = 0
        self._key = records.LEASE_PREFIX + subject
        self._rng = rng
        self._record = records.Record(self._key, "", 0)
        self._holder = Holder()
        self._token = 0
        self._token_floor = 0
        self._from_other = False
        self._transaction_sent_s = None
        self._valid_from_s = None
        self._unavailable_s = None
        self._announced_token = 0
        self._next_request_s = None
        self._retry_s = FIRST_RETRY_S
        self._lost_answers = 0
        self._unchanged_since_s = None
        self._command = ""
        self._read_back_times_s = []
        self._reason = ""

    @property
    def state(self):
        """Name of the state machine's state, for logs and metrics."""
        return self._state_name()

    def token(self, now_s):
        """Return the token for a command that is sent now.

        :param now_s: current time in seconds.
        :returns: fencing token, or None when no command may be sent.
        """
        states = ("held", "renewing", "confirming", "unconfirmed")
        if self._valid_from_s is None or self.state not in states:
            return None
        valid_s = LEASE_DURATION_S * (1 - CLOCK_RATE_MARGIN)
        if now_s < self._valid_from_s + valid_s:
            return self._token
        # After expiry the token is valid only while the table service is known to be
        # down. A process that was paused has no recent failure and reads the record
        # first.
        down = (
            self._unavailable_s is not None
            and now_s < self._unavailable_s + OUTAGE_EVIDENCE_S
        )
        return self._token if down else None

    def start(self, now_s):
        """Start to acquire the lease.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        return self._begin(now_s)

    def release(self, now_s):
        """Release the lease on a planned stop.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        return self._release_requested(now_s)

    def tick(self, now_s):
        """Send requests and read-backs of the engine that are due.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        outputs = ()
        if self.state in ("held", "renewing") and self.token(now_s) is None:
            # The process was paused until after the lease expired; it reads the record
            # before it sends a command.
            outputs += self._validity_expired(now_s)
        elif self._next_request_s is not None and now_s >= self._next_request_s:
            self._next_request_s = None
            outputs += self._request_due(now_s)
        if self._read_back_times_s and now_s >= self._read_back_times_s[0]:
            self._read_back_times_s.pop(0)
            if self.state == "held":
                outputs += (ReadBackEngine(),)
        return outputs

    def command_sent(self, command):
        """Store the command that was sent, to compare the engine's state with it.

        :param command: short text in the form in which the engine reports its state,
            for example a manifest digest.
        """
        self._command = command

    def engine_read(self, found, now_s, busy=False):
        """Compare the engine's state with the last command.

        :param found: the engine's state, in the form of the command.
        :param now_s: current time in seconds.
        :param busy: True while the engine is executing a command.
        :returns: tuple of actions.
        """
        if busy or not self._command or found == self._command:
            return ()
        if self.state != "held" or self.token(now_s) is None:
            return ()
        self.repeated_commands += 1
        return (RepeatCommand(self._token, self._command, found),)

    def token_refused(self, highest_token, now_s):
        """Process the engine's refusal of this process's token.

        :param highest_token: highest token that the engine has seen, 0 when unknown.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._token_floor = max(self._token_floor, highest_token, self._token)
        return self._refused(now_s)

    def answered(self, event, now_s):
        """Process the result of the outstanding request.

        :param event: instance of a result class of :mod:`cicadaplank.table.records`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if isinstance(event, records.Unavailable):
            self._unavailable_s = now_s
            self._back_off(now_s)
            return self._unavailable(now_s)
        if isinstance(event, records.AnswerLost):
            self._lost_answers += 1
            if self._lost_answers == 1:
                return self._answer_lost(now_s)
            self._back_off(now_s)
            return self._answer_lost_again(now_s)
        if isinstance(event, records.Committed | records.Conflict):
            self._lost_answers = 0
        if not self._lost_answers:
            # A service that answers reads may still lose every transaction.
            self._retry_s = FIRST_RETRY_S
        if isinstance(event, records.Committed):
            return self._committed(now_s)
        if isinstance(event, records.Conflict):
            return self._condition_failed(now_s)
        return self._classify(event.get(self._key), now_s)

    def _classify(self, record, now_s):
        if record.revision != self._record.revision or self._unchanged_since_s is None:
            self._unchanged_since_s = now_s
        self._record, self._holder = record, _parse(record)
        is_own = (self._holder.name, self._holder.incarnation) == (
            self.name,
            self.incarnation,
        )
        if is_own and self._holder.token > self._token_floor:
            return self._found_own_lease(now_s)
        if is_own or self._may_acquire(now_s):
            return self._found_free(now_s)
        self._lost_answers = 0
        return self._found_other_holder(now_s)

    def _may_acquire(self, now_s):
        holder = self._holder
        if not holder.name:
            return True
        if holder.name == self.name and holder.incarnation < self.incarnation:
            return True
        wait_s = holder.duration_s * (1 + CLOCK_RATE_MARGIN)
        return now_s - self._unchanged_since_s >= wait_s

    def _back_off(self, now_s):
        self._next_request_s = now_s + self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)

    def _transact(self, holder, now_s):
        self.writes += 1
        self._transaction_sent_s = now_s
        self._next_request_s = None
        change = f"{self._key}/{self.name}/{self.incarnation}/{self.writes}"
        conditions = ((self._key, self._record.revision),)
        return (records.Transact(change, conditions, ((self._key, holder.to_json()),)),)

    @_machine.state(initial=True, serialized="idle")
    def _idle(self):
        """Initial state: :meth:`start` was not called yet."""

    @_machine.state(serialized="reading")
    def _reading(self):
        """Reading the record; the lease is not held."""

    @_machine.state(serialized="taking")
    def _taking(self):
        """The transaction that acquires the lease was sent."""

    @_machine.state(serialized="waiting")
    def _waiting(self):
        """Another process holds the lease; the next read is scheduled."""

    @_machine.state(serialized="held")
    def _held(self):
        """The lease is held and no request is outstanding."""

    @_machine.state(serialized="renewing")
    def _renewing(self):
        """The lease is held and its renewal was sent."""

    @_machine.state(serialized="confirming")
    def _confirming(self):
        """Reading the record to find out whether the lease is still held."""

    @_machine.state(serialized="unconfirmed")
    def _unconfirmed(self):
        """The lease was held when the table service began to fail requests."""

    @_machine.state(serialized="releasing")
    def _releasing(self):
        """Reading the record in order to release the lease."""

    @_machine.state(serialized="giving_back")
    def _giving_back(self):
        """The transaction that releases the lease was sent."""

    @_machine.state(serialized="released")
    def _released(self):
        """The lease was released, or is left to expire when that failed."""

    @_machine.serializer()
    def _state_name(self, state):
        return state

    @_machine.input()
    def _begin(self, now_s):
        """:meth:`start` was called."""

    @_machine.input()
    def _request_due(self, now_s):
        """The next renewal, retry or read is due."""

    @_machine.input()
    def _validity_expired(self, now_s):
        """The lease expired before its renewal was confirmed."""

    @_machine.input()
    def _found_own_lease(self, now_s):
        """The record names this process, with a token that was not refused."""

    @_machine.input()
    def _found_free(self, now_s):
        """This process may acquire the lease."""

    @_machine.input()
    def _found_other_holder(self, now_s):
        """Another process holds the lease."""

    @_machine.input()
    def _committed(self, now_s):
        """The transaction took effect."""

    @_machine.input()
    def _condition_failed(self, now_s):
        """The record was changed before the transaction, which had no effect."""

    @_machine.input()
    def _answer_lost(self, now_s):
        """The transaction may have taken effect."""

    @_machine.input()
    def _answer_lost_again(self, now_s):
        """The answer to the previous transaction was lost too; a retry is scheduled."""

    @_machine.input()
    def _unavailable(self, now_s):
        """The request had no effect on the table service."""

    @_machine.input()
    def _refused(self, now_s):
        """The engine refused the token."""

    @_machine.input()
    def _release_requested(self, now_s):
        """:meth:`release` was called."""

    @_machine.output()
    def _read(self, now_s):
        self._next_request_s = None
        self.reads += 1
        return (records.ReadKeys((self._key,)),)

    @_machine.output()
    def _send_acquisition(self, now_s):
        self._from_other = bool(self._holder.name)
        self._token = max(self._holder.token, self._token_floor) + 1
        holder = Holder(self.name, self.incarnation, self._token)
        return self._transact(holder, now_s)

    @_machine.output()
    def _send_renewal(self, now_s):
        holder = Holder(self.name, self.incarnation, self._token)
        return self._transact(holder, now_s)

    @_machine.output()
    def _renew_own_lease(self, now_s):
        # The transaction whose answer was lost took effect. Other processes measure the
        # duration from that time, so the lease is renewed before it is used.
        self._token = self._holder.token
        return self._transact(Holder(self.name, self.incarnation, self._token), now_s)

    @_machine.output()
    def _set_validity(self, now_s):
        # The lease is valid from the sending of the transaction, since the answer may
        # have been delayed for any time.
        self._valid_from_s = self._transaction_sent_s
        self._next_request_s = self._transaction_sent_s + RENEW_S * self._rng.uniform(
            0.8, 1.0
        )
        if self._announced_token == self._token:
            self._read_back_times_s = self._read_back_times_s or [now_s]
            return ()
        self._announced_token = self._token
        self._read_back_times_s = [now_s + delay_s for delay_s in READ_BACK_DELAYS_S]
        return (LeaseAcquired(self._token, self._from_other),)

    @_machine.output()
    def _schedule_wait_read(self, now_s):
        self._next_request_s = now_s + WAITING_READ_S * self._rng.uniform(0.8, 1.0)
        return ()

    @_machine.output()
    def _report_lost(self, now_s):
        self._valid_from_s = None
        self._command = ""
        self._read_back_times_s = []
        other = self._holder
        return (
            LeaseLost(f"the lease is held by {other.name} with token {other.token}"),
        )

    @_machine.output()
    def _report_refused_token(self, now_s):
        self._valid_from_s = None
        return (LeaseLost(f"the engine refused fencing token {self._token}"),)

    @_machine.output()
    def _send_release(self, now_s):
        self._valid_from_s = self._next_request_s = None
        holder = Holder("", self.incarnation, self._token)
        return self._transact(holder, now_s)

    _idle.upon(_begin, _reading, [_read], _flatten)
    _reading.upon(_found_free, _taking, [_send_acquisition], _flatten)
    _reading.upon(_found_own_lease, _renewing, [_renew_own_lease], _flatten)
    _reading.upon(_found_other_holder, _waiting, [_schedule_wait_read], _flatten)
    _reading.upon(_unavailable, _reading, [], _flatten)
    _reading.upon(_request_due, _reading, [_read], _flatten)
    _taking.upon(_committed, _held, [_set_validity], _flatten)
    _taking.upon(_condition_failed, _reading, [_read], _flatten)
    _taking.upon(_answer_lost, _reading, [_read], _flatten)
    _taking.upon(_answer_lost_again, _reading, [], _flatten)
    _taking.upon(_unavailable, _reading, [], _flatten)
    _waiting.upon(_request_due, _reading, [_read], _flatten)
    _held.upon(_request_due, _confirming, [_read], _flatten)
    _held.upon(_validity_expired, _confirming, [_read], _flatten)
    _renewing.upon(_validity_expired, _confirming, [], _flatten)
    _renewing.upon(_committed, _held, [_set_validity], _flatten)
    _renewing.upon(_condition_failed, _confirming, [_read], _flatten)
    _renewing.upon(_answer_lost, _confirming, [_read], _flatten)
    _renewing.upon(_answer_lost_again, _unconfirmed, [], _flatten)
    _renewing.upon(_unavailable, _unconfirmed, [], _flatten)
    _confirming.upon(_found_own_lease, _renewing, [_send_renewal], _flatten)
    _confirming.upon(_found_free, _taking, [_send_acquisition], _flatten)
    _confirming.upon(
        _found_other_holder, _waiting, [_report_lost, _schedule_wait_read], _flatten
    )
    _confirming.upon(_committed, _held, [_set_validity], _flatten)
    _confirming.upon(_condition_failed, _confirming, [_read], _flatten)
    _confirming.upon(_answer_lost, _confirming, [_read], _flatten)
    _confirming.upon(_answer_lost_again, _unconfirmed, [], _flatten)
    _confirming.upon(_unavailable, _unconfirmed, [], _flatten)
    _unconfirmed.upon(_request_due, _confirming, [_read], _flatten)
    for _state in (_held, _unconfirmed):
        _state.upon(_refused, _reading, [_report_refused_token, _read], _flatten)
        _state.upon(_release_requested, _releasing, [_read], _flatten)
    for _state in (_renewing, _confirming):
        _state.upon(_refused, _confirming, [], _flatten)
        # The lease is released after the answer to the outstanding request.
        _state.upon(_release_requested, _releasing, [], _flatten)
    for _state in (_idle, _reading, _taking, _waiting):
        _state.upon(_refused, _state, [], _flatten)
        _state.upon(_release_requested, _released, [], _flatten)
    _releasing.upon(_found_own_lease, _giving_back, [_send_release], _flatten)
    for _input in (_committed, _condition_failed, _answer_lost, _answer_lost_again):
        _releasing.upon(_input, _releasing, [_read], _flatten)
        _giving_back.upon(_input, _released, [], _flatten)
    for _input in (_found_free, _found_other_holder, _unavailable):
        _releasing.upon(_input, _released, [], _flatten)
    _giving_back.upon(_unavailable, _released, [], _flatten)
    for _state in (_releasing, _giving_back):
        for _input in (_request_due, _refused, _release_requested):
            _state.upon(_input, _state, [], _flatten)
    for _input in (
        _request_due,
        _found_own_lease,
        _found_free,
        _found_other_holder,
        _committed,
    ):
        _released.upon(_input, _released, [], _flatten)
    for _input in (
        _condition_failed,
        _answer_lost,
        _answer_lost_again,
        _unavailable,
        _refused,
        _release_requested,
    ):
        _released.upon(_input, _released, [], _flatten)
