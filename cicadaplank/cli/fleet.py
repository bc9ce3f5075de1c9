"""Queries of a command to the processes of the system over peer connections."""

import os
import time

from twisted.internet import defer, reactor, task

from cicadaplank.external import http, instances
from cicadaplank.links import streams
from cicadaplank.messages import types

ANSWER_TIMEOUT_S = 2.0
# Processes that one call of query() queries at the same time.
MAX_CONCURRENT_QUERIES = 64


class Fleet:
    """Peer connections of one command to the processes of the system.

    :param settings: :class:`cicadaplank.world.settings.Settings` of any process; its
        platform section has the URL of the instance list.
    """

    def __init__(self, settings):
        self._name = f"operator-{os.getpid()}"
        incarnation = int(time.time() * 1000)
        hello = types.Hello(
            "operator", settings.region, settings.data_centre, incarnation
        )
        identity = streams.Identity(self._name, hello)
        self._hub = streams.PeerHub(reactor, identity, self, lambda: 0, _discard_event)
        client = http.Client(reactor, settings.platform.instances_url, self._name)
        self._instances_client = instances.InstanceListClient(client)
        self._configured = settings.peers
        self._pending = {}

    async def instances(self):
        """Return all listed instances, or the peers of the settings.

        The peers of the settings are used when the instance list is unavailable.

        :returns: tuple of :class:`cicadaplank.world.machines.Instance`.
        """
        try:
            return tuple(
                entry.instance for entry in await self._instances_client.list()
            )
        except http.errors.PlatformError:
            return self._configured

    async def query(self, targets, request, reply_type):
        """Send a request to processes and collect their answers.

        :param targets: iterable of :class:`cicadaplank.world.machines.Instance`.
        :param request: message to send to each of them.
        :param reply_type: message class of the answer.
        :returns: dict from instance name to the answer, or None when the process could
            not be dialled or did not answer within ``ANSWER_TIMEOUT_S``.
        """
        semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_QUERIES)
        targets = list(targets)
        queries = [
            semaphore.run(self._query, target, request, reply_type)
            for target in targets
        ]
        answers = await defer.gatherResults(queries)
        return dict(zip([each.name for each in targets], answers, strict=True))

    def _query(self, target, request, reply_type):
        return defer.Deferred.fromCoroutine(
            self._query_one(target, request, reply_type)
        )

    async def _query_one(self, target, request, reply_type):
        connection = await self._hub.dial(target)
        if connection is None:
            return None
        answer = defer.Deferred()
        self._pending[target.name] = (reply_type, answer)
        connection.send(request)
        answer.addTimeout(ANSWER_TIMEOUT_S, reactor, lambda value, timeout_s: None)
        return await answer

    def message_received(self, connection, envelope):
        """Complete the pending query of the peer when the message is its answer."""
        reply_type, answer = self._pending.get(connection.peer, (None, None))
        if reply_type and isinstance(envelope.message, reply_type):
            del self._pending[connection.peer]
            if not answer.called:
                answer.callback(envelope.message)

    def connection_lost(self, connection):
        """Complete the pending query of the peer without an answer."""
        _, answer = self._pending.pop(connection.peer, (None, None))
        if answer is not None and not answer.called:
            answer.callback(None)

    async def close(self):
        """Close all connections and let the reactor process the closing."""
        await self._hub.close()
        await task.deferLater(reactor, 0)


def _discard_event(event, **fields):
    """Ignore the log events of the command's own connections."""
