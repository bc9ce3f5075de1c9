"""Pieces of weights that lie at an engine."""

import typing

from cicadaplank.external import errors
from cicadaplank.weights import manifests


class Engine(typing.Protocol):
    """The engine beside this agent. Coroutines raise ``errors.PlatformError``."""

    def state(self):
        """Return :class:`cicadaplank.replicas.loading.EngineState`."""

    def put_piece(self, model, number, data):
        """Stage a piece."""

    def piece(self, model, number):
        """Return a staged piece."""

    def load(self, order):
        """Order the engine to load what is staged; returns whether it does.

        :param order: :class:`cicadaplank.replicas.loading.Order`.
        """


async def adopt(engine, model, manifest, store):
    """Take the pieces of a version that lie at an engine into the chunk store.

    :param engine: :class:`Engine`.
    :param model: model name.
    :param manifest: :class:`cicadaplank.weights.manifests.Manifest`.
    :param store: :class:`cicadaplank.weights.chunks.ChunkStore` with room for it.
    :returns: number of pieces that were taken.
    """
    adopted = 0
    for number, digest in enumerate(manifest.chunk_digests):
        try:
            data = await engine.piece(model, number)
        except errors.NotFound:
            continue
        if manifests.chunk_digest(data) == digest:
            store.put(digest, data)
            adopted += 1
    return adopted


async def stage(engine, model, manifest, store):
    """Stage every piece that does not lie at an engine as it should.

    :param engine: :class:`Engine`.
    :param model: model name.
    :param manifest: :class:`cicadaplank.weights.manifests.Manifest`.
    :param store: :class:`cicadaplank.weights.chunks.ChunkStore` that holds all pieces.
    :returns: number of pieces that were staged.
    :raises PlatformError: when a piece does not lie there afterwards.
    """
    digests = manifest.chunk_digests
    missing = [
        number
        for number in range(len(digests))
        if not await _lies_there(engine, model, number, digests[number])
    ]
    for number in missing:
        await engine.put_piece(model, number, store.get(digests[number]))
        if not await _lies_there(engine, model, number, digests[number]):
            raise errors.AnswerLost(f"piece {number} is not as it was staged")
    return len(missing)


async def _lies_there(engine, model, number, digest):
    try:
        data = await engine.piece(model, number)
    except errors.NotFound:
        return False
    return manifests.chunk_digest(data) == digest
