"""Steps for the memory that connections of clients hold together."""

import behave

from cicadaplank.gateway import memory_account


@behave.given("a memory account of {limit_bytes:d} bytes")
def step_account(context, limit_bytes):
    context.account = memory_account.MemoryAccount(limit_bytes)


@behave.when("connections hold")
def step_hold(context):
    for row in context.table:
        holding = row["name"], int(row["bytes"]), memory_account.Holds(row["kind"])
        context.account.set_held(*holding, float(row["since"]))
        context.account.set_held(*holding, float(row["advanced"]))


@behave.then("at {now_s:d} s no connection is cut")
def step_none(context, now_s):
    assert context.account.take_excess(now_s) == []


@behave.then("at {now_s:d} s only {name} is cut")
def step_only(context, now_s, name):
    names = [holder for holder, _ in context.account.take_excess(now_s)]
    assert names == [name], names
    assert context.account.total_bytes <= context.account.limit_bytes


@behave.then(
    "{clients:d} bytes, {answers:d} bytes of answers and {connections:d} connections "
    "are allowed"
)
def step_allowed(context, clients, answers, connections):
    limits = memory_account.MachineLimits(200, 4200)
    allowed = limits.clients_bytes, limits.answers_bytes, limits.client_connections
    assert allowed == (clients, answers, connections), allowed
