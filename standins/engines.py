"""Stand-in of an engine that serves models."""

import collections
import dataclasses
import hashlib
import json

from twisted.internet import defer, reactor, task

from standins import batches, serving

ATTEMPT_HEADER = "X-Cicadaplank-Attempt"
OFFSET_HEADER = "X-Cicadaplank-Offset"
MANIFEST_HEADER = "X-Cicadaplank-Manifest"
PRIORITY_HEADER = "X-Cicadaplank-Priority"
PREFIX_CHARS_HEADER = "X-Cicadaplank-Prefix-Chars"
PREFIX_BLOCK_HEADER = "X-Cicadaplank-Prefix-Block"
COMMAND_KEY_HEADER = "X-Cicadaplank-Command-Key"
MAX_JOURNAL = 200_000
MAX_LOAD_SAMPLES = 1_000
MAX_COMMANDS = 1_000
MAX_TOKENS = 100_000
ROLES = ("both", "prefill", "decode")
FENCING = ("refuse", "ignore")


@dataclasses.dataclass(frozen=True)
class Options:
    """What kind of engine it is.

    :param slots: sequences that run at once.
    :param max_waiting: sequences that may wait.
    :param step_s: duration of a step without sequences.
    :param step_per_sequence_s: what each running sequence adds to a step.
    :param prefill_block_s: time to process a block that is not in the cache.
    :param cache_blocks: blocks of the prefix cache.
    :param cache_lag_s: delay after which a cache event is shown.
    :param load_lag_s: age of a load report.
    :param load_s: duration of a load command.
    :param restart_s: time that the engine is away after a crash.
    :param fencing: ``refuse`` commands with an old token, or ``ignore`` tokens.
    :param command_key: key that commands must carry; empty for an engine that does not
        check who sends them.
    :param resumes: True when a stream may start at an offset.
    :param accepts_partial: True when a load command with missing chunks is executed.
    """

    slots: int = 8
    max_waiting: int = 256
    step_s: float = 0.01
    step_per_sequence_s: float = 0.0002
    prefill_block_s: float = 0.002
    cache_blocks: int = 4096
    cache_lag_s: float = 0.0
    load_lag_s: float = 0.0
    load_s: float = 0.05
    restart_s: float = 0.5
    fencing: str = "refuse"
    command_key: str = ""
    resumes: bool = True
    accepts_partial: bool = False


@dataclasses.dataclass(frozen=True)
class Model:
    """Loaded weights of a row.

    :param content_digest: SHA-256 over the digests of the chunks that were loaded, and
        for an adapter also over the content of its base.
    """

    row: str
    kind: str
    version: str
    base: str
    manifest_digest: str
    content_digest: str


def content_digest(chunk_digests, base=""):
    """Return the digest of weights as the engine computes it.

    :param chunk_digests: SHA-256 of each chunk in hex, in order; empty text for a chunk
        that is missing.
    :param base: content digest of the base of an adapter.
    :returns: hex text.
    """
    return hashlib.sha256(",".join([base, *chunk_digests]).encode()).hexdigest()


class Engines(serving.StandIn):
    """One engine.

    Further faults: ``crash`` (a request with this ``text`` crashes the engine, or at
    once when there is no text), ``crash_on_load``, ``truncate`` (the stream ends
    without its end event after one token), ``stall`` (no token for ``delay_s`` after
    the first), ``cross`` (the response carries another attempt) and ``cache_gap``
    (cache events are lost).

    :param name: engine name.
    :param options: :class:`Options`.
    :param seed: seed of the random choices.
    :raises ValueError: when ``options.fencing`` is unknown.
    """

    KINDS = ("crash", "crash_on_load", "truncate", "stall", "cross", "cache_gap")

    def __init__(self, name="engine", options=None, seed=0):
        super().__init__(self.KINDS, seed)
        self.name = name
        self.options = options or Options()
        if self.options.fencing not in FENCING:
            raise ValueError(f"fencing must be one of {', '.join(FENCING)}")
        self.journal = collections.deque(maxlen=MAX_JOURNAL)
        self._restarting = False
        self._start()
        self.route("POST", "/v1/completions", self._complete)
        self.route("POST", "/v1/chat/completions", self._chat)
        self.route("DELETE", "/v1/completions/<attempt>", self._cancel)
        self.route("PUT", "/staging/<digest>/<int:index>", self._stage)
        self.route("DELETE", "/staging/<digest>", self._unstage)
        self.route("POST", "/commands/load", self._load)
        self.route("POST", "/commands/unload", self._unload)
        self.route("POST", "/commands/role", self._set_role)
        self.route("GET", "/state", self._state)
        self.route("GET", "/load", self._load_report)
        self.route("GET", "/cache/events", self._cache_events)
        self.route("GET", "/cache/<attempt>", self._export)
        self.route("PUT", "/cache", self._import)
        self.route("GET", "/journal", self._journal)

    def act(self, fault):
        """Crash at once when a ``crash`` fault names no text."""
        if fault.kind == "crash" and not fault.text:
            reactor.callLater(0, self.crash)
            return True
        return False

    def crash(self):
        """Lose every connection and all state, and listen again after a time.

        :returns: Deferred that fires when the engine listens again.
        """
        port = self.port
        self.count("crashes")
        self._batch.remove(None, "crashed")
        stopped = super().stop()
        self._start()
        self._restarting = True

        async def restart():
            await stopped
            await task.deferLater(reactor, self.options.restart_s)
            if self._restarting:
                self.listen(port)

        return defer.ensureDeferred(restart())

    def stop(self):
        """Stop for good, also when a restart after a crash is pending."""
        self._restarting = False
        return super().stop()

    def _start(self):
        options = self.options
        cache = batches.PrefixCache(options.cache_blocks)
        self._batch = batches.Batch(
            options.slots, options.max_waiting, cache, options.prefill_block_s
        )
        self._stepping = False
        self._staged = {}
        self._models = {}
        self._role = "both"
        self._highest_token = 0
        self._commands = collections.deque(maxlen=MAX_COMMANDS)
        self._load_samples = collections.deque([(0.0, 0, 0)], maxlen=MAX_LOAD_SAMPLES)

    def _schedule(self):
        batch = self._batch
        if self._stepping or not (batch.running or batch.waiting):
            return
        self._stepping = True
        step_s = self.options.step_s
        step_s += len(batch.running) * self.options.step_per_sequence_s
        reactor.callLater(step_s, self._step, batch)

    def _step(self, batch):
        if batch is not self._batch:
            return
        self._stepping = False
        batch.step(self.now())
        self._sample()
        self._schedule()

    def _sample(self):
        batch = self._batch
        now_s = self.now()
        self._load_samples.append((now_s, len(batch.running), len(batch.waiting)))

    def _complete(self, call):
        document = call.json()
        return self._generate(call, document, document["prompt"])

    def _chat(self, call):
        document = call.json()
        turns = [f"{turn['role']}: {turn['content']}" for turn in document["messages"]]
        return self._generate(call, document, "\n".join(turns))

    def _generate(self, call, document, prompt):
        total = document.get("max_tokens", 16)
        if not isinstance(prompt, str) or not isinstance(total, int):
            raise ValueError("prompt must be a text and max_tokens an integer")
        if not 0 < total <= MAX_TOKENS:
            raise ValueError(f"max_tokens must be from 1 to {MAX_TOKENS}")
        attempt = call.header(ATTEMPT_HEADER)
        offset = int(call.header(OFFSET_HEADER, "0"))
        model = self._models.get(document["model"])
        if model is None:
            return serving.Reply(404, {"error": "no such model"})
        if self._role == "prefill":
            return serving.Reply(409, {"error": "the role is prefill"})
        if offset and not self.options.resumes:
            return serving.Reply(422, {"error": "streams cannot be resumed"})
        entry = {"attempt": attempt, "row": model.row, "outcome": "running"}
        entry["body_digest"] = hashlib.sha256(call.body).hexdigest()
        start = prompt[: int(call.header(PREFIX_CHARS_HEADER, "0"))]
        blocks = batches.block_hashes(model.content_digest, start)
        if blocks:
            call.request.setHeader(PREFIX_BLOCK_HEADER, blocks[-1])
        response = _Response(self, call, model, entry)
        sequence = batches.Sequence(
            attempt,
            prompt,
            offset,
            total,
            int(call.header(PRIORITY_HEADER, "5")),
            model,
            response.send_token,
            response.end,
        )
        if not self._batch.add(sequence):
            return serving.unavailable("the queue is full")
        self.journal.append(entry)
        self.count("executions")
        if self.fault("crash", call):
            self.crash()
        self._schedule()
        return response.finished()

    def _cancel(self, call, attempt):
        return serving.Reply(200, {"ended": self._batch.remove(attempt, "cancelled")})

    def cancel(self, attempt):
        """End an attempt whose caller has closed the connection."""
        self._batch.remove(attempt, "cancelled")

    def _stage(self, call, digest, index):
        # Only digests are kept: the stand-in needs to know what it was given, not the
        # bytes, and many engines share one process.
        chunks = self._staged.setdefault(digest, {})
        chunks[index] = hashlib.sha256(call.body).hexdigest()
        return serving.Reply(200, {"staged": len(chunks)})

    def _unstage(self, call, digest):
        return serving.Reply(200, {"dropped": len(self._staged.pop(digest, {}))})

    def _command(self, call):
        document = call.json()
        fence = document["fencing_token"]
        if not isinstance(fence, int):
            raise ValueError("fencing_token must be an integer")
        key = call.header(COMMAND_KEY_HEADER)
        if self.options.command_key and key != self.options.command_key:
            return document, serving.Reply(403, {"error": "wrong command key"})
        if self.options.fencing == "refuse" and fence < self._highest_token:
            refusal = {"error": "old token", "highest": self._highest_token}
            return document, serving.Reply(409, refusal)
        self._highest_token = max(self._highest_token, fence)
        entry = {"path": call.path, "fencing_token": fence, "sender": call.sender}
        self._commands.append(entry)
        return document, None

    async def _load(self, call):
        document, refusal = self._command(call)
        if refusal:
            return refusal
        digest = document["manifest_digest"]
        staged = self._staged.get(digest, {})
        chunks = [staged.get(index, "") for index in range(document["chunks"])]
        if not all(chunks) and not self.options.accepts_partial:
            return serving.Reply(409, {"error": "chunks are missing"})
        base = self._models.get(document.get("base", ""))
        if document["kind"] == "adapter" and base is None:
            return serving.Reply(409, {"error": "the base is not loaded"})
        if self.fault("crash_on_load", call):
            self.crash()
            return await defer.Deferred()
        await serving.sleep(self.options.load_s)
        model = Model(
            document["row"],
            document["kind"],
            document["version"],
            document.get("base", ""),
            digest,
            content_digest(chunks, base.content_digest if base else ""),
        )
        self._models[model.row] = model
        self.count("loads")
        self._staged.pop(digest, None)
        return serving.Reply(200, dataclasses.asdict(model))

    def _unload(self, call):
        document, refusal = self._command(call)
        if refusal is None:
            self._models.pop(document["row"], None)
        return refusal or serving.Reply(200, {})

    def _set_role(self, call):
        document, refusal = self._command(call)
        if document["role"] not in ROLES:
            raise ValueError(f"role must be one of {', '.join(ROLES)}")
        if refusal is None:
            self._role = document["role"]
        return refusal or serving.Reply(200, {})

    def _state(self, call):
        state = {
            "name": self.name,
            "role": self._role,
            "highest_token": self._highest_token,
            "models": [dataclasses.asdict(model) for model in self._models.values()],
            "staged": {digest: sorted(have) for digest, have in self._staged.items()},
            "commands": list(self._commands),
        }
        return serving.Reply(200, state)

    def _load_report(self, call):
        cutoff_s = self.now() - self.options.load_lag_s
        shown = [s for s in self._load_samples if s[0] <= cutoff_s]
        time_s, running, waiting = (shown or self._load_samples)[-1 if shown else 0]
        report = {
            "running": running,
            "waiting": waiting,
            "capacity": self.options.slots,
            "cache_blocks": len(self._batch.cache),
            "blocks_found": self._batch.blocks_found,
            "blocks_total": self._batch.blocks_total,
            "measured_unix_s": time_s,
        }
        return serving.Reply(200, report)

    def _cache_events(self, call):
        after = int(call.argument("after", "0"))
        limit = int(call.argument("limit", str(batches.MAX_CACHE_EVENTS)))
        cutoff_s = self.now() - self.options.cache_lag_s
        events = [
            event
            for event in self._batch.cache.events
            if event["sequence"] > after and event["time_s"] <= cutoff_s
        ][:limit]
        events = [event for event in events if not self.fault("cache_gap", call)]
        return serving.Reply(200, {"events": events})

    def _export(self, call, attempt):
        sequence = self._batch.find(attempt)
        if sequence is None:
            return serving.Reply(404, {"error": "no such attempt"})
        exported = {
            "content_digest": sequence.model.content_digest,
            "prompt": sequence.prompt,
            "position": sequence.position,
        }
        return serving.Reply(200, json.dumps(exported).encode())

    def _import(self, call):
        document = call.json()
        digest, prompt = document["content_digest"], document["prompt"]
        if digest not in {model.content_digest for model in self._models.values()}:
            return serving.Reply(409, {"error": "other weights are loaded"})
        _, total = self._batch.cache.use(digest, prompt, self.now())
        return serving.Reply(200, {"blocks": total})

    def _journal(self, call):
        return serving.Reply(200, {"executions": list(self.journal)})


class _Response:
    """Response of one completion, streamed or whole."""

    def __init__(self, engine, call, model, entry):
        self._engine = engine
        self._call = call
        self._entry = entry
        self._stream = "text/event-stream" in call.header("Accept")
        self._ended = defer.Deferred()
        self._tokens = []
        self._held = None
        self._released = defer.Deferred()
        self._closed = False
        shown = entry["attempt"]
        if engine.fault("cross", call):
            shown = f"other-{shown}"
        self._truncate = engine.fault("truncate", call)
        self._stall = engine.fault("stall", call)
        self._meta = {"attempt": shown, "manifest_digest": model.manifest_digest}
        self._meta["version"] = model.version
        call.request.setHeader(ATTEMPT_HEADER, shown)
        call.request.setHeader(MANIFEST_HEADER, model.manifest_digest)

    def send_token(self, position, text):
        self._tokens.append(text)
        if self._stream:
            event = {"attempt": self._meta["attempt"], "offset": position}
            self._write("token", dict(event, token=text))
        if len(self._tokens) > 1:
            return
        if self._truncate:
            self._engine.cancel(self._entry["attempt"])
        elif self._stall:
            self._held = []
            reactor.callLater(self._stall.delay_s, self._release)

    def end(self, outcome):
        self._entry["outcome"] = outcome
        self._entry["tokens"] = len(self._tokens)
        if not self._ended.called:
            self._ended.callback(outcome)

    async def finished(self):
        try:
            outcome = await self._ended
            if outcome == "done" and self._held is not None:
                await self._released
        except defer.CancelledError:
            self._closed = True
            self._engine.cancel(self._entry["attempt"])
            raise
        if outcome != "done":
            serving.close_connection(self._call.request)
            return await defer.Deferred()
        if not self._stream:
            return serving.Reply(200, self._whole())
        self._write("end", dict(self._meta, total=self._total()))
        return None

    def _total(self):
        return int(self._call.header(OFFSET_HEADER, "0")) + len(self._tokens)

    def _whole(self):
        return dict(self._meta, tokens=self._tokens, total=self._total())

    def _write(self, kind, value):
        data = f"event: {kind}\ndata: {json.dumps(value)}\n\n".encode()
        if self._held is not None:
            self._held.append(data)
            return
        request = self._call.request
        request.setHeader("Content-Type", "text/event-stream")
        request.write(data)

    def _release(self):
        held, self._held = self._held, None
        if self._closed or self._entry["outcome"] not in ("running", "done"):
            return
        for data in held:
            self._call.request.write(data)
        self._released.callback(None)


def main(engines="engine:0", seed=0, **options):
    """Serve engines; several may share one process.

    :param engines: ``name:port,...``.
    :param seed: seed of the random choices.
    :param options: fields of :class:`Options`.
    """
    chosen = Options(**options)
    serving.run(
        [
            (name, Engines(name, chosen, seed), port)
            for name, port in serving.named_ports(engines)
        ]
    )


if __name__ == "__main__":
    serving.start(main)
