"""Steps for odd entries of the platform's list of instances."""

import behave
from twisted.internet import defer

from cicadaplank.external import http, instances
from features import odd_rows

ENTRY = {
    "name": "good",
    "role": "entry",
    "host": "10.0.0.1",
    "port": 7700,
    "region": "r",
    "data_centre": "a",
    "half": "",
    "state": "live",
}


class Client:
    """Answers each call with one body."""

    def __init__(self, body):
        self._body = body

    async def send(self, method, path):
        """Answer a call."""
        return http.Response(200, {}, self._body)


@behave.given("a list of instances with a good entry and one with {field} as {value}")
def step_list(context, field, value):
    literal = odd_rows.literal_of(value)
    document = {"instances": [{**ENTRY, "name": "odd"}, ENTRY]}
    body = odd_rows.replaced(document, f"instances.0.{field}", literal)
    context.client = instances.InstanceListClient(Client(body))


@behave.when("the list of instances is read")
def step_read(context):
    context.found = []
    reading = context.client.list()
    assert isinstance(reading, defer.Deferred)
    reading.addBoth(context.found.append)


@behave.then("only the good instance is in it")
def step_only_good(context):
    (found,) = context.found
    assert isinstance(found, tuple), found
    assert [listed.instance.name for listed in found] == ["good"], found
