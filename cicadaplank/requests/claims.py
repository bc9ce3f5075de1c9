"""Claims that let a call be executed at most once.

A claim is a record of the table service for one idempotency key. Claims, results and
releases are written in batches of conditional transactions.
"""

import base64
import collections
import dataclasses
import json
import urllib.parse

MAX_BATCH = 32
# With this many pending writes no further claim is accepted. An entry instance answers
# about 12 requests a second at the peak.
MAX_PENDING_WRITES_FOR_CLAIMS = 500
# With this many pending writes further results and releases are dropped. Results wait
# in memory during an outage of the table service and take at most 64 MB.
MAX_PENDING_WRITES = 1_000
MAX_OPEN_TRANSACTIONS = 2
# A larger response body is not recorded, so a repeated call does not get it. With this
# limit the bodies in a transaction of MAX_BATCH results take at most 2 MiB in base64.
MAX_RECORDED_BYTES = 48 * 1024
# Longest time that a caller waits for a claim. The table service responds within
# milliseconds when it is available.
CLAIM_TIMEOUT_S = 2.0
IN_PROGRESS_RETRY_S = 1.0
PROBE_INTERVAL_S = 1.0
# Bounds of the exponential back-off of postponed writes. The table service may be down
# for a long time; results wait in memory until it is back.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0
# A transaction or read without any response is treated as lost after this time.
RESPONSE_TIMEOUT_S = 5.0
CLAIMED, DONE, RELEASED = "claimed", "done", "released"


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of the table service.

    :param key: key of the record.
    :param value: text; empty or None for an absent key.
    :param revision: revision of the last change; 0 for an absent key.
    """

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Transact:
    """Send one conditional transaction to the table service.

    The network layer reports the outcome with exactly one of
    :meth:`Claims.committed`, :meth:`Claims.conflicted`, :meth:`Claims.unavailable` and
    :meth:`Claims.answer_lost`.

    :param change_id: identifier of the transaction.
    :param conditions: tuple of ``(key, expected revision)``.
    :param puts: tuple of ``(key, value)``.
    """

    change_id: str
    conditions: tuple
    puts: tuple


@dataclasses.dataclass(frozen=True)
class Read:
    """Read keys from the table service after a lost response.

    The network layer reports the outcome with :meth:`Claims.read_back` or
    :meth:`Claims.read_failed`.

    :param change_id: identifier of the transaction whose response was lost.
    :param keys: tuple of keys.
    """

    change_id: str
    keys: tuple


@dataclasses.dataclass(frozen=True)
class Held:
    """The claim is held; its call may be dispatched.

    :param claim: identifier of the claim.
    :param generation: generation to send with the work; an agent does not run work
        of an older generation of the same key.
    """

    claim: str
    generation: int


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The call was executed before; this is its recorded result.

    :param claim: identifier of the claim that was requested.
    :param status: HTTP status.
    :param body: response body, or None when it was too large to record.
    """

    claim: str
    status: int
    body: bytes | None


@dataclasses.dataclass(frozen=True)
class Denied:
    """The claim is not held; its call must not be dispatched.

    :param claim: identifier of the claim that was requested.
    :param code: ``unavailable`` (the table service is down or did not answer in
        time), ``in_progress`` or ``unknown`` (an earlier call with the key may have
        run), ``key_reused`` (the key belongs to another request), ``expired`` (the
        lease ended before the claim was held) or ``queue_full``.
    :param retry_after_s: seconds after which a repeated call may get another response.
    """

    claim: str
    code: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Released:
    """The claim was released: a repeated call may be dispatched.

    :param claim: identifier of the claim.
    """

    claim: str


def table_key(row, client, key):
    """Return the table-service key of a claim's record.

    :param row: row name of the plain service.
    :param client: client name.
    :param key: idempotency key of the caller.
    :returns: ``claim/SERVICE/CLIENT/KEY`` with each part percent-encoded.
    """
    parts = [urllib.parse.quote(part, safe="") for part in (row, client, key)]
    return "/".join(["claim", *parts])


@dataclasses.dataclass(frozen=True)
class Claim:
    """Content of a claim's record in the table service.

    :param claim: identifier of the claim, unique over all entry instances.
    :param state: ``claimed``, ``done`` or ``released``.
    :param generation: 1 for the first claim of the key, incremented by each later one.
    :param request_digest: digest of the request that the key belongs to.
    :param lease_until_s: Unix time at which the lease ends. From then on the call is
        not dispatched, and a repeated call gets ``unknown``, not ``in_progress``.
    :param status: HTTP status of the result, 0 when there is none.
    :param body: response body in base64; None when there is none or it is too large.
    """

    claim: str
    state: str
    generation: int
    request_digest: str
    lease_until_s: float
    status: int = 0
    body: str | None = None

    def to_json(self):
        """Return the claim as JSON text."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True)


def parse_claim(text):
    """Parse the value of a claim's record.

    :param text: output of :meth:`Claim.to_json`.
    :returns: :class:`Claim`.
    :raises ValueError: when the text is not JSON or its fields are not those of a
        claim.
    """
    try:
        return Claim(**json.loads(text))
    except TypeError as error:
        raise ValueError(f"expected the JSON of a claim, got {text!r:.80}") from error


@dataclasses.dataclass
class _Write:
    """A pending write of one claim's record.

    :param claim: :class:`Claim` to write.
    :param key: key of the record.
    :param revision: revision that the record is expected to have.
    :param queued_s: time at which a claim was requested; 0.0 for a result or release.
    :param not_before_s: time before which the write is not sent.
    :param failures: number of postponements, for the back-off.
    :param denied: True when the claim was denied or abandoned, so that its call is
        never dispatched.
    :param lost_responses: number of responses lost; above 0 the write may have taken
        effect.
    """

    claim: Claim
    key: str
    revision: int = 0
    queued_s: float = 0.0
    not_before_s: float = 0.0
    failures: int = 0
    denied: bool = False
    lost_responses: int = 0


@dataclasses.dataclass
class _Transaction:
    """A transaction without a known outcome.

    :param writes: list of :class:`_Write`.
    :param sent_s: time at which the transaction, or the read of its keys, was sent.
    :param reading: True when its response was lost and its keys are being read.
    """

    writes: list
    sent_s: float
    reading: bool = False


class Claims:
    """Claims of one entry instance.

    Every event returns a tuple of :class:`Transact`, :class:`Read`, :class:`Held`,
    :class:`Recorded`, :class:`Denied` and :class:`Released`. Results and releases are
    written in the background and retried until the table service has committed them.

    :param process_name: name of this process, unique over restarts; prefix of the
        change identifiers.
    :ivar rejected: number of claims refused, and of results and releases dropped,
        because the queue was full.
    """

    def __init__(self, process_name):
        self._process_name = process_name
        self._queue = collections.deque()
        self._transactions = {}
        self._held = {}
        self._sequence = 0
        self._is_down = False
        self._next_probe_s = 0.0
        self.rejected = 0

    def __len__(self):
        return len(self._queue) + sum(
            len(t.writes) for t in self._transactions.values()
        )

    @property
    def held_count(self):
        """Number of held claims without a result, release or :meth:`forget`."""
        return len(self._held)

    def claim(self, claim, row, client, key, request_digest, lease_until_s, now_s):
        """Request a claim.

        :param claim: identifier of the claim, unique over all entry instances.
        :param row: row name of the plain service.
        :param client: client name.
        :param key: idempotency key of the caller.
        :param request_digest: digest of the request.
        :param lease_until_s: Unix time at which the lease ends; see :class:`Claim`.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if self._is_down and now_s < self._next_probe_s:
            return (Denied(claim, "unavailable", RETRY_MAX_S),)
        # While the table service is down, one claim in PROBE_INTERVAL_S is sent to find
        # out whether it is back; its caller may have to wait for CLAIM_TIMEOUT_S.
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        if len(self) >= MAX_PENDING_WRITES_FOR_CLAIMS:
            self.rejected += 1
            return (Denied(claim, "queue_full", RETRY_MIN_S),)
        content = Claim(claim, CLAIMED, 1, request_digest, lease_until_s)
        write = _Write(content, table_key(row, client, key), queued_s=now_s)
        self._queue.append(write)
        return self._send(now_s)

    def abandon(self, claim, now_s):
        """Stop waiting for a claim that is not held yet.

        Its call is never dispatched, so a claim that still takes effect is released.

        :param claim: identifier of the claim.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._deny([write for write in self._writes() if write.claim.claim == claim])
        return ()

    def _writes(self):
        """Return all writes that are queued or part of a transaction."""
        pending = [write for t in self._transactions.values() for write in t.writes]
        return [*self._queue, *pending]

    def _deny(self, writes):
        """Deny the claims among pending writes.

        A claim in the queue is dropped, or replaced by a release if it may have taken
        effect. One in a transaction stays there until the outcome is known.

        :param writes: list of pending writes; results and releases are skipped.
        :returns: tuple of :class:`Denied`.
        """
        denied = [w for w in writes if w.claim.state == CLAIMED and not w.denied]
        for write in denied:
            write.denied = True
            if write in self._queue:
                self._queue.remove(write)
                self._withdraw(write, 0.0)
        return tuple(Denied(w.claim.claim, "unavailable", RETRY_MAX_S) for w in denied)

    def _withdraw(self, write, now_s):
        """Drop a claim that was denied, or release it if it may have taken effect."""
        if write.lost_responses:
            # Nothing is dispatched under this claim; if it stayed claimed, no later
            # call with the key could be dispatched.
            write.claim = dataclasses.replace(write.claim, state=RELEASED)
            self._postpone(write, now_s)

    def record_result(self, claim, status, body, now_s):
        """Record the result of a call.

        :param claim: identifier of a held claim.
        :param status: HTTP status.
        :param body: response body, or None when it is too large; a body above
            ``MAX_RECORDED_BYTES`` is not recorded.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        text = None
        if body is not None and len(body) <= MAX_RECORDED_BYTES:
            text = base64.b64encode(body).decode()
        return self._enqueue_change(claim, now_s, state=DONE, status=status, body=text)

    def release(self, claim, now_s):
        """Release the claim of a call that was certainly not run.

        :param claim: identifier of a held claim.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        return self._enqueue_change(claim, now_s, state=RELEASED)

    def forget(self, claim):
        """Drop the local state of a claim and leave its record as it is.

        This is for calls that may have run; it does nothing after
        :meth:`record_result` and :meth:`release`.

        :param claim: identifier of a held claim.
        """
        self._held.pop(claim, None)

    def committed(self, change_id, now_s, revision=None):
        """Handle a committed transaction.

        :param change_id: identifier of the transaction.
        :param now_s: current time in seconds.
        :param revision: new revision of the written records, None when not known.
        :returns: tuple of actions.
        """
        self._is_down = False
        transaction = self._transactions.pop(change_id, None)
        if transaction is None:
            return ()
        actions = ()
        for write in transaction.writes:
            actions += self._handle_committed_write(write, revision or 0, now_s)
        return actions + self._send(now_s)

    def conflicted(self, change_id, records, now_s):
        """Handle a transaction that had no effect because a condition failed.

        :param change_id: identifier of the transaction.
        :param records: :class:`Record` of each key whose condition failed.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._is_down = False
        transaction = self._transactions.pop(change_id, None)
        if transaction is None:
            return ()
        found_by_key = {record.key: record for record in records}
        conflicting = [
            write
            for write in transaction.writes
            if write.key in found_by_key
            and found_by_key[write.key].revision != write.revision
        ]
        if not conflicting:
            # None of the returned records explains the conflict, so the keys are read
            # as after a lost response.
            self._transactions[change_id] = transaction
            return self.answer_lost(change_id, now_s)
        actions = ()
        for write in reversed(transaction.writes):
            if write in conflicting:
                actions += self._resolve_conflict(write, found_by_key[write.key], now_s)
            else:
                self._queue.appendleft(write)
        return actions + self._send(now_s)

    def unavailable(self, change_id, now_s):
        """Handle a transaction that certainly had no effect.

        :param change_id: identifier of the transaction.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        transaction = self._transactions.pop(change_id, None)
        if transaction is None:
            return ()
        return self._handle_service_down(transaction, now_s)

    def answer_lost(self, change_id, now_s):
        """Handle a lost response: the transaction may have had an effect.

        :param change_id: identifier of the transaction.
        :param now_s: current time in seconds.
        :returns: tuple with one :class:`Read`, empty when the transaction is not
            pending or its keys are being read already.
        """
        transaction = self._transactions.get(change_id)
        if transaction is None or transaction.reading:
            return ()
        transaction.reading = True
        for write in transaction.writes:
            write.lost_responses += 1
        transaction.sent_s = now_s
        return (Read(change_id, tuple(write.key for write in transaction.writes)),)

    def read_back(self, change_id, records, now_s):
        """Handle the records read after a lost response.

        :param change_id: identifier of the transaction.
        :param records: :class:`Record` of each key that exists.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        self._is_down = False
        transaction = self._transactions.pop(change_id, None)
        if transaction is None:
            return ()
        found_by_key = {record.key: record for record in records}
        actions = ()
        for write in reversed(transaction.writes):
            record = found_by_key.get(write.key, Record(write.key, "", 0))
            if record.revision == write.revision and write.denied:
                self._withdraw(write, now_s)
            elif record.revision == write.revision:
                # The transaction may be delayed and still take effect. Both it and the
                # repeated write expect the same revision, so only one can commit.
                if write.lost_responses == 1:
                    self._queue.appendleft(write)
                else:
                    self._postpone(write, now_s)
            else:
                actions += self._resolve_conflict(write, record, now_s)
        return actions + self._send(now_s)

    def read_failed(self, change_id, now_s):
        """Handle a failed read: the effect of the transaction stays unknown.

        :param change_id: identifier of the transaction.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        transaction = self._transactions.pop(change_id, None)
        if transaction is None:
            return ()
        return self._handle_service_down(transaction, now_s)

    def _handle_service_down(self, transaction, now_s):
        """Deny the claims of a failed transaction and those in the queue.

        Results and releases of the transaction are postponed.
        """
        self._mark_service_down(now_s)
        actions = self._deny([*transaction.writes, *self._queue])
        for write in transaction.writes:
            if write.claim.state == CLAIMED:
                self._withdraw(write, now_s)
            else:
                self._postpone(write, now_s)
        return actions + self._send(now_s)

    def _mark_service_down(self, now_s):
        self._is_down = True
        self._next_probe_s = now_s + PROBE_INTERVAL_S

    def tick(self, now_s):
        """Send postponed writes, and handle overdue claims and responses.

        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        actions = self._deny(
            [w for w in self._writes() if now_s >= w.queued_s + CLAIM_TIMEOUT_S]
        )
        if actions:
            self._mark_service_down(now_s)
        for change_id, transaction in list(self._transactions.items()):
            if now_s >= transaction.sent_s + RESPONSE_TIMEOUT_S:
                if transaction.reading:
                    actions += self.read_failed(change_id, now_s)
                else:
                    actions += self.answer_lost(change_id, now_s)
        return actions + self._send(now_s)

    def next_tick_s(self):
        """Return the time at which :meth:`tick` is next needed, None for never."""
        times = [t.sent_s + RESPONSE_TIMEOUT_S for t in self._transactions.values()]
        times += self._send_times()
        times += [
            write.queued_s + CLAIM_TIMEOUT_S
            for write in self._writes()
            if write.claim.state == CLAIMED and not write.denied
        ]
        return min(times, default=None)

    def _send_times(self):
        """Return the times at which postponed writes can be sent.

        Left out are writes behind an earlier one of the same key, and all writes while
        ``MAX_OPEN_TRANSACTIONS`` are in progress: these depend on a response.
        """
        if len(self._transactions) >= MAX_OPEN_TRANSACTIONS:
            return []
        busy_keys = {w.key for t in self._transactions.values() for w in t.writes}
        times = []
        for write in self._queue:
            if write.key not in busy_keys and write.not_before_s:
                times.append(write.not_before_s)
            busy_keys.add(write.key)
        return times

    def _enqueue_change(self, claim, now_s, **fields):
        held = self._held.pop(claim, None)
        if held is None:
            return ()
        if len(self) >= MAX_PENDING_WRITES:
            # Without a recorded result, a repeated call gets MAY_HAVE_RUN.
            self.rejected += 1
            return ()
        content = dataclasses.replace(held.claim, **fields)
        self._queue.append(_Write(content, held.key, held.revision))
        return self._send(now_s)

    def _send(self, now_s):
        """Start transactions for the queued writes, at most one write per key."""
        actions = ()
        while len(self._transactions) < MAX_OPEN_TRANSACTIONS:
            busy_keys = {w.key for t in self._transactions.values() for w in t.writes}
            batch = self._take_batch(busy_keys, now_s)
            if not batch:
                break
            self._sequence += 1
            change_id = f"{self._process_name}.{self._sequence}"
            self._transactions[change_id] = _Transaction(batch, now_s)
            actions += (
                Transact(
                    change_id,
                    tuple((write.key, write.revision) for write in batch),
                    tuple((write.key, write.claim.to_json()) for write in batch),
                ),
            )
        return actions

    def _take_batch(self, busy_keys, now_s):
        batch, deferred = [], collections.deque()
        while self._queue and len(batch) < MAX_BATCH:
            write = self._queue.popleft()
            if write.key in busy_keys or write.not_before_s > now_s:
                deferred.append(write)
                # Later writes of the same key are deferred too, to keep their order.
                busy_keys = busy_keys | {write.key}
            else:
                batch.append(write)
                busy_keys = busy_keys | {write.key}
        self._queue.extendleft(reversed(deferred))
        return batch

    def _postpone(self, write, now_s):
        if len(self) >= MAX_PENDING_WRITES:
            self.rejected += 1
            return
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**write.failures)
        write.failures += 1
        write.not_before_s = now_s + delay_s
        self._queue.append(write)

    def _handle_committed_write(self, write, revision, now_s):
        """Return the actions that follow a write that took effect."""
        claim = write.claim
        if claim.state == RELEASED:
            return (Released(claim.claim),)
        if claim.state == DONE:
            return ()
        self._held[claim.claim] = _Write(claim, write.key, revision)
        if write.denied:
            return self.release(claim.claim, now_s)
        if now_s >= claim.lease_until_s:
            # This process was paused until its lease ended: the call must not be
            # dispatched.
            release = self.release(claim.claim, now_s)
            return (Denied(claim.claim, "expired", RETRY_MIN_S), *release)
        return (Held(claim.claim, claim.generation),)

    def _resolve_conflict(self, write, record, now_s):
        """Return the actions for a record that differs from the expected revision.

        The write is queued again with the new revision when the record permits it.
        """
        if not record.value:
            write.revision = record.revision
            self._queue.appendleft(write)
            return ()
        try:
            stored = parse_claim(record.value)
        except ValueError:
            # The record is not a claim, so whether the call has run is unknown.
            return () if write.denied else (Denied(write.claim.claim, "unknown", 0.0),)
        if stored.claim == write.claim.claim:
            if stored.state == write.claim.state:
                return self._handle_committed_write(write, record.revision, now_s)
            write.revision = record.revision
            self._queue.appendleft(write)
            return ()
        if write.claim.state != CLAIMED:
            # Another claim has replaced this one, which is only possible after a
            # release of this one took effect.
            is_released = write.claim.state == RELEASED
            return (Released(write.claim.claim),) if is_released else ()
        if stored.state == RELEASED:
            generation = stored.generation + 1
            write.claim = dataclasses.replace(write.claim, generation=generation)
            write.revision = record.revision
            self._queue.appendleft(write)
            return ()
        return (
            ()
            if write.denied
            else (_existing_claim_outcome(write.claim, stored, now_s),)
        )


def _existing_claim_outcome(wanted, stored, now_s):
    if stored.request_digest != wanted.request_digest:
        return Denied(wanted.claim, "key_reused", 0.0)
    if stored.state == DONE:
        body = None if stored.body is None else base64.b64decode(stored.body)
        return Recorded(wanted.claim, stored.status, body)
    remaining_s = stored.lease_until_s - now_s
    if remaining_s > 0:
        return Denied(
            wanted.claim, "in_progress", min(remaining_s, IN_PROGRESS_RETRY_S)
        )
    return Denied(wanted.claim, "unknown", 0.0)
