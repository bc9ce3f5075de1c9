"""Staging of pieces of weights at an engine, before it is ordered to load them."""

import typing

from cicadaplank.external import errors
from cicadaplank.weights import manifests


class Engine(typing.Protocol):
    """Client of this agent's engine.

    Its methods are coroutines that raise ``errors.PlatformError``.
    """

    def state(self):
        """Return the :class:`cicadaplank.replicas.loading.EngineState`."""

    def put_piece(self, model, number, data):
        """Upload a piece to the staging area.

        :param model: model name.
        :param number: index of the piece in the manifest.
        :param data: bytes of the piece.
        """

    def piece(self, model, number):
        """Return the bytes of a staged piece.

        :param model: model name.
        :param number: index of the piece in the manifest.
        :raises errors.NotFound: when it is not staged.
        """

    def load(self, order):
        """Order the engine to load the staged pieces.

        :param order: :class:`cicadaplank.replicas.loading.Order`.
        :returns: whether the engine accepted the order.
        """


async def import_staged(engine, model, manifest, store):
    """Read the staged pieces of a version from an engine into the chunk store.

    Pieces that are missing or do not match the manifest are skipped.

    :param engine: :class:`Engine`.
    :param model: model name.
    :param manifest: :class:`cicadaplank.weights.manifests.Manifest`.
    :param store: :class:`cicadaplank.weights.chunks.ChunkStore` with room for it.
    :returns: number of pieces that were stored.
    """
    stored = 0
    for number, digest in enumerate(manifest.chunk_digests):
        try:
            data = await engine.piece(model, number)
        except errors.NotFound:
            continue
        if manifests.chunk_digest(data) == digest:
            store.put(digest, data)
            stored += 1
    return stored


async def stage(engine, model, manifest, store):
    """Upload every piece that an engine does not already hold intact.

    :param engine: :class:`Engine`.
    :param model: model name.
    :param manifest: :class:`cicadaplank.weights.manifests.Manifest`.
    :param store: :class:`cicadaplank.weights.chunks.ChunkStore` that holds all pieces.
    :returns: number of pieces that were staged.
    :raises errors.PlatformError: when a call to the engine fails, or a piece read back
        differs from the uploaded one.
    """
    digests = manifest.chunk_digests
    missing = await missing_pieces(engine, model, manifest)
    for number in missing:
        await engine.put_piece(model, number, store.get(digests[number]))
        if not await _is_staged(engine, model, number, digests[number]):
            raise errors.AnswerLost(f"staged piece {number} is missing or differs")
    return len(missing)


async def missing_pieces(engine, model, manifest):
    """Return the numbers of the pieces that an engine does not hold intact.

    :param engine: :class:`Engine`.
    :param model: model name.
    :param manifest: :class:`cicadaplank.weights.manifests.Manifest`.
    :raises errors.PlatformError: when a call to the engine fails.
    """
    digests = manifest.chunk_digests
    return [
        number
        for number in range(len(digests))
        if not await _is_staged(engine, model, number, digests[number])
    ]


async def _is_staged(engine, model, number, digest):
    try:
        data = await engine.piece(model, number)
    except errors.NotFound:
        return False
    return manifests.chunk_digest(data) == digest
