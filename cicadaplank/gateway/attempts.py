"""One attempt of a call at an endpoint: its connection, and what arrives on it."""

import dataclasses

from cicadaplank.external import event_streams
from cicadaplank.gateway import (
    answer_bodies,
    call_errors,
    framing,
    outcomes,
    placement,
    routes,
)

# An endpoint that crashes under a part of a prompt does so as it begins to answer. A
# stream that has gone on for this time shows that its prompt is sound.
SOUND_STREAM_S = 0.5
# Limit of an answer's body that is buffered until it is complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Limit of comments, empty lines and repeated events of a stream between two new events.
MAX_IDLE_BYTES = 64 * 1024
# The connection of a call that may be retried is broken off when the endpoint's host
# does not acknowledge the sent bytes within this time. The longest queueing delay seen
# on the network path was 0.3 s.
ACK_TIMEOUT_S = 0.4
# A longer call may fill the receive buffer of an endpoint that does not read. Its host
# then acknowledges no more bytes, as if the path were cut; an endpoint that answers
# before it has read the call does so for later calls on the connection, too.
MAX_UNREAD_BYTES = 32 * 1024


class Attempt:
    """One attempt of a call at an endpoint.

    It owns a slot of the endpoint, a permit if the endpoint has a limit, and a
    connection, until it ends. It is the receiver of the endpoint's answer; what of that
    reaches the client is decided by the call.

    :param gateway: :class:`cicadaplank.gateway.gateway.Gateway`.
    :param call: :class:`cicadaplank.gateway.calls.Call`.
    :param state: :class:`cicadaplank.gateway.endpoints.EndpointState`.
    :param is_hedge: whether it begins while an earlier attempt is in progress.
    :param now_s: current time in seconds.
    :ivar weights_version: version of the weights that the endpoint published when the
        call was sent.
    :ivar sent_s: time in seconds at which the call was sent, None before.
    :ivar last_activity_s: time in seconds of the sending, the head of the answer, or
        the last event or part of a body.
    :ivar reply: :class:`cicadaplank.gateway.dialects.ResponseHead`, None before it.
    :ivar body: bytes of an answer that is no stream of events.
    :ivar idle_bytes: bytes of comments, empty lines and repeated events since the last
        new event of a stream.
    :ivar splitter: :class:`cicadaplank.external.event_streams.EventSplitter` of a
        stream of events.
    :ivar is_resumed: whether it brings the rest of a stream that has begun.
    :ivar has_progressed: whether an event of it was forwarded to the client.
    :ivar response_end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
    :ivar partial_event_bytes: number of bytes after the last complete event.
    :ivar is_ended: whether slot, permit and connection were given back.
    """

    def __init__(self, gateway, call, state, is_hedge, now_s):
        self.state = state
        self.is_hedge = is_hedge
        self.weights_version = None
        self.sent_s = None
        self.last_activity_s = now_s
        self.reply = None
        self.body = answer_bodies.AnswerBody()
        self.idle_bytes = 0
        self.splitter = None
        self.is_resumed = False
        self.has_progressed = False
        self.response_end = framing.ResponseEnd()
        self.partial_event_bytes = 0
        self.is_ended = False
        self._gateway = gateway
        self._call = call
        self._connection = None
        self._dial = None
        self._answer_began_awake_s = None
        # Prompt tokens that count as unread at the endpoint.
        self._unread_tokens = 0.0
        generation = call.generation()
        if generation is not None:
            self._unread_tokens = generation.work.prompt_tokens
        state.load.call_sent(self._unread_tokens)
        state.call_started()
        self._permit = state.allowance.take(now_s)

    @property
    def endpoint_name(self):
        """Return the name of the endpoint."""
        return self.state.endpoint.name

    @property
    def has_begun(self):
        """Whether the answer has begun."""
        return self._answer_began_awake_s is not None

    @property
    def is_inside_event(self):
        """Whether a part of an event has arrived that is not complete."""
        return self.splitter is not None and self.splitter.is_inside_event

    @property
    def is_sound(self):
        """Whether the endpoint has answered for :data:`SOUND_STREAM_S`."""
        if not self.has_begun:
            return False
        answered_s = self._gateway.awake_s() - self._answer_began_awake_s
        return answered_s >= SOUND_STREAM_S

    # Sending.

    def dial(self, may_reuse, identifier):
        """Get a connection; ``attempt_opened`` or ``attempt_ended`` is called.

        :param may_reuse: whether an idle connection may be used.
        :param identifier: client's identifier of its attempt.
        """
        self._dial = self._gateway.pool(self.state).acquire(
            self._opened, self._dial_failed, may_reuse, identifier
        )

    @call_errors.ends_call
    def _opened(self, connection):
        if self.is_ended:
            self._gateway.release_connection(connection)
            return
        self._dial = None
        self._connection = connection
        self._call.attempt_opened(self, connection)

    @call_errors.ends_call
    def _dial_failed(self, reason):
        if self.is_ended:
            return
        self._dial = None
        self.end()
        self._call.attempt_ended(self, outcomes.Ending.UNREACHABLE, reason)

    def is_usable(self, demand, now_s):
        """Tell whether the endpoint may still be sent the call after the dial.

        :param demand: :class:`cicadaplank.gateway.placement.Demand`.
        :param now_s: current time in seconds.
        """
        return (
            not self.state.is_removed
            and placement.may_be_sent(self.state, demand, now_s)
            and self.state.allowance.honours(self._permit)
        )

    def send(self, connection, data, is_resumed, is_paused, now_s):
        """Send the call.

        :param connection: :class:`cicadaplank.gateway.connections.EndpointConnection`.
        :param data: bytes of the call.
        :param is_resumed: whether a part of the stream has been forwarded.
        :param is_paused: whether the client reads too slowly to read from the endpoint.
        :param now_s: current time in seconds.
        """
        self._permit = None
        self.is_resumed = is_resumed
        self.sent_s = self.last_activity_s = now_s
        if self._call.route.retry_policy is not routes.RetryPolicy.NEVER:
            longest_bytes = max(len(data), connection.longest_sent_bytes)
            is_long = longest_bytes > MAX_UNREAD_BYTES
            connection.set_unacknowledged_timeout(None if is_long else ACK_TIMEOUT_S)
        has_body = self._call.request.head.method != b"HEAD"
        connection.send(data, self, has_body=has_body)
        if is_paused:
            connection.pause()

    # Answer of the endpoint.

    @call_errors.ends_call
    def response_started(self, head):
        """Handle the status and headers of the answer.

        :param head: :class:`cicadaplank.gateway.dialects.ResponseHead`.
        :returns: False when it answers another call and has to be skipped.
        """
        gateway, call = self._gateway, self._call
        if not self._is_own(head):
            gateway.count("answers_of_other_calls")
            if head.attempt and head.is_leaving:
                # An endpoint that has said that it leaves does not stay.
                leaving = dataclasses.replace(head, busy_for_s=None, limit_per_s=None)
                gateway.record_word(call, self.state, leaving, self.sent_s)
            return False
        gateway.record_word(call, self.state, head, self.sent_s)
        self.last_activity_s = gateway.now_s()
        self._count_read()
        if 200 <= head.status < 300:
            self._answer_began_awake_s = gateway.awake_s()
        self.reply = head
        is_stream = call.route.is_stream and call.request.head.method != b"HEAD"
        has_events = head.status == 200 and head.is_event_stream
        if is_stream and has_events and head.is_valid_success:
            self.splitter = event_streams.EventSplitter()
        return True

    def _count_read(self):
        """Count the prompt as read."""
        tokens, self._unread_tokens = self._unread_tokens, 0.0
        self.state.load.call_read(tokens)

    def _is_own(self, head):
        """Tell whether an answer belongs to this attempt.

        One without an identifier may be an earlier answer that is written once more,
        unless it is the first one on its connection.
        """
        if head.attempt:
            return head.attempt == self._call.request.head.attempt
        return self._connection.is_first_response

    @call_errors.ends_call
    def response_data(self, data):
        """Handle a part of the body: buffer it, or pass its complete events on.

        :param data: bytes.
        :returns: number of the events, None when it is not a stream of events.
        """
        if self.splitter is None:
            self.last_activity_s = self._gateway.now_s()
            self.body.append(data)
            if len(self.body) > MAX_ANSWER_BYTES:
                reason = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
                self.break_off(reason)
                return None
            self._gateway.buffers.set_held(self, len(self.body))
            return None
        try:
            complete = self.splitter.feed(data)
        except ValueError as fault:
            self.break_off(str(fault))
            return None
        fault = self._call.events_received(self, complete)
        if fault and not self.is_ended:
            self.break_off(fault)
        elif not self.is_ended:
            self._gateway.buffers.set_held(self, self.splitter.rest_bytes)
        return len(complete)

    @call_errors.ends_call
    def response_ended(self, end):
        """Handle the end of a complete answer.

        :param end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        """
        self._record_end(end)
        self.end()
        self._call.attempt_answered(self)

    @call_errors.ends_call
    def response_failed(self, end, reason):
        """Handle the loss of the connection before the end of the answer.

        :param end: :class:`cicadaplank.gateway.framing.ResponseEnd`.
        :param reason: text for the log and the client.
        """
        self._record_end(end)
        self.end()
        self._gateway.connection_broken(self._call, self)
        self._call.attempt_ended(self, outcomes.Ending.BROKEN, reason)

    # End.

    def handling_failed(self):
        """End the call after an unexpected error, while that is being handled."""
        self._call.handling_failed()

    def break_off(self, reason):
        """Give up an attempt whose answer is invalid.

        :param reason: text for the log and the client.
        """
        self.cancel()
        self._call.attempt_ended(self, outcomes.Ending.BROKEN, reason)

    @call_errors.ends_call
    def drop_buffer(self, reason):
        """Give up the attempt, as the incomplete answers take too much memory.

        :param reason: text for the log and the client.
        """
        self.cancel()
        self.body = answer_bodies.AnswerBody()
        self._call.attempt_ended(
            self, outcomes.Ending.BROKEN, reason, counts_as_failure=False
        )

    def cancel(self):
        """End the attempt; the closed connection tells the endpoint to stop."""
        connection, dial = self._connection, self._dial
        response_end = None
        try:
            self.end()
        finally:
            if connection is not None:
                response_end = connection.cancel()
            if dial is not None:
                dial.disconnect()
        if response_end is not None:
            self._record_end(response_end)

    def end(self):
        """Give back the endpoint's slot and detach from its connection."""
        if self.is_ended:
            return
        self.is_ended = True
        self._count_read()
        permit, self._permit = self._permit, None
        self._connection = self._dial = None
        self.state.call_ended()
        if permit is not None:
            self.state.allowance.give_back(permit)
        self._gateway.buffers.release(self)

    def _record_end(self, end):
        self.response_end = end
        if self.splitter is not None:
            self.partial_event_bytes = self.splitter.rest_bytes
        self._call.record_response_end(self)
        self._gateway.count(
            "responses", framing=end.framing.value, ended_by=end.termination.value
        )

    # Flow control.

    def pause(self):
        """Stop reading from the endpoint."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self, now_s):
        """Resume reading from the endpoint.

        :param now_s: current time in seconds.
        """
        self.last_activity_s = now_s
        if self._connection is not None:
            self._connection.resume()
