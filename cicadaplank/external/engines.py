"""Interface and HTTP client of an inference engine.

Covers completions, commands, staging of weights, load reports and cache events.
"""

import dataclasses
import json
import typing

from twisted.internet import defer, protocol

from cicadaplank.external import errors, event_streams, http, services

ATTEMPT_HEADER = services.ATTEMPT_HEADER
OFFSET_HEADER = "X-Cicadaplank-Offset"
MANIFEST_HEADER = "X-Cicadaplank-Manifest"
PREFIX_CHARS_HEADER = "X-Cicadaplank-Prefix-Chars"
PREFIX_BLOCK_HEADER = "X-Cicadaplank-Prefix-Block"
PRIORITY_HEADER = "X-Cicadaplank-Priority"
COMMAND_KEY_HEADER = "X-Cicadaplank-Command-Key"
EVENT_STREAM_TYPE = "text/event-stream"
# An engine may send its response headers only with the first token, so this includes
# the time that a request waits in the engine's queue.
RESPONSE_START_TIMEOUT_S = 60.0
COMMAND_TIMEOUT_S = 120.0
STAGE_TIMEOUT_S = 30.0
MAX_EVENT_BYTES = 1024 * 1024
# Limit of the events between two tokens that are neither a token nor the end.
MAX_IDLE_BYTES = 64 * 1024
MAX_CACHE_EVENTS = 10_000


@dataclasses.dataclass(frozen=True)
class Completion:
    """A request for a completion.

    :param attempt: identifier of the attempt.
    :param path: HTTP path at the engine.
    :param body: request body, which is passed on unchanged.
    :param stream: True to get each token as it is generated.
    :param priority: 0 is the most urgent.
    :param offset: number of tokens that the caller already has; above 0 only for a
        resumed stream.
    :param timeout_s: for a stream, seconds until the response headers; otherwise,
        seconds until the end of the response.
    :param prefix_chars: length of the prompt's prefix, in characters, whose cache block
        the engine reports in :attr:`CompletionEnd.prefix_block`; 0 for none.
    """

    attempt: str
    path: str
    body: bytes
    stream: bool = False
    priority: int = 5
    offset: int = 0
    timeout_s: float = RESPONSE_START_TIMEOUT_S
    prefix_chars: int = 0


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One token of a stream.

    :param attempt: identifier of the attempt.
    :param offset: number of tokens before this one.
    :param data: data of the server-sent event, as bytes of JSON.
    """

    attempt: str
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class CompletionEnd:
    """End of a completion, as stated by the engine.

    :param attempt: identifier of the attempt.
    :param total: number of tokens, with those before the offset of a resumed stream.
    :param manifest_digest: digest of the manifest of the weights that generated it.
    :param body: complete response body, or data of the end event of a stream.
    :param prefix_block: hash of the last cache block of the requested prefix of the
        prompt, empty when the engine reports none.
    """

    attempt: str
    total: int
    manifest_digest: str
    body: bytes
    prefix_block: str = ""


@dataclasses.dataclass(frozen=True)
class LoadCommand:
    """Command to load staged weights.

    :param row: row name.
    :param kind: ``model`` or ``adapter``.
    :param version: version name.
    :param base: for an adapter, row of its base model; otherwise empty.
    :param manifest_digest: digest of the manifest under which the chunks were staged.
    :param chunks: number of chunks in the manifest.
    :param fencing_token: fencing token of the lease on the engine.
    """

    row: str
    kind: str
    version: str
    base: str
    manifest_digest: str
    chunks: int
    fencing_token: int


@dataclasses.dataclass(frozen=True)
class LoadedModel:
    """Weights that an engine has loaded; further fields as in :class:`LoadCommand`.

    :param content_digest: digest that the engine computes over the chunks it loaded
        and, for an adapter, its base model.
    """

    row: str
    kind: str
    version: str
    base: str
    manifest_digest: str
    content_digest: str


@dataclasses.dataclass(frozen=True)
class ExecutedCommand:
    """A command that an engine executed.

    :param path: HTTP path of the command.
    :param fencing_token: fencing token that it carried.
    :param sender: name of the instance that sent it.
    """

    path: str
    fencing_token: int
    sender: str


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State of an engine, as read from it.

    :param role: ``both``, ``prefill`` or ``decode``.
    :param highest_token: highest fencing token that the engine has seen.
    :param models: tuple of :class:`LoadedModel`.
    :param staged: dict from manifest digest to a tuple of the staged chunks' indices.
    :param commands: tuple of the most recent :class:`ExecutedCommand`, oldest first.
    """

    role: str
    highest_token: int
    models: tuple
    staged: dict
    commands: tuple

    def model(self, row):
        """Return the :class:`LoadedModel` of a row, or None."""
        return next((model for model in self.models if model.row == row), None)


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One block stored in or removed from an engine's prefix cache.

    :param sequence: sequence number; a gap means that events were lost.
    :param kind: ``stored`` or ``removed``.
    :param block: hash of the prefix of which this is the last block.
    """

    sequence: int
    kind: str
    block: str


class Engine(typing.Protocol):
    """An engine. Every method returns a Deferred.

    Commands fail with :class:`errors.Refused` (status 409 for an old fencing token,
    403 for a wrong key), :class:`errors.Unavailable` or :class:`errors.AnswerLost`;
    reads fail with :class:`errors.Unavailable`.
    """

    def complete(self, completion, on_event=None, on_open=None):
        """Generate a completion.

        Cancelling the Deferred closes the connection, which ends the completion at the
        engine.

        :param completion: :class:`Completion`.
        :param on_event: for a stream, called with each :class:`StreamEvent`.
        :param on_open: called once, before any ``on_event``, with the digest of the
            manifest of the weights that generate the completion.
        :returns: Deferred with :class:`CompletionEnd`; fails with
            :class:`errors.Unavailable` or :class:`errors.Refused` (not run),
            :class:`errors.AnswerLost` or :class:`errors.Crossed` (may have run).
        """

    def cancel(self, attempt):
        """Cancel a completion.

        :param attempt: identifier of the attempt.
        :returns: Deferred with the number of completions cancelled, 0 or 1.
        """

    def stage(self, manifest_digest, index, data):
        """Send the engine one chunk of weights, for a later :meth:`load`.

        :param manifest_digest: digest of the manifest.
        :param index: index of the chunk in the manifest.
        :param data: bytes of the chunk.
        :returns: Deferred with the number of chunks staged for the manifest.
        """

    def unstage(self, manifest_digest):
        """Delete the chunks staged for a manifest.

        :param manifest_digest: digest of the manifest.
        """

    def load(self, command):
        """Load staged weights; requests in progress finish on the previous ones.

        :param command: :class:`LoadCommand`.
        :returns: Deferred with :class:`LoadedModel`.
        """

    def unload(self, row, fencing_token):
        """Unload the weights of a row.

        :param row: row name.
        :param fencing_token: fencing token of the lease on the engine.
        """

    def set_role(self, role, fencing_token):
        """Change the role of the engine.

        :param role: ``both``, ``prefill`` or ``decode``.
        :param fencing_token: fencing token of the lease on the engine.
        """

    def state(self):
        """Read the state of the engine.

        :returns: Deferred with :class:`EngineState`.
        """

    def load_report(self):
        """Read the load of the engine.

        :returns: Deferred with :class:`cicadaplank.external.services.LoadReport`.
        """

    def cache_events(self, after, limit=MAX_CACHE_EVENTS):
        """Read cache events, oldest first.

        :param after: sequence number of an event; those after it are read.
        :param limit: maximum number of events.
        :returns: Deferred with a tuple of :class:`CacheEvent`.
        """

    def export_cache(self, attempt):
        """Export the KV cache of a completion that is in progress.

        :param attempt: identifier of the attempt.
        :returns: Deferred with bytes; fails with :class:`errors.NotFound` when there is
            no such completion.
        """

    def import_cache(self, data):
        """Import a KV cache that another engine with the same weights exported.

        :param data: bytes from :meth:`export_cache`.
        """


class EngineClient:
    """:class:`Engine` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    :param command_key: key that authorises commands at the engine, or empty.
    """

    def __init__(self, client, command_key=""):
        self._client = client
        self._headers = {COMMAND_KEY_HEADER: command_key} if command_key else {}

    def complete(self, completion, on_event=None, on_open=None):
        """See :meth:`Engine.complete`."""
        on_event = on_event or (lambda event: None)
        on_open = on_open or (lambda manifest_digest: None)
        coroutine = self._complete(completion, on_event, on_open)
        return defer.Deferred.fromCoroutine(coroutine)

    async def _complete(self, completion, on_event, on_open):
        headers = {
            ATTEMPT_HEADER: completion.attempt,
            OFFSET_HEADER: str(completion.offset),
            PRIORITY_HEADER: str(completion.priority),
        }
        if completion.prefix_chars:
            headers[PREFIX_CHARS_HEADER] = str(completion.prefix_chars)
        if not completion.stream:
            answer = await self._client.send(
                "POST", completion.path, completion.body, headers, completion.timeout_s
            )
            end = _parse_complete_response(completion, http.check_status(answer))
            on_open(end.manifest_digest)
            return end
        headers["Accept"] = EVENT_STREAM_TYPE
        response = await self._client.open(
            "POST", completion.path, completion.body, headers, completion.timeout_s
        )
        if response.code != 200:
            answer = http.Response(
                response.code,
                response.headers,
                await http.read_body(response, http.MAX_ERROR_BYTES),
            )
            if answer.status in http.UNAVAILABLE_STATUSES:
                raise http.unavailable_error(answer)
            http.check_status(answer)
        found = http.first_header(response.headers, ATTEMPT_HEADER)
        reader = _EventReader(completion, on_event)
        if found == completion.attempt:
            on_open(http.first_header(response.headers, MANIFEST_HEADER))
        response.deliverBody(reader)
        if found != completion.attempt:
            reader.fail(errors.Crossed(completion.attempt, found))
        end = await reader.finished
        block = http.first_header(response.headers, PREFIX_BLOCK_HEADER)
        return dataclasses.replace(end, prefix_block=block or "")

    def cancel(self, attempt):
        """See :meth:`Engine.cancel`."""
        return self._send_and_extract(
            "DELETE", f"/v1/completions/{attempt}", None, "ended"
        )

    def stage(self, manifest_digest, index, data):
        """See :meth:`Engine.stage`."""
        path = f"/staging/{manifest_digest}/{index}"
        return self._send_and_extract("PUT", path, data, "staged", STAGE_TIMEOUT_S)

    def unstage(self, manifest_digest):
        """See :meth:`Engine.unstage`."""
        return self._send_and_extract(
            "DELETE", f"/staging/{manifest_digest}", None, "dropped"
        )

    def load(self, command):
        """See :meth:`Engine.load`."""
        loaded = self._command("/commands/load", dataclasses.asdict(command))
        return loaded.addCallback(lambda document: _parse_record(LoadedModel, document))

    def unload(self, row, fencing_token):
        """See :meth:`Engine.unload`."""
        document = {"row": row, "fencing_token": fencing_token}
        return self._command("/commands/unload", document)

    def set_role(self, role, fencing_token):
        """See :meth:`Engine.set_role`."""
        document = {"role": role, "fencing_token": fencing_token}
        return self._command("/commands/role", document)

    def state(self):
        """See :meth:`Engine.state`."""
        return http.run_read_only(self._state())

    async def _state(self):
        document = http.check_status(await self._client.send("GET", "/state")).json()
        try:
            return EngineState(
                document["role"],
                document["highest_token"],
                tuple(
                    _parse_record(LoadedModel, entry) for entry in document["models"]
                ),
                {key: tuple(value) for key, value in document["staged"].items()},
                tuple(
                    _parse_record(ExecutedCommand, entry)
                    for entry in document["commands"]
                ),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise errors.Unavailable(f"malformed engine state: {error!r}") from error

    def load_report(self):
        """See :meth:`Engine.load_report`."""
        return http.run_read_only(services.read_load(self._client))

    def cache_events(self, after, limit=MAX_CACHE_EVENTS):
        """See :meth:`Engine.cache_events`."""
        return http.run_read_only(self._cache_events(after, limit))

    async def _cache_events(self, after, limit):
        path = f"/cache/events?after={int(after)}&limit={int(limit)}"
        answer = await self._client.send("GET", path)
        try:
            entries = http.check_status(answer).json()["events"]
            return tuple(_parse_record(CacheEvent, entry) for entry in entries)
        except (KeyError, TypeError) as error:
            raise errors.Unavailable(f"malformed cache events: {error!r}") from error

    def export_cache(self, attempt):
        """See :meth:`Engine.export_cache`."""
        return http.run_read_only(self._export_cache(attempt))

    async def _export_cache(self, attempt):
        return http.check_status(
            await self._client.send("GET", f"/cache/{attempt}")
        ).body

    def import_cache(self, data):
        """See :meth:`Engine.import_cache`."""
        return self._send_and_extract("PUT", "/cache", data, "blocks")

    def _command(self, path, document):
        sent = self._client.send_json(
            "POST", path, document, self._headers, COMMAND_TIMEOUT_S
        )
        return sent.addCallback(lambda answer: http.check_status(answer).json())

    def _send_and_extract(self, method, path, body, name, timeout_s=None):
        sent = self._client.send(method, path, body, self._headers, timeout_s)
        return sent.addCallback(
            lambda answer: http.check_status(answer).json().get(name)
        )


def _parse_record(cls, document):
    names = [field.name for field in dataclasses.fields(cls)]
    try:
        return cls(*[document[name] for name in names])
    except (KeyError, TypeError) as error:
        raise errors.AnswerLost(f"malformed {cls.__name__}: {error!r}") from error


def _parse_complete_response(completion, answer):
    services.check_attempt(completion.attempt, answer.header(ATTEMPT_HEADER))
    end = _parse_completion_end(completion, answer.json(), answer.body)
    block = answer.header(PREFIX_BLOCK_HEADER)
    return dataclasses.replace(end, prefix_block=block or "")


def _parse_completion_end(completion, document, body):
    services.check_attempt(completion.attempt, document.get("attempt"))
    total, digest = document.get("total"), document.get("manifest_digest")
    if not isinstance(total, int) or not isinstance(digest, str):
        raise errors.AnswerLost("the end has no total or no manifest_digest")
    return CompletionEnd(completion.attempt, total, digest, body)


class _EventReader(protocol.Protocol):
    """Parses the server-sent events of one completion.

    The completion succeeds only with its end event. If the connection closes earlier,
    or a token has another offset than the next one because a token was lost or
    repeated, :attr:`finished` fails with :class:`errors.AnswerLost`.

    :param completion: :class:`Completion`.
    :param on_event: called with each :class:`StreamEvent`.
    :ivar finished: Deferred with :class:`CompletionEnd`.
    """

    def __init__(self, completion, on_event):
        self.finished = defer.Deferred(self._cancel)
        self._completion = completion
        self._on_event = on_event
        self._splitter = event_streams.EventSplitter(MAX_EVENT_BYTES)
        self._next_offset = completion.offset
        self._idle_bytes = 0

    def dataReceived(self, data):
        if self.finished.called:
            return
        try:
            found = self._splitter.feed(data)
        except ValueError as error:
            self.fail(errors.AnswerLost(str(error)))
            return
        for event in found:
            if self.finished.called:
                return
            try:
                self._handle_event(event.data)
            except errors.PlatformError as error:
                self.fail(error)

    def connectionLost(self, reason=protocol.connectionDone):
        if self.finished.called:
            return
        cause = "the stream ended without its end event"
        if not http.is_complete(reason):
            cause = f"{cause}: {reason.getErrorMessage()}"
        self.finished.errback(errors.AnswerLost(cause))

    def fail(self, error):
        """Fail the completion unless it has ended, and close the connection."""
        if not self.finished.called:
            self.finished.errback(error)
        self.transport.loseConnection()

    def _cancel(self, deferred):
        self.transport.loseConnection()

    def _handle_event(self, event):
        fields = dict(
            line.split(b": ", 1) for line in event.splitlines() if b": " in line
        )
        kind, data = fields.get(b"event", b""), fields.get(b"data", b"")
        try:
            document = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise errors.AnswerLost(f"event is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise errors.AnswerLost("event is not a JSON object")
        if kind == b"end":
            self._handle_end(document, data)
        elif kind == b"token":
            self._idle_bytes = 0
            self._handle_token(document, data)
        else:
            self._idle_bytes += len(event)
            if self._idle_bytes > MAX_IDLE_BYTES:
                raise errors.AnswerLost(f"{self._idle_bytes} bytes without a token")

    def _handle_token(self, document, data):
        services.check_attempt(self._completion.attempt, document.get("attempt"))
        offset = document.get("offset")
        if offset != self._next_offset:
            raise errors.AnswerLost(f"token {offset!r} instead of {self._next_offset}")
        self._next_offset += 1
        self._on_event(StreamEvent(self._completion.attempt, offset, data))

    def _handle_end(self, document, data):
        end = _parse_completion_end(self._completion, document, data)
        if end.total != self._next_offset:
            raise errors.AnswerLost(f"{self._next_offset} tokens of {end.total}")
        self.finished.callback(end)
