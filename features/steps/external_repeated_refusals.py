"""Steps for earlier refusals that engines and services write once more."""

import behave
from twisted.internet import protocol, reactor

from cicadaplank.external import errors, http, services
from features import reactors
from features.steps import external_endings
from features.steps import platform_clients as clients

LIMIT_S = 5.0
EARLIER = b"earlier"
THIS = clients.ATTEMPT.encode()
IDS = {
    "with this id": (THIS,),
    "with the earlier id": (EARLIER,),
    "without an id": (),
    "with an empty id": (b"",),
    "with both ids, this first": (THIS, EARLIER),
    "with both ids, this last": (EARLIER, THIS),
}


def refusal(status, ids):
    lines = [b"HTTP/1.1 %d Refused" % status]
    lines += [b"X-Cicadaplank-Attempt: " + identifier for identifier in IDS[ids]]
    return b"\r\n".join(lines) + b"\r\nContent-Length: 14\r\n\r\n" + b'{"error": "e"}'


def read_service(client, timeout_s):
    return client.call(
        services.ServiceCall(
            clients.ATTEMPT, "GET", "/calls/list", b"", timeout_s=timeout_s
        )
    )


# Calls whose answers and refusals are those of another kind of call.
READS = {"service read": ("service call", read_service)}


class RepeatingConnection(protocol.Protocol):
    """Refuses the server's first request and answers each later one.

    Before the answer to a request that is not the first one on its connection, it
    writes the refusal once more.
    """

    requests = 0

    def dataReceived(self, data):
        """Answer a request, which arrives whole."""
        self.factory.requests += 1
        self.requests += 1
        if self.factory.requests == 1:
            self.transport.write(self.factory.refusal)
            return
        again = self.factory.refusal if self.requests > 1 else b""
        self.transport.write(again + self.factory.answer)


class RepeatingServer(protocol.Factory):
    """Server that writes its refusal once more on kept connections."""

    noisy = False
    protocol = RepeatingConnection
    requests = 0
    answer = b""

    def __init__(self, data):
        self.refusal = data


async def listen(context, data):
    context.server = RepeatingServer(data)
    port = reactor.listenTCP(0, context.server, interface="127.0.0.1")
    context.cleanups.append(lambda: reactors.run(port.stopListening))
    context.address = f"http://127.0.0.1:{port.getHost().port}"


@behave.given(
    "a server that writes status {status:d} {ids} again before each later answer"
)
def step_repeating(context, status, ids):
    reactors.run(listen, context, refusal(status, ids))


async def outcome_of(sending):
    try:
        return await sending
    except errors.PlatformError as error:
        return type(error)


async def play(context, call):
    call, read = READS.get(call, (call, None))
    body, _ = external_endings.BODIES[call]
    context.server.answer = external_endings.framed(body, "a length")
    client = http.Client(reactor, context.address, timeout_s=LIMIT_S)
    kind, send, _ = clients.CALLS[call]
    send = read or send
    first = {"X-Cicadaplank-Attempt": EARLIER.decode()}
    method = "GET" if read else "POST"
    await outcome_of(client.send(method, "/earlier", None, first))
    made = clients.STANDINS[kind][1](client)
    context.result = await outcome_of(send(made, LIMIT_S))
    await client.close()


@behave.when("a call is refused and the external call {call} follows")
def step_follows(context, call):
    reactors.run(play, context, call)


@behave.then("the external call has its own answer")
def step_own_answer(context):
    assert not isinstance(context.result, type), context.result


@behave.when("the external call {call} is answered by status {status:d} {ids}")
def step_answered(context, call, status, ids):
    data = refusal(status, ids)
    context.result = reactors.run(external_endings.play, context, call, data, "a close")


@behave.then("the external call may have run")
def step_may_have_run(context):
    assert context.result in (errors.AnswerLost, errors.Crossed), context.result


@behave.then("the external call was not run")
def step_not_run(context):
    assert context.result in (errors.Unavailable, errors.Refused), context.result
