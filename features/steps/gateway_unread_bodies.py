"""Steps for endpoints that read a long body late, on real sockets."""

import random
import socket
import threading
import time

import behave
from twisted.internet import reactor, task

from cicadaplank.gateway import endpoints, gateway, routes
from cicadaplank.platform import headers
from features import reactors
from features.steps import gateway as gateway_steps

HOST = "127.0.0.1"
LIMIT_S = 5.0
CHECK_S = 0.05
SECOND = b"attempt-2"
ROUTE = routes.Route(
    "r",
    "host.example",
    "/x/",
    routes.RetryPolicy.IDEMPOTENT,
    False,
    LIMIT_S,
    LIMIT_S,
    1,
    (routes.Share(gateway_steps.SERVICE, 1),),
    2,
    False,
    False,
)


class Client:
    """A client that notes its answer."""

    has_left = False
    has_queued_requests = False

    def __init__(self):
        self.answer = None

    def reply(self, head, body):
        """Note the answer of an endpoint."""
        self.answer = (head.status, bytes(body))

    def refuse(self, status, message, retry_after_s):
        """Note an answer of the gateway."""
        self.answer = (status, message)


def serve(listening, pause_s):
    """Take one connection, read nothing for a while, then the call, and answer it."""
    try:
        sock, _ = listening.accept()
        with sock:
            time.sleep(pause_s)
            sock.settimeout(LIMIT_S)
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(65536)
            head, _, body = data.partition(b"\r\n\r\n")
            fields = head.lower().split(b"content-length: ")[1]
            left = int(fields.split(b"\r\n")[0]) - len(body)
            while left > 0:
                part = sock.recv(65536)
                if not part:
                    return
                left -= len(part)
            sock.sendall(gateway_steps.answer())
    except OSError:
        pass


@behave.given("a real endpoint that reads nothing for {pause_s:f} s and then answers")
def step_endpoint(context, pause_s):
    start_endpoint(context, serve, pause_s)


def start_endpoint(context, function, *args):
    """Start a thread that serves a listening socket."""
    listening = socket.create_server((HOST, 0))
    listening.settimeout(LIMIT_S)
    context.cleanups.append(listening.close)
    context.endpoint_port = listening.getsockname()[1]
    context.endpoint = threading.Thread(target=function, args=(listening, *args))
    context.endpoint.start()


def serve_early(listening, pause_s, second):
    """Answer a call before it is read, then read on late and answer the second call."""
    try:
        sock, _ = listening.accept()
        with sock:
            data = sock.recv(1000)
            sock.sendall(gateway_steps.answer())
            time.sleep(pause_s)
            sock.settimeout(LIMIT_S)
            while second not in data[-4000:]:
                part = sock.recv(65536)
                if not part:
                    return
                data += part
            sock.sendall(gateway_steps.answer(attempt=second))
    except OSError:
        pass


@behave.given("a real endpoint that answers at once and reads on after {pause_s:f} s")
def step_early_endpoint(context, pause_s):
    start_endpoint(context, serve_early, pause_s, SECOND)


async def send_calls(context, *calls):
    """Send calls through a gateway, one after the other, and wait for their answers.

    :param calls: identifier and number of bytes of the body of each call.
    """
    served = gateway.Gateway(
        reactor,
        headers.PlatformDialect(),
        "a",
        gateway_steps.BOUNDS,
        random.Random(1),
        gateway_steps.Reporter(),
    )
    service = routes.Service(gateway_steps.SERVICE, 96, False, "")
    limits = routes.ClientLimits(1000, 4_000_000, 3.0, 15.0)
    services = {gateway_steps.SERVICE: service}
    configuration = routes.Configuration(1, (ROUTE,), services, limits, None)
    served.set_configuration(configuration)
    listed = endpoints.Endpoint(
        "x", gateway_steps.SERVICE, HOST, context.endpoint_port, "a", 1, False, {}
    )
    served.set_endpoints({"x": listed}, False)
    checks = task.LoopingCall(served.check_timeouts)
    checks.start(CHECK_S)
    try:
        for attempt, size in calls:
            client = Client()
            served.accept(client, request(served, attempt, size))
            await reactors.eventually(lambda c=client: c.answer is not None, "answer")
    finally:
        checks.stop()
        for pool in served._pools.values():
            pool.close()
    return client.answer


def request(served, attempt, size):
    """Return a call with a body."""
    fields = [
        (b"Host", b"host.example"),
        (b"X-Attempt-Id", attempt),
        (b"Content-Length", b"%d" % size),
    ]
    head = served.dialect.read_request(b"POST", b"/x/1", fields)
    now_s = served.now_s()
    return gateway_steps.calls.Request(head, b"x" * size, now_s, now_s)


@behave.when("it is sent a call with {size:d} bytes of body that may be repeated")
def step_call(context, size):
    context.answer = reactors.run(send_calls, context, (gateway_steps.ATTEMPT, size))
    context.endpoint.join(LIMIT_S)


@behave.when("it is sent a call with {size:d} bytes and a short one behind it")
def step_two_calls(context, size):
    calls = (gateway_steps.ATTEMPT, size), (SECOND, 100)
    context.answer = reactors.run(send_calls, context, *calls)
    context.endpoint.join(LIMIT_S)


@behave.then("the short call's answer is whole")
@behave.then("the call's answer is whole")
def step_whole(context):
    assert context.answer == (200, gateway_steps.BODY), context.answer
