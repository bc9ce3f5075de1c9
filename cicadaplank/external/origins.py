"""Interface and HTTP client of the origin, a rate-limited store of weight chunks."""

import typing

from twisted.internet import defer

from cicadaplank.external import http

CHUNK_TIMEOUT_S = 30.0


class Origin(typing.Protocol):
    """The origin. Every method returns a Deferred."""

    def get_chunk(self, chunk_digest):
        """Fetch a chunk; the caller checks it against its digest.

        :param chunk_digest: SHA-256 of the chunk in hex.
        :returns: Deferred with bytes; fails with :class:`errors.NotFound` or
            :class:`errors.Unavailable`.
        """

    def put_chunk(self, chunk_digest, data):
        """Store a chunk.

        The call is idempotent, because the digest identifies the content: it may be
        repeated after any error.

        :param chunk_digest: SHA-256 of the chunk in hex.
        :param data: bytes of the chunk.
        :returns: Deferred with None; fails with :class:`errors.Refused`,
            :class:`errors.Unavailable` or :class:`errors.AnswerLost`.
        """


class OriginClient:
    """:class:`Origin` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    :param chunk_timeout_s: time-out of the transfer of one chunk in seconds.
    """

    def __init__(self, client, chunk_timeout_s=CHUNK_TIMEOUT_S):
        self._client = client
        self._chunk_timeout_s = chunk_timeout_s

    def get_chunk(self, chunk_digest):
        """See :meth:`Origin.get_chunk`."""
        return http.run_read_only(self._get_chunk(chunk_digest))

    async def _get_chunk(self, chunk_digest):
        path = f"/chunks/{chunk_digest}"
        answer = await self._client.send("GET", path, timeout_s=self._chunk_timeout_s)
        return http.check_status(answer).body

    def put_chunk(self, chunk_digest, data):
        """See :meth:`Origin.put_chunk`."""
        return defer.Deferred.fromCoroutine(self._put_chunk(chunk_digest, data))

    async def _put_chunk(self, chunk_digest, data):
        path = f"/chunks/{chunk_digest}"
        timeout_s = self._chunk_timeout_s
        http.check_status(
            await self._client.send("PUT", path, data, timeout_s=timeout_s)
        )
