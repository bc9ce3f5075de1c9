"""State machine of one attempt at a request on an entry instance."""

import dataclasses

import automat

from cicadaplank.requests import verdicts

STATUS_OK = 200


@dataclasses.dataclass(frozen=True)
class Part:
    """New part of the answer, without the overlap with parts received before.

    :param data: whole token lines of a stream, or bytes of a non-streamed answer.
    """

    data: bytes


@dataclasses.dataclass(frozen=True)
class Complete:
    """The answer is complete.

    :param status: HTTP status of the engine or plain service.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class Broken:
    """The attempt ended without a complete answer.

    :param verdict: :class:`cicadaplank.requests.verdicts.Verdict`.
    :param reason: short text.
    :param crashed: True when the engine crashed while it ran the attempt.
    :param retry_after_s: from a refusal: seconds after which the endpoint may accept
        the work.
    :param status: HTTP status of ``WorkFailed`` when the attempt must be neither
        retried nor resumed, else 0.
    :param running: True when the agent may still be running the attempt.
    """

    verdict: verdicts.Verdict
    reason: str
    crashed: bool = False
    retry_after_s: float = 0.0
    status: int = 0
    running: bool = False


def count_tokens_or_bytes(data, stream):
    """Return the length of a part in the unit of answer offsets.

    A stream is a sequence of lines, one for each token, each ending in a newline. Its
    offsets count tokens; those of a non-streamed answer count bytes.

    :param data: part of an answer.
    :param stream: True for a stream.
    :returns: number of tokens of a stream, or of bytes of a non-streamed answer.
    """
    return data.count(b"\n") if stream else len(data)


def drop_tokens_or_bytes(data, stream, count):
    """Remove the first tokens or bytes of a part.

    :param data: part of an answer.
    :param stream: True for a stream.
    :param count: number of tokens of a stream, or of bytes of a non-streamed answer;
        0 or more.
    :returns: rest of the part.
    """
    if not stream:
        return data[count:]
    return b"".join(data.splitlines(keepends=True)[count:])


def concatenate_actions(outputs):
    """Concatenate the action tuples of a transition's outputs."""
    return tuple(action for actions in outputs for action in actions)


class Attempt:
    """State machine of an attempt; each event returns a tuple of actions.

    The actions are :class:`Part`, :class:`Complete` and :class:`Broken`. States:
    ``created``, ``written``, ``accepted``, ``receiving``, ``complete``, ``broken``.
    Events after ``complete`` or ``broken`` have no effect.

    :param identifier: identifier of the attempt, unique over all processes.
    :param endpoint: instance name of the agent.
    :param stream: True when the answer is a stream of token lines.
    :param offset: number of tokens that the caller has already received.
    :ivar verdict: :class:`cicadaplank.requests.verdicts.Verdict` so far.
    :ivar next_offset: offset of the next part.
    :ivar load: requests in progress at the agent, from ``WorkEnd``; None before.
    """

    _machine = automat.MethodicalMachine()

    def __init__(self, identifier, endpoint, stream, offset=0):
        self.identifier = identifier
        self.endpoint = endpoint
        self.stream = stream
        self.next_offset = offset
        self.load = None
        self._has_received_data = False
        self._is_receiving = False
        self.verdict = verdicts.Verdict.NOT_RUN

    @_machine.serializer()
    def state(self, state):
        """Return the name of the current state."""
        return state

    @_machine.state(initial=True, serialized="created")
    def _created(self):
        """The work has not been written to a connection."""

    @_machine.state(serialized="written")
    def _written(self):
        """The work has been written; the agent has not responded."""

    @_machine.state(serialized="accepted")
    def _accepted(self):
        """The agent has passed the work to its engine."""

    @_machine.state(serialized="receiving")
    def _receiving(self):
        """Part of the answer has arrived."""

    @_machine.state(serialized="complete")
    def _complete(self):
        """The whole answer has arrived."""

    @_machine.state(serialized="broken")
    def _broken(self):
        """The attempt ended without a complete answer."""

    @_machine.input()
    def written(self, now_s):
        """Handle that the work is about to be written to the agent's connection."""

    @_machine.input()
    def undelivered(self, reason, now_s):
        """Handle work that was not written: no connection, or a full send queue."""

    @_machine.input()
    def accepted(self, now_s):
        """Handle that the agent is passing the work to its engine."""

    def data(self, offset, data, now_s):
        """Handle a part of the answer; only the first one changes the state.

        :param offset: tokens or bytes of the answer before this part.
        :param data: bytes of the part.
        :param now_s: current time in seconds.
        :returns: tuple of actions.
        """
        if self._is_receiving:
            # A stream has one part for each token, and a transition of the state
            # machine costs about 50 us, so further parts bypass it.
            return self._check_part(offset, data, now_s)
        return self._data(offset, data, now_s)

    @_machine.input()
    def _data(self, offset, data, now_s):
        """Handle the first part of the answer."""

    @_machine.input()
    def end(self, status, total, now_s):
        """Handle the explicit end of the answer.

        :param status: HTTP status of the engine or plain service.
        :param total: tokens of a stream, or bytes of a non-streamed answer.
        :param now_s: current time in seconds.
        """

    @_machine.input()
    def refused(self, reason, retry_after_s, now_s):
        """Handle a refusal: the agent did not pass the work to its engine."""

    @_machine.input()
    def failed(self, failure, now_s):
        """Handle a failure that the agent reported, given as :class:`Broken`."""

    @_machine.input()
    def lost(self, reason, now_s):
        """Handle the loss of the connection to the agent."""

    @_machine.input()
    def _fail(self, failure, now_s):
        """End the attempt without a complete answer."""

    @_machine.input()
    def _finish(self, status, now_s):
        """End the attempt with a complete answer."""

    @_machine.output()
    def _mark_dispatched(self, now_s):
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        return ()

    @_machine.output()
    def _fail_undelivered(self, reason, now_s):
        return self._fail(Broken(verdicts.Verdict.NOT_RUN, reason), now_s)

    @_machine.output()
    def _fail_refused(self, reason, retry_after_s, now_s):
        refusal = Broken(verdicts.Verdict.NOT_RUN, reason, retry_after_s=retry_after_s)
        return self._fail(refusal, now_s)

    @_machine.output()
    def _fail_reported(self, failure, now_s):
        return self._fail(failure, now_s)

    @_machine.output()
    def _fail_lost(self, reason, now_s):
        return self._fail(Broken(self.verdict, reason), now_s)

    @_machine.output()
    def _record_failure(self, failure, now_s):
        self._is_receiving = False
        if self._has_received_data and failure.verdict is verdicts.Verdict.NOT_RUN:
            failure = dataclasses.replace(
                failure, verdict=verdicts.Verdict.MAY_HAVE_RUN
            )
        self.verdict = failure.verdict
        return (failure,)

    @_machine.output()
    def _receive(self, offset, data, now_s):
        self._has_received_data = True
        self._is_receiving = True
        return self._check_part(offset, data, now_s)

    def _check_part(self, offset, data, now_s):
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        if self.stream and not data.endswith(b"\n"):
            return self._fail_uncertain("a token was cut", now_s)
        if offset > self.next_offset:
            return self._fail_uncertain("part of the answer is missing", now_s)
        new_data = drop_tokens_or_bytes(data, self.stream, self.next_offset - offset)
        if not new_data:
            return ()
        self.next_offset += count_tokens_or_bytes(new_data, self.stream)
        return (Part(new_data),)

    def _fail_uncertain(self, reason, now_s):
        may_have_run = verdicts.Verdict.MAY_HAVE_RUN
        return self._fail(Broken(may_have_run, reason, running=True), now_s)

    @_machine.output()
    def _check_total(self, status, total, now_s):
        if self.stream and status != STATUS_OK:
            return self._fail_uncertain(f"the stream ended with {status}", now_s)
        if total != self.next_offset:
            return self._fail_uncertain("the answer was truncated", now_s)
        return self._finish(status, now_s)

    @_machine.output()
    def _record_complete(self, status, now_s):
        self._is_receiving = False
        self.verdict = verdicts.Verdict.RAN
        return (Complete(status),)

    _active_states = (_created, _written, _accepted, _receiving)
    _created.upon(written, _written, [_mark_dispatched], concatenate_actions)
    _created.upon(undelivered, _created, [_fail_undelivered], concatenate_actions)
    _created.upon(accepted, _accepted, [_mark_dispatched], concatenate_actions)
    _written.upon(accepted, _accepted, [_mark_dispatched], concatenate_actions)
    for _state in _active_states:
        _state.upon(_data, _receiving, [_receive], concatenate_actions)
        _state.upon(end, _state, [_check_total], concatenate_actions)
        _state.upon(refused, _state, [_fail_refused], concatenate_actions)
        _state.upon(failed, _state, [_fail_reported], concatenate_actions)
        _state.upon(lost, _state, [_fail_lost], concatenate_actions)
        _state.upon(_fail, _broken, [_record_failure], concatenate_actions)
        _state.upon(_finish, _complete, [_record_complete], concatenate_actions)
    for _state in (_written, _accepted, _receiving):
        _state.upon(written, _state, [], concatenate_actions)
        _state.upon(undelivered, _state, [], concatenate_actions)
    for _state in (_accepted, _receiving):
        _state.upon(accepted, _state, [], concatenate_actions)
    for _state in (_complete, _broken):
        for _event in (
            written,
            undelivered,
            accepted,
            _data,
            end,
            refused,
            failed,
            lost,
            _fail,
            _finish,
        ):
            _state.upon(_event, _state, [], concatenate_actions)
    del _state, _event, _active_states
