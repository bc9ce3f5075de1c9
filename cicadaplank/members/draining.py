"""Graceful shutdown of a process: it drains the work in progress up to a time limit."""

import collections
import dataclasses
import math

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
# Longer than the release of a claim at an entry instance, which the answer waits for.
FLUSH_S = 2.0


@dataclasses.dataclass(frozen=True)
class StopLimits:
    """Time limits of a planned stop, in seconds.

    :param drain_limit_s: time that work in progress may take after the start of the
        stop.
    :param linger_s: time after the start for which the process stays to refuse offered
        work explicitly; at most ``drain_limit_s``.
    :param accept_s: time after the start for which new connections are accepted. After
        it, idle connections are closed.
    :param takes_work: whether work is still accepted that can end by ``drain_limit_s``.
    :param flush_s: time for which the last answers may take to reach their readers
        after ``drain_limit_s``.
    :param end_s: time after the start by which the process has to end, since it is
        killed then.
    :param pause_s: gap between two ticks that shows that the process was paused.
    """

    drain_limit_s: float = DEFAULT_DRAIN_LIMIT_S
    linger_s: float = LINGER_S
    accept_s: float = math.inf
    takes_work: bool = False
    flush_s: float = FLUSH_S
    end_s: float = math.inf
    pause_s: float = MIN_PAUSE_S

    def __post_init__(self):
        if self.drain_limit_s < 0:
            raise ValueError(
                f"drain_limit_s is {self.drain_limit_s}, must be 0 or more"
            )


@dataclasses.dataclass(frozen=True)
class Announce:
    """Action: announce the state ``leaving`` by heartbeat and endpoint report."""


@dataclasses.dataclass(frozen=True)
class StopAccepting:
    """Action: close the listening port."""


@dataclasses.dataclass(frozen=True)
class CloseIdle:
    """Action: close the connections on which no request is read or answered."""


@dataclasses.dataclass(frozen=True)
class Accept:
    """Action: take the work; :meth:`Draining.finished` must be called at its end."""

    work: object


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Action: refuse the work, which has certainly not run.

    :param work: identifier of the work.
    :param reason: ``leaving`` or ``busy``.
    :param retry_after_s: seconds after which to retry at this process; 0 to retry at
        another one immediately.
    """

    work: object
    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Abort:
    """Action: abort work that exceeds the drain limit and send its verdict.

    :param work: identifier of the work.
    :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
    :param accepted: :class:`Accepted`, None where it is not known.
    """

    work: object
    verdict: verdicts.Verdict
    accepted: object = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True)
class Exit:
    """Action: the drain is complete; close the connections and end the process."""


@dataclasses.dataclass(frozen=True)
class Accepted:
    """When and for how long work was accepted.

    :param at_s: time of its acceptance, in seconds.
    :param needed_s: time in seconds that it was expected to take.
    :param has_started: whether it may have reached the engine or plain service.
    """

    at_s: float
    needed_s: float
    has_started: bool = False


class Draining:
    """State machine of a planned stop.

    After the announcement, new work is refused, except where
    :attr:`StopLimits.takes_work` is set and it can end by the drain limit. Work in
    progress is finished, or aborted at the drain limit. The states are ``serving``,
    ``draining``, ``flushing`` (no work is left, but not all answers have reached their
    readers) and ``stopped``. The I/O layer calls :meth:`offered` for each piece of
    work, :meth:`started` when it is handed to the engine or plain service (at an entry
    instance: dispatched), :meth:`finished` when its answer is complete, and
    :meth:`tick` every ``ANNOUNCE_INTERVAL_S`` or more often. No step waits for the
    table service or for a peer's reply.

    :param limits: :class:`StopLimits`.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, limits=None):
        self.limits = limits or StopLimits()
        self.counts = collections.Counter()
        self._work = {}
        self._started_s = 0.0
        self._drain_deadline_s = 0.0
        self._flush_deadline_s = 0.0
        self._announced_s = 0.0
        self._ticked_s = 0.0
        self._is_accepting = True
        self._pause_extensions = 0

    @_machine.state(initial=True, serialized="serving")
    def _serving(self):
        """Work is accepted."""

    @_machine.state(serialized="draining")
    def _draining(self):
        """Work in progress continues; new work may be refused."""

    @_machine.state(serialized="flushing")
    def _flushing(self):
        """Work has ended or was aborted; the last answers are being delivered."""

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
    def _offer(self, work, now_s, needed_s):
        """Accept or refuse new work."""

    @_machine.input()
    def _apply_limits(self, now_s):
        """Repeat the announcement and apply the time limit for new connections."""

    @_machine.input()
    def _reach_drain_limit(self, now_s):
        """Abort the work in progress."""

    @_machine.input()
    def _complete(self):
        """End the drain; the process may exit."""

    @_machine.output()
    def _begin_drain(self, now_s):
        self._started_s = self._announced_s = self._ticked_s = now_s
        self._drain_deadline_s = now_s + self.limits.drain_limit_s
        return (Announce(),)

    @_machine.output()
    def _accept(self, work, now_s, needed_s):
        return self._accept_work(work, now_s, needed_s)

    @_machine.output()
    def _accept_if_it_can_end(self, work, now_s, needed_s):
        if self.limits.takes_work and self.can_end(now_s, needed_s):
            return self._accept_work(work, now_s, needed_s)
        return self._refuse_work(work)

    @_machine.output()
    def _refuse(self, work, now_s, needed_s):
        return self._refuse_work(work)

    @_machine.output()
    def _announce_again(self, now_s):
        self._extend_after_pause(now_s)
        actions = []
        if now_s - self._announced_s >= ANNOUNCE_INTERVAL_S:
            self._announced_s = now_s
            actions.append(Announce())
        return (*actions, *self._close_to_clients(now_s))

    @_machine.output()
    def _flush(self, now_s):
        return self._close_to_clients(now_s)

    @_machine.output()
    def _abort_all(self, now_s):
        latest_s = self._started_s + self.limits.end_s
        self._flush_deadline_s = min(latest_s, now_s + self.limits.flush_s)
        aborts = []
        for work, accepted in self._work.items():
            verdict = verdicts.Verdict.NOT_RUN
            if accepted.has_started:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
            aborts.append(Abort(work, verdict, accepted))
        self.counts["aborted"] += len(aborts)
        self._work.clear()
        return tuple(aborts)

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
    _draining.upon(_offer, _draining, [_accept_if_it_can_end], _first_output)
    _draining.upon(_apply_limits, _draining, [_announce_again], _first_output)
    _draining.upon(_reach_drain_limit, _flushing, [_abort_all], _first_output)
    _draining.upon(_complete, _stopped, [_exit], _first_output)
    _flushing.upon(_stop, _flushing, [_no_actions], _first_output)
    _flushing.upon(_offer, _flushing, [_refuse], _first_output)
    _flushing.upon(_apply_limits, _flushing, [_flush], _first_output)
    _flushing.upon(_complete, _stopped, [_exit], _first_output)
    _stopped.upon(_stop, _stopped, [_no_actions], _first_output)
    _stopped.upon(_offer, _stopped, [_refuse], _first_output)
    _stopped.upon(_apply_limits, _stopped, [_no_actions], _first_output)

    @property
    def state(self):
        """Name of the state: ``serving``, ``draining``, ``flushing`` or ``stopped``."""
        return self._state_name()

    @property
    def is_stopping(self):
        """Whether the planned stop has begun."""
        return self.state != "serving"

    def accepts_connections(self, now_s):
        """Tell whether new connections are still taken.

        That does not wait for the tick that closes the port, which may be late.

        :param now_s: current time in seconds.
        """
        if not self.is_stopping:
            return True
        is_due = now_s - self._started_s > self.limits.accept_s
        return self._is_accepting and not is_due

    @property
    def in_progress(self):
        """Number of pieces of work in progress."""
        return len(self._work)

    @property
    def started_s(self):
        """Time of the start of the stop in seconds, 0 before it."""
        return self._started_s

    def set_limits(self, limits):
        """Replace the time limits.

        :param limits: :class:`StopLimits`; the drain limit of a stop that has begun
            stays.
        """
        self.limits = limits

    def stop_requested(self, now_s):
        """Start the planned stop.

        :param now_s: time in seconds from which its limits count: that of the signal
            rather than of the turn of the event loop in which it is processed.
        :returns: :class:`Announce`; nothing when the stop has already begun.
        """
        return self._stop(now_s)

    def can_end(self, now_s, needed_s):
        """Tell whether work that is begun now can end before it would be aborted.

        :param now_s: current time in seconds.
        :param needed_s: time in seconds that the work may take.
        """
        state = self.state
        if state == "draining":
            return now_s + needed_s <= self._drain_deadline_s
        return state == "serving"

    def offered(self, work, now_s, needed_s=0.0):
        """Accept or refuse new work.

        :param work: unique identifier.
        :param now_s: current time in seconds.
        :param needed_s: time in seconds that the work may take.
        :returns: one :class:`Accept` or :class:`Refuse`.
        """
        return self._offer(work, now_s, needed_s)

    def started(self, work):
        """Record that work may have reached the engine or plain service from now on.

        :param work: identifier of accepted work.
        """
        if work in self._work:
            accepted = self._work[work]
            self._work[work] = dataclasses.replace(accepted, has_started=True)

    def finished(self, work):
        """Record that the answer of work is complete.

        :param work: identifier; unknown ones are ignored.
        """
        self._work.pop(work, None)

    def tick(self, now_s, unfinished=0):
        """Repeat the announcement and apply the time limits.

        :param now_s: current time in seconds.
        :param unfinished: number of answers or connections for which the process
            stays, up to the limits, although no work is in progress.
        :returns: :class:`Announce` when it is due; :class:`StopAccepting` once and
            :class:`CloseIdle` after the time for new connections; :class:`Abort` for
            each piece of work over the limit; :class:`Exit` when the drain is complete.
        """
        actions = self._apply_limits(now_s)
        if self.state == "draining" and now_s >= self._drain_deadline_s:
            actions += self._reach_drain_limit(now_s)
        if self._is_drained(now_s, unfinished):
            actions += self._complete()
        return actions

    def _is_drained(self, now_s, unfinished):
        if self.state == "flushing":
            return not unfinished or now_s >= self._flush_deadline_s
        linger_s = min(self.limits.linger_s, self.limits.drain_limit_s)
        return (
            self.state == "draining"
            and not self._work
            and not unfinished
            and now_s >= self._started_s + linger_s
        )

    def _accept_work(self, work, now_s, needed_s):
        if len(self._work) >= MAX_WORK:
            self.counts["refused_busy"] += 1
            return (Refuse(work, "busy", 1.0),)
        self._work[work] = Accepted(now_s, needed_s)
        return (Accept(work),)

    def _refuse_work(self, work):
        self.counts["refused_leaving"] += 1
        return (Refuse(work, "leaving"),)

    def _close_to_clients(self, now_s):
        if now_s - self._started_s < self.limits.accept_s:
            return ()
        if self._is_accepting:
            self._is_accepting = False
            return StopAccepting(), CloseIdle()
        return (CloseIdle(),)

    def _extend_after_pause(self, now_s):
        """Leave time to read the answers that came while the process was paused."""
        is_paused = now_s - self._ticked_s >= self.limits.pause_s
        self._ticked_s = now_s
        if not is_paused or self._pause_extensions >= MAX_PAUSE_EXTENSIONS:
            return
        latest_s = self._started_s + self.limits.end_s
        extended_s = min(now_s + PAUSE_EXTENSION_S, latest_s)
        # Sockets are read after this tick at the earliest.
        extended_s = max(extended_s, math.nextafter(now_s, math.inf))
        if extended_s > self._drain_deadline_s:
            self._pause_extensions += 1
            self._drain_deadline_s = extended_s
