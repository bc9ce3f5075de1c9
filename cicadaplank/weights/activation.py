"""State machine that makes an engine load the wanted version of a row.

:class:`Activation` performs no I/O: its event methods return the commands to send, and
the caller reports their outcome by calling further event methods.
"""

import dataclasses

import automat

BACK_OFF_S = 1.0
MAX_BACK_OFF_S = 60.0
# Interval between reads of the engine's state while a load is awaited. One read is not
# enough, since an engine reports its state with a delay.
READ_BACK_INTERVAL_S = 0.5
# Interval between reads of the state of an engine that is ready. An engine that ignores
# the fencing token may accept a late command of an old agent process; the interval
# bounds the time for which that goes unnoticed.
CHECK_INTERVAL_S = 5.0
# Time without the expected digest after which a load command has failed and is
# repeated. Reading weights into an accelerator takes minutes at most.
LOAD_TIMEOUT_S = 600.0


@dataclasses.dataclass(frozen=True)
class SendLoad:
    """Send the load command to the engine.

    The caller reports the outcome with :meth:`Activation.command_accepted` or
    :meth:`Activation.command_failed`.

    :param row: row name.
    :param manifest_digest: manifest whose chunks are complete in the store.
    :param fencing_token: token of the lease on the engine.
    """

    row: str
    manifest_digest: str
    fencing_token: int


@dataclasses.dataclass(frozen=True)
class ReadEngine:
    """Read the state of the engine.

    The caller reports the outcome with :meth:`Activation.engine_reported` or
    :meth:`Activation.command_failed`.

    :param row: row name.
    """

    row: str


@dataclasses.dataclass(frozen=True)
class SendUnload:
    """Tell the engine to unload an old version that has no request in progress.

    :param row: row name.
    :param manifest_digest: manifest digest of the old version.
    :param fencing_token: token of the lease on the engine.
    """

    row: str
    manifest_digest: str
    fencing_token: int


@dataclasses.dataclass(frozen=True)
class ReadinessChanged:
    """The version that receives new requests of the row has changed.

    :param row: row name.
    :param manifest_digest: manifest digest of the version that the engine serves, or
        empty when it serves none.
    """

    row: str
    manifest_digest: str


def _flatten(results):
    return tuple(action for actions in results for action in actions or ())


class Activation:
    """Finite-state machine that loads the wanted version of one row into an engine.

    States: ``idle`` (no version is wanted), ``incomplete`` (chunks are missing),
    ``unleased`` (the lease is not held, and another process may command the engine),
    ``inspecting`` (the engine's state is read, since it may have the version already),
    ``loading`` (the command was sent), ``reading_back`` (the engine accepted the
    command, and its report is awaited), ``ready`` (the engine reported the version) and
    ``backing_off`` (the command failed and is repeated after a delay).

    Every event method returns a tuple of actions, which the caller carries out in
    order. The caller also calls :meth:`tick` at :attr:`wake_s`.

    :param row: row name.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, row):
        self.row = row
        self.wanted = ""
        self.serving = ""
        self.token = None
        self._wake_s = None
        self.failures = 0
        self._complete = False
        self._deadline_s = 0.0
        self._check_s = 0.0
        self._running = {}
        self._old_versions = set()

    @_machine.serializer()
    def _state_name(self, state):
        return state

    @property
    def wake_s(self):
        """Return the time in seconds at which :meth:`tick` is due, or None."""
        times = [self._wake_s] if self._wake_s is not None else []
        if self.serving and self.state != "ready":
            times.append(self._check_s)
        return min(times, default=None)

    @property
    def state(self):
        """Return the name of the current state."""
        return self._state_name()

    @_machine.state(initial=True, serialized="idle")
    def _idle(self):
        """No version is wanted."""

    @_machine.state(serialized="incomplete")
    def _incomplete(self):
        """Chunks are missing."""

    @_machine.state(serialized="unleased")
    def _unleased(self):
        """The lease on the engine is not held."""

    @_machine.state(serialized="inspecting")
    def _inspecting(self):
        """The engine's state is read before a command is sent."""

    @_machine.state(serialized="loading")
    def _loading(self):
        """The load command was sent and is not yet answered."""

    @_machine.state(serialized="reading_back")
    def _reading_back(self):
        """The engine accepted the command; its report of the digest is awaited."""

    @_machine.state(serialized="ready")
    def _ready(self):
        """The engine reported the wanted digest."""

    @_machine.state(serialized="backing_off")
    def _backing_off(self):
        """The command failed and is repeated after a delay."""

    @_machine.input()
    def _wait_for_chunks(self, now_s):
        """A version is wanted whose chunks are not all held."""

    @_machine.input()
    def _withdraw(self, now_s):
        """No version is wanted any more."""

    @_machine.input()
    def _wait_for_lease(self, now_s):
        """The chunks are held, but the lease is not."""

    @_machine.input()
    def _inspect(self, now_s):
        """The chunks and the lease are held."""

    @_machine.input()
    def _load(self, now_s):
        """The engine does not have the version."""

    @_machine.input()
    def _accepted(self, now_s):
        """The engine accepted the command, or its state is due to be read again."""

    @_machine.input()
    def _confirmed(self, now_s):
        """The engine reported the wanted digest."""

    @_machine.input()
    def _failed(self, now_s):
        """The command failed, or the engine reported another digest."""

    @_machine.output()
    def _clear_timer(self, now_s):
        self._wake_s = None
        return ()

    @_machine.output()
    def _start_deadline(self, now_s):
        self._deadline_s = now_s + LOAD_TIMEOUT_S
        return ()

    @_machine.output()
    def _send_load(self, now_s):
        self._deadline_s = now_s + LOAD_TIMEOUT_S
        self._wake_s = self._deadline_s
        return (SendLoad(self.row, self.wanted, self.token),)

    @_machine.output()
    def _read_engine(self, now_s):
        self._wake_s = now_s + READ_BACK_INTERVAL_S
        return (ReadEngine(self.row),)

    @_machine.output()
    def _check_engine(self, now_s):
        self._wake_s = self._check_s = now_s + CHECK_INTERVAL_S
        return (ReadEngine(self.row),)

    @_machine.output()
    def _mark_ready(self, now_s):
        self.failures = 0
        self._wake_s = self._check_s = now_s + CHECK_INTERVAL_S
        if self.serving == self.wanted:
            return ()
        if self.serving:
            self._old_versions.add(self.serving)
        self._old_versions.discard(self.wanted)
        self.serving = self.wanted
        changed = ReadinessChanged(self.row, self.serving)
        return (changed, *self._unload_idle())

    @_machine.output()
    def _back_off(self, now_s):
        self.failures += 1
        delay_s = min(MAX_BACK_OFF_S, BACK_OFF_S * 2 ** min(self.failures - 1, 10))
        self._wake_s = now_s + delay_s
        return ()

    for _state in (
        _idle,
        _incomplete,
        _unleased,
        _inspecting,
        _loading,
        _reading_back,
        _ready,
        _backing_off,
    ):
        _state.upon(_wait_for_chunks, _incomplete, [_clear_timer], _flatten)
        _state.upon(_withdraw, _idle, [_clear_timer], _flatten)
        _state.upon(_wait_for_lease, _unleased, [_clear_timer], _flatten)
        _state.upon(_inspect, _inspecting, [_start_deadline, _read_engine], _flatten)
    _inspecting.upon(_load, _loading, [_send_load], _flatten)
    _inspecting.upon(_accepted, _inspecting, [_read_engine], _flatten)
    _inspecting.upon(_confirmed, _ready, [_mark_ready], _flatten)
    _inspecting.upon(_failed, _backing_off, [_back_off], _flatten)
    _loading.upon(_accepted, _reading_back, [_read_engine], _flatten)
    _loading.upon(_failed, _backing_off, [_back_off], _flatten)
    _reading_back.upon(_accepted, _reading_back, [_read_engine], _flatten)
    _reading_back.upon(_confirmed, _ready, [_mark_ready], _flatten)
    _reading_back.upon(_failed, _backing_off, [_back_off], _flatten)
    _ready.upon(_accepted, _ready, [_check_engine], _flatten)
    _ready.upon(_confirmed, _ready, [_mark_ready], _flatten)
    _ready.upon(_failed, _backing_off, [_back_off], _flatten)
    del _state

    def _advance(self, now_s):
        if not self.wanted:
            return self._withdraw(now_s)
        if not self._complete:
            return self._wait_for_chunks(now_s)
        if self.token is None:
            return self._wait_for_lease(now_s)
        return self._inspect(now_s)

    def version_wanted(self, manifest_digest, complete, now_s):
        """Handle a change of the version that the accepted row names.

        :param manifest_digest: manifest digest of the version, or empty when the row is
            withdrawn.
        :param complete: True when the store holds every chunk of it.
        :param now_s: current time in seconds.
        """
        if manifest_digest == self.wanted:
            return self.chunks_complete(manifest_digest, now_s) if complete else ()
        self.wanted = manifest_digest
        self._complete = complete and bool(manifest_digest)
        self.failures = 0
        actions = ()
        if not manifest_digest and self.serving:
            self._old_versions.add(self.serving)
            self.serving = ""
            actions = (ReadinessChanged(self.row, ""), *self._unload_idle())
        return actions + self._advance(now_s)

    def chunks_complete(self, manifest_digest, now_s):
        """Handle the completion of a version: the store holds every chunk of it.

        :param manifest_digest: manifest digest of the version; ignored unless the
            version is the wanted one.
        :param now_s: current time in seconds.
        """
        if manifest_digest != self.wanted or self._complete:
            return ()
        self._complete = True
        return self._advance(now_s)

    def lease_changed(self, token, now_s):
        """Handle a lease that was acquired, acquired under a new token, or lost.

        :param token: fencing token of the lease on the engine, or None when it is not
            held.
        :param now_s: current time in seconds.
        """
        if token == self.token:
            return ()
        self.token = token
        if self.state == "ready" and token is not None:
            return (ReadEngine(self.row),)
        return self._advance(now_s)

    def command_accepted(self, fencing_token, now_s):
        """Handle a load command that the engine accepted.

        :param fencing_token: token that the command carried; the event is ignored when
            the lease has another token by now.
        :param now_s: current time in seconds.
        """
        if self.state != "loading" or fencing_token != self.token:
            return ()
        return self._accepted(now_s)

    def command_failed(self, fencing_token, now_s):
        """Handle a load command or a read of the state that failed or was refused.

        :param fencing_token: token that the command carried; the event is ignored when
            the lease has another token by now.
        :param now_s: current time in seconds.
        """
        if fencing_token != self.token:
            return ()
        if self.state not in ("inspecting", "loading", "reading_back"):
            return ()
        return self._failed(now_s)

    def engine_reported(self, manifest_digest, loading, now_s):
        """Handle the state that was read from the engine.

        :param manifest_digest: manifest digest of the version that the engine serves
            for the row, or empty.
        :param loading: True while the engine is loading a version.
        :param now_s: current time in seconds.
        """
        reading = self.state in ("inspecting", "reading_back", "ready")
        if reading and manifest_digest == self.wanted and not loading:
            return self._confirmed(now_s)
        # The engine does not serve what this process assumes: stop new requests, in
        # every state.
        actions = () if manifest_digest == self.serving else self._mark_not_ready()
        if not reading or (loading and self.state != "ready"):
            return actions
        if self.state == "inspecting":
            return actions + self._load(now_s)
        return actions + self._failed(now_s)

    def engine_crashed(self, now_s):
        """Handle the end of the engine's process; all versions and requests are lost.

        :param now_s: current time in seconds.
        """
        self._running.clear()
        self._old_versions.clear()
        actions = self._mark_not_ready()
        if self.state in ("inspecting", "loading", "reading_back", "ready"):
            actions += self._failed(now_s)
        return actions

    def _mark_not_ready(self):
        if not self.serving:
            return ()
        self.serving = ""
        return (ReadinessChanged(self.row, ""),)

    def work_started(self, manifest_digest):
        """Count a request that started on a version.

        :param manifest_digest: manifest digest of the version that serves it until it
            ends.
        """
        self._running[manifest_digest] = self._running.get(manifest_digest, 0) + 1
        return ()

    def work_ended(self, manifest_digest):
        """Handle the end of a request on a version.

        :param manifest_digest: manifest digest of the version that served it.
        """
        count = self._running.get(manifest_digest, 0) - 1
        if count > 0:
            self._running[manifest_digest] = count
            return ()
        self._running.pop(manifest_digest, None)
        return self._unload_idle()

    def _unload_idle(self):
        if self.token is None:
            return ()
        idle = sorted(
            digest for digest in self._old_versions if not self._running.get(digest)
        )
        self._old_versions.difference_update(idle)
        return tuple(SendUnload(self.row, digest, self.token) for digest in idle)

    def tick(self, now_s):
        """Handle the timers that have expired.

        :param now_s: current time in seconds.
        """
        if self.serving and self.state != "ready" and now_s >= self._check_s:
            self._check_s = now_s + CHECK_INTERVAL_S
            return (ReadEngine(self.row), *self._handle_timer(now_s))
        return self._handle_timer(now_s)

    def _handle_timer(self, now_s):
        if self._wake_s is None or now_s < self._wake_s:
            return ()
        if self.state == "backing_off":
            return self._advance(now_s)
        if self.state == "ready":
            return self._accepted(now_s)
        if self.state in ("inspecting", "reading_back") and now_s < self._deadline_s:
            return self._accepted(now_s)
        if self.state in ("inspecting", "loading", "reading_back"):
            return self._failed(now_s)
        return ()
