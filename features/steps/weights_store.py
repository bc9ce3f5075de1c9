"""Steps for manifests and the chunk store."""

import json
import random

import behave
import hypothesis
from hypothesis import strategies
from returns import result

from bench import swarm
from cicadaplank.weights import (
    chunks,
    manifests,
)

SEED = 7
CHUNK_BYTES = 64


def small_model(version="v1"):
    """Return a manifest of 5 chunks, the last one shorter, and its chunks."""
    data = random.Random(SEED).randbytes(4 * CHUNK_BYTES + 10)
    return manifests.build("model", version, data, CHUNK_BYTES)


@behave.given("a manifest of 5 chunks")
def step_manifest(context):
    context.manifest, context.data = small_model()
    context.manifest_text = context.manifest.to_json()
    context.expected = context.manifest.digest


@behave.then("the manifest equals itself after writing and reading")
def step_manifest_same(context):
    parsed = manifests.parse(context.manifest_text, context.expected)
    assert parsed.unwrap() == context.manifest


def consistent(document):
    """Return text and digest of a document whose digest is right."""
    fields = (document["name"], document["version"], document["chunk_bytes"])
    fields += (document["size_bytes"], tuple(document["chunk_digests"]))
    manifest = manifests.Manifest(*fields, "")
    digest = manifests.chunk_digest(manifest.to_json().encode())
    return manifest.to_json(), digest


@behave.when("the manifest is damaged by {damage}")
def step_damage_manifest(context, damage):
    document = json.loads(context.manifest_text)
    digests = document["chunk_digests"]
    if damage == "one chunk digest":
        digests[2] = "0" * 64
    elif damage == "order of chunks":
        digests[0], digests[1] = digests[1], digests[0]
    elif damage == "size":
        document["size_bytes"] += 1
    elif damage == "another version":
        document["version"] = "v0"
    elif damage == "chunk size as text":
        document["chunk_bytes"] = "64"
        context.manifest_text, context.expected = consistent(document)
        return
    context.manifest_text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    if damage == "a missing chunk":
        digests.pop()
        context.manifest_text, context.expected = consistent(document)
    elif damage == "chunk size of 0":
        document["chunk_bytes"] = 0
        context.manifest_text, context.expected = consistent(document)
    elif damage == "digest too short":
        digests[0] = "ab"
        context.manifest_text, context.expected = consistent(document)
    elif damage == "cut text":
        context.manifest_text = context.manifest_text[:-10]
    elif damage == "not an object":
        context.manifest_text = "[1, 2]"


@behave.then("the manifest is rejected with a reason")
def step_manifest_rejected(context):
    parsed = manifests.parse(context.manifest_text, context.expected)
    assert isinstance(parsed, result.Failure), parsed
    assert parsed.failure()


@behave.given("a chunk store with a manifest of 5 chunks reserved")
def step_store(context):
    context.manifest, context.data = small_model()
    context.store = chunks.ChunkStore(1000)
    assert context.store.reserve(context.manifest)


@behave.when("the chunk store is given {chunk}")
def step_put(context, chunk):
    digest = context.manifest.chunk_digests[0]
    data = context.data[digest]
    if chunk == "the same chunk twice":
        context.store.put(digest, data)
    elif chunk == "a chunk with a bit off":
        data = bytes([data[0] ^ 1]) + data[1:]
    elif chunk == "an empty chunk":
        data = b""
    elif chunk == "a chunk of no manifest":
        data = b"other"
        digest = manifests.chunk_digest(data)
    context.before = context.store.held_bytes
    context.outcome = context.store.put(digest, data)
    context.added = context.store.held_bytes - context.before


@behave.then("the chunk store answers {outcome}")
def step_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome
    assert context.added == (CHUNK_BYTES if outcome == "stored" else 0), context.added


@behave.when("the chunk store lacks one chunk of the manifest")
def step_all_but_one(context):
    for digest in context.manifest.chunk_digests[1:]:
        context.store.put(digest, context.data[digest])


@behave.then("the chunk store refuses to read the weights")
def step_refuses_read(context):
    assert not context.store.is_complete(context.manifest)
    try:
        context.store.read(context.manifest)
    except ValueError as error:
        assert context.manifest.digest in str(error)
    else:
        raise AssertionError("an incomplete set was read")


def shared_models():
    """Return two models of 5 chunks that share the first 3."""
    rng = random.Random(SEED)
    head = rng.randbytes(3 * CHUNK_BYTES)
    weights = [head + rng.randbytes(2 * CHUNK_BYTES) for _ in range(2)]
    return [
        manifests.build("m", f"v{i}", w, CHUNK_BYTES) for i, w in enumerate(weights)
    ]


@behave.given("a chunk store with two manifests that share 3 chunks")
def step_two_manifests(context):
    context.models = shared_models()
    context.store = chunks.ChunkStore(7 * CHUNK_BYTES)
    for manifest, data in context.models:
        assert context.store.reserve(manifest)
        for digest, chunk in data.items():
            context.store.put(digest, chunk)


@behave.when("the chunk store releases the first and needs memory")
def step_release(context):
    context.store.release(context.models[0][0].digest)
    data = random.Random(SEED + 5).randbytes(2 * CHUNK_BYTES)
    manifest, data = manifests.build("other", "v1", data, CHUNK_BYTES)
    assert context.store.reserve(manifest)
    for digest, chunk in data.items():
        assert context.store.put(digest, chunk) is chunks.PutOutcome.STORED


@behave.then("the chunk store holds the second completely and no more than its limit")
def step_second_complete(context):
    assert context.store.is_complete(context.models[1][0])
    assert context.store.held_bytes <= context.store.limit_bytes


OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("reserve", "release", "put", "fill", "damage")),
        strategies.integers(0, 3),
        strategies.integers(0, 4),
    ),
    min_size=20,
    max_size=60,
)


@behave.then("the chunk store keeps its bounds over random operations")
def step_store_bounds(context):
    models = shared_models() + [
        swarm.model(5, CHUNK_BYTES, SEED + 1, "model", "v2"),
        swarm.model(4, CHUNK_BYTES, SEED + 1, "adapter", "v3"),
    ]

    @hypothesis.settings(
        derandomize=True,
        max_examples=200,
        database=None,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(OPERATIONS)
    def check(operations):
        store = chunks.ChunkStore(9 * CHUNK_BYTES)
        for operation, model, index in operations:
            manifest, data = models[model]
            digest = manifest.chunk_digests[index % len(manifest.chunk_digests)]
            if operation == "reserve":
                store.reserve(manifest)
            elif operation == "release":
                store.release(manifest.digest)
            elif operation == "put":
                store.put(digest, data[digest])
            elif operation == "fill":
                for each, chunk in data.items():
                    store.put(each, chunk)
            else:
                assert store.put(digest, b"?") is chunks.PutOutcome.CORRUPT
            held = sum(len(store.get(d) or b"") for d in _digests(models))
            assert held == store.held_bytes <= store.limit_bytes
            assert 0 <= store.reserved_bytes <= store.limit_bytes

    check()


def _digests(models):
    return {digest for _, data in models for digest in data}
