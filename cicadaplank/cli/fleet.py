"""Questions of the command line to every process of the system."""

import os
import time

from twisted.internet import defer, reactor, task

from cicadaplank.external import http, instances
from cicadaplank.links import streams
from cicadaplank.messages import types

ANSWER_TIMEOUT_S = 2.0
# Connections that one command opens at the same time.
MAX_AT_ONCE = 64


class Fleet:
    """Connections of one command to the processes of the system.

    :param settings: :class:`cicadaplank.world.settings.Settings` of any process; its
        platform section names the list of instances.
    """

    def __init__(self, settings):
        self._name = f"operator-{os.getpid()}"
        incarnation = int(time.time() * 1000)
        hello = types.Hello(
            "operator", settings.region, settings.data_centre, incarnation
        )
        identity = streams.Identity(self._name, hello)
        self._hub = streams.PeerHub(reactor, identity, self, lambda: 0, _no_log)
        client = http.Client(reactor, settings.platform.instances_url, self._name)
        self._list = instances.InstancesClient(client)
        self._known = settings.peers
        self._waiting = {}

    async def instances(self):
        """Return every listed instance, or those of the settings without the list.

        :returns: tuple of :class:`cicadaplank.world.machines.Instance`.
        """
        try:
            return tuple(entry.instance for entry in await self._list.list())
        except http.errors.PlatformError:
            return self._known

    async def ask(self, targets, request, reply_type):
        """Ask processes a question.

        :param targets: iterable of :class:`cicadaplank.world.machines.Instance`.
        :param request: message to send.
        :param reply_type: class of the answer.
        :returns: dict from instance name to the answer, None without one.
        """
        semaphore = defer.DeferredSemaphore(MAX_AT_ONCE)
        targets = list(targets)
        asked = [
            semaphore.run(self._ask, target, request, reply_type) for target in targets
        ]
        answers = await defer.gatherResults(asked)
        return dict(zip([each.name for each in targets], answers, strict=True))

    def _ask(self, target, request, reply_type):
        return defer.Deferred.fromCoroutine(self._ask_one(target, request, reply_type))

    async def _ask_one(self, target, request, reply_type):
        connection = await self._hub.dial(target)
        if connection is None:
            return None
        answer = defer.Deferred()
        self._waiting[target.name] = (reply_type, answer)
        connection.send(request)
        answer.addTimeout(ANSWER_TIMEOUT_S, reactor, lambda value, timeout_s: None)
        return await answer

    def message_received(self, connection, envelope):
        """Take an answer."""
        reply_type, answer = self._waiting.get(connection.peer, (None, None))
        if reply_type and isinstance(envelope.message, reply_type):
            del self._waiting[connection.peer]
            if not answer.called:
                answer.callback(envelope.message)

    def connection_lost(self, connection):
        """Take the end of a connection; its question stays without an answer."""
        _, answer = self._waiting.pop(connection.peer, (None, None))
        if answer is not None and not answer.called:
            answer.callback(None)

    async def close(self):
        """Close every connection."""
        await self._hub.close()
        await task.deferLater(reactor, 0)


def _no_log(event, **fields):
    """Drop the events of the command's own connections."""
