"""Steps for callers of an entry instance that leave, without sockets and processes."""

import random
import types as plain_types

import behave

from cicadaplank.entry import frontend, serving
from cicadaplank.members import draining
from cicadaplank.reports import objectives
from cicadaplank.requests import admission, answers, dispatcher, exchange
from cicadaplank.world import contracts
from features.steps import gateway_left

IDENTIFIER = "entry/1/1"
CALL = frontend.Call("m", "client", "POST", "/v1/completions", b"{}")


class Connection:
    """Connection to an agent that keeps what is sent."""

    has_room = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Keep a message."""
        self.sent.append(message)


def entry():
    """Return the serving part of an entry instance, and the actions it returned."""
    objective = plain_types.SimpleNamespace(threshold_s=0.88)
    settings = plain_types.SimpleNamespace(
        region="r",
        data_centre="a",
        max_queue=10,
        objective=lambda name: objective if name == objectives.FIRST_TOKEN else None,
    )
    actions = []
    daemon = plain_types.SimpleNamespace(
        settings=settings,
        name="entry",
        incarnation=1,
        now_s=10.0,
        rng=random.Random(1),
        carry_out=actions.extend,
        guarded=lambda function, *arguments: function(*arguments) or True,
        reactor=plain_types.SimpleNamespace(callLater=lambda *arguments: None),
        draining=draining.Draining(),
        configuration=plain_types.SimpleNamespace(table=contracts.EMPTY.table),
    )
    made = serving.Serving(daemon, lambda *arguments: None)
    return made, actions


def request():
    """Return a request that may be repeated."""
    fields = (IDENTIFIER, CALL.row, CALL.client, CALL.method, CALL.path, CALL.body)
    return exchange.Request(*fields, deadline_s=20.0)


def work_of(actions):
    """Return the work of the newest attempt."""
    return [a.work for a in actions if isinstance(a, exchange.SendWork)][-1]


@behave.given("an entry instance with a request whose work is {written}")
def step_entry(context, written):
    made, actions = entry()
    made.dispatcher = dispatcher.Dispatcher(
        "entry", "entry/1", lambda route, now_s: f"agent-{len(route.avoid)}", _rng()
    )
    context.socket = gateway_left.ClientSocket()
    transport = plain_types.SimpleNamespace(getHandle=lambda: context.socket)
    caller = plain_types.SimpleNamespace(transport=transport)
    made._open_requests[IDENTIFIER] = serving.OpenRequest(caller, CALL, 10.0)
    context.work = work_of(made.dispatcher.request(request(), 10.0))
    if written == "to be repeated":
        made._write_work(Connection(), context.work)
        lost = made.dispatcher.connection_lost("agent-0", "reset", 10.1)
        actions.extend(lost)
        if not any(isinstance(a, exchange.SendWork) for a in lost):
            lost = made.dispatcher.tick(11.0)
        context.work = work_of(lost)
    context.serving = made


def _rng():
    return random.Random(1)


@behave.when("the caller {left} and the work is to be written")
def step_left(context, left):
    context.socket.pending = gateway_left.PENDING[left]
    context.connection = Connection()
    context.serving._write_work(context.connection, context.work)


@behave.then("{count:d} work messages were written after that")
def step_written(context, count):
    assert len(context.connection.sent) == count, context.connection.sent
    if not count:
        assert not len(context.serving.dispatcher)


@behave.given('an entry instance with a request that waits for row "{row}"')
def step_waiting(context, row):
    context.serving, context.actions = entry()
    queued = admission.QueuedRequest(IDENTIFIER, row, CALL.client, 1, 20.0)
    context.serving._queued_requests[IDENTIFIER] = request()
    assert not context.serving.admission.submit(queued, 10.0)


@behave.when('a newer table has no row "{row}"')
def step_no_row(context, row):
    assert context.serving._daemon.configuration.table.row(row) is None
    context.serving.start_waiting_of_all_rows()


@behave.then('the request is dispatched and fails as "{code}"')
def step_fails(context, code):
    found = [a.code for a in context.actions if isinstance(a, answers.Answer)]
    assert found == [code], context.actions
    assert not len(context.serving.admission)
