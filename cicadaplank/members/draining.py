"""Graceful shutdown of a process: it drains the work in progress up to a time limit."""

import collections
import dataclasses

import automat

from cicadaplank.requests import verdicts

DEFAULT_DRAIN_LIMIT_S = 30.0
# Work that was written to the connection before the announcement arrived still needs an
# explicit refusal. If the connection were closed earlier, the entry instance would have
# to take it as MAY_HAVE_RUN instead of NOT_RUN.
LINGER_S = 1.0
ANNOUNCE_INTERVAL_S = 1.0
# A longer gap between two ticks shows that the process was paused. Answers may then be
# waiting in its sockets, so that the drain limit is extended to read them first.
MIN_PAUSE_S = 2.0
PAUSE_EXTENSION_S = 1.0
MAX_PAUSE_EXTENSIONS = 3
MAX_WORK = 10_000


@dataclasses.dataclass(frozen=True)
class Announce:
    """Action: announce the state ``leaving`` by heartbeat and endpoint report."""


@dataclasses.dataclass(frozen=True)
class Accept:
    """Action: take the work; :meth:`Draining.finished` must be called at its end."""

    work: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Action: refuse the work, which has certainly not run.

    :param work: identifier of the work.
    :param reason: ``leaving`` or ``busy``.
    :param retry_after_s: seconds after which to retry at this process; 0 to retry at
        another one immediately.
    """

    work: str
    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Abort:
    """Action: abort work that exceeds the drain limit and send its verdict.

    :param work: identifier of the work.
    :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
    """

    work: str
    verdict: verdicts.Verdict


@dataclasses.dataclass(frozen=True)
class Exit:
    """Action: the drain is complete; close the connections and end the process."""


class Draining:
    """State machine of a planned stop.

    After the announcement, new work is refused; work in progress is finished, or
    aborted at the drain limit. The states are ``serving``, ``draining`` and
    ``stopped``. The I/O layer calls :meth:`offered` for each piece of work,
    :meth:`started` when it is handed to the engine or plain service (at an entry
    instance: dispatched), :meth:`finished` when its last byte has been sent, and
    :meth:`tick` every ``ANNOUNCE_INTERVAL_S`` or more often. No step waits for the
    table service or for a peer's reply.

    :param drain_limit_s: seconds that work in progress may take after the start of the
        stop.
    :param linger_s: seconds after the start of the stop for which the process stays to
        refuse offered work explicitly; at most ``drain_limit_s``.
    :raises ValueError: when ``drain_limit_s`` is negative.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, drain_limit_s=DEFAULT_DRAIN_LIMIT_S, linger_s=LINGER_S):
        if drain_limit_s < 0:
            raise ValueError(f"drain_limit_s is {drain_limit_s}, must be 0 or more")
        self.drain_limit_s = drain_limit_s
        self.linger_s = min(linger_s, drain_limit_s)
        self.counts = collections.Counter()
        self._work = {}
        self._linger_until_s = 0.0
        self._drain_deadline_s = 0.0
        self._announced_s = 0.0
        self._ticked_s = 0.0
        self._pause_extensions = 0

    @_machine.state(initial=True, serialized="serving")
    def _serving(self):
        """Work is accepted."""

    @_machine.state(serialized="draining")
    def _draining(self):
        """New work is refused; work in progress continues."""

    @_machine.state(serialized="stopped")
    def _stopped(self):
        """No work is in progress and none is accepted."""

    @_machine.serializer()
    def _state_name(self, state):
        return state

    @_machine.input()
    def _stop(self, now_s):
        """Begin the planned stop."""

    @_machine.input()
    def _offer(self, work, now_s):
        """Accept or refuse new work."""

    @_machine.input()
    def _apply_limits(self, now_s):
        """Repeat the announcement and apply the drain limit in the current state."""

    @_machine.input()
    def _complete(self):
        """End the drain; the process may exit."""

    @_machine.output()
    def _begin_drain(self, now_s):
        self._linger_until_s = now_s + self.linger_s
        self._drain_deadline_s = now_s + self.drain_limit_s
        self._announced_s = self._ticked_s = now_s
        return (Announce(),)

    @_machine.output()
    def _accept(self, work, now_s):
        if len(self._work) >= MAX_WORK:
            self.counts["refused_busy"] += 1
            return (Refuse(work, "busy", 1.0),)
        self._work[work] = False
        return (Accept(work),)

    @_machine.output()
    def _refuse(self, work, now_s):
        self.counts["refused_leaving"] += 1
        return (Refuse(work, "leaving"),)

    @_machine.output()
    def _drain(self, now_s):
        self._extend_after_pause(now_s)
        actions = []
        if now_s - self._announced_s >= ANNOUNCE_INTERVAL_S:
            self._announced_s = now_s
            actions.append(Announce())
        if now_s >= self._drain_deadline_s:
            actions += self._abort_all()
        return tuple(actions)

    @_machine.output()
    def _no_actions(self, now_s):
        return ()

    @_machine.output()
    def _exit(self):
        return (Exit(),)

    def _first_output(outputs):
        return next(iter(outputs), ())

    _serving.upon(_stop, _draining, [_begin_drain], _first_output)
    _serving.upon(_offer, _serving, [_accept], _first_output)
    _serving.upon(_apply_limits, _serving, [_no_actions], _first_output)
    _draining.upon(_stop, _draining, [_no_actions], _first_output)
    _draining.upon(_offer, _draining, [_refuse], _first_output)
    _draining.upon(_apply_limits, _draining, [_drain], _first_output)
    _draining.upon(_complete, _stopped, [_exit], _first_output)
    _stopped.upon(_stop, _stopped, [_no_actions], _first_output)
    _stopped.upon(_offer, _stopped, [_refuse], _first_output)
    _stopped.upon(_apply_limits, _stopped, [_no_actions], _first_output)

    @property
    def state(self):
        """Name of the state: ``serving``, ``draining`` or ``stopped``."""
        return self._state_name()

    @property
    def in_progress(self):
        """Number of pieces of work in progress."""
        return len(self._work)

    def stop_requested(self, now_s):
        """Start the planned stop.

        :param now_s: current time in seconds.
        :returns: :class:`Announce`, and :class:`Exit` when there is nothing to wait
            for; nothing when the stop has already begun.
        """
        return self._stop(now_s) + self._exit_if_drained(now_s)

    def offered(self, work, now_s):
        """Accept or refuse new work.

        :param work: unique identifier.
        :param now_s: current time in seconds.
        :returns: one :class:`Accept` or :class:`Refuse`.
        """
        return self._offer(work, now_s)

    def started(self, work):
        """Record that work may have reached the engine or plain service from now on.

        :param work: identifier of accepted work.
        :returns: no actions.
        """
        if work in self._work:
            self._work[work] = True
        return ()

    def finished(self, work, now_s):
        """Record that the final answer of work has been sent.

        :param work: identifier; unknown ones are ignored.
        :param now_s: current time in seconds.
        :returns: :class:`Exit` when this was the last work that the drain waited for.
        """
        self._work.pop(work, None)
        return self._exit_if_drained(now_s)

    def tick(self, now_s):
        """Repeat the announcement and apply the drain limit.

        :param now_s: current time in seconds.
        :returns: :class:`Announce` when it is due, :class:`Abort` for each piece of
            work over the limit, and :class:`Exit` when the drain is complete.
        """
        return self._apply_limits(now_s) + self._exit_if_drained(now_s)

    def _exit_if_drained(self, now_s):
        if self.state != "draining" or self._work or now_s < self._linger_until_s:
            return ()
        return self._complete()

    def _extend_after_pause(self, now_s):
        paused = now_s - self._ticked_s >= MIN_PAUSE_S
        self._ticked_s = now_s
        if paused and self._pause_extensions < MAX_PAUSE_EXTENSIONS:
            self._pause_extensions += 1
            self._drain_deadline_s = max(
                self._drain_deadline_s, now_s + PAUSE_EXTENSION_S
            )

    def _abort_all(self):
        aborts = []
        for work, started in self._work.items():
            verdict = verdicts.Verdict.NOT_RUN
            if started:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
            aborts.append(Abort(work, verdict))
        self.counts["aborted"] += len(aborts)
        self._work.clear()
        return aborts
