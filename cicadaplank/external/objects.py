"""Interface and HTTP client of the object store."""

import typing
import urllib.parse

from twisted.internet import defer

from cicadaplank.external import errors, http


class ObjectStore(typing.Protocol):
    """The object store. Every method returns a Deferred."""

    def get(self, key):
        """Read an object.

        :param key: key of the object.
        :returns: Deferred with bytes; fails with :class:`errors.NotFound` or
            :class:`errors.Unavailable`.
        """

    def put(self, key, data):
        """Write an object, atomically replacing an existing one.

        :param key: key of the object.
        :param data: bytes.
        :returns: Deferred with None; fails with :class:`errors.Unavailable` or
            :class:`errors.AnswerLost`.
        """

    def keys(self, prefix):
        """List the keys that have a prefix.

        :param prefix: prefix of the keys.
        :returns: Deferred with a tuple of keys; fails with :class:`errors.Unavailable`.
        """


class ObjectStoreClient:
    """:class:`ObjectStore` over HTTP.

    :param client: :class:`cicadaplank.external.http.Client`.
    """

    def __init__(self, client):
        self._client = client

    def get(self, key):
        """See :meth:`ObjectStore.get`."""
        return http.run_read_only(self._get(key))

    async def _get(self, key):
        answer = await self._client.send("GET", _object_path(key))
        return http.check_status(answer).body

    def put(self, key, data):
        """See :meth:`ObjectStore.put`."""
        return defer.Deferred.fromCoroutine(self._put(key, data))

    async def _put(self, key, data):
        http.check_status(await self._client.send("PUT", _object_path(key), data))

    def keys(self, prefix):
        """See :meth:`ObjectStore.keys`."""
        return http.run_read_only(self._keys(prefix))

    async def _keys(self, prefix):
        query = urllib.parse.urlencode({"prefix": prefix})
        answer = await self._client.send("GET", f"/keys?{query}")
        keys = http.check_status(answer).json().get("keys")
        if not isinstance(keys, list):
            raise errors.Unavailable("the response to /keys has no list of keys")
        return tuple(keys)


def _object_path(key):
    return f"/objects/{urllib.parse.quote(key)}"
