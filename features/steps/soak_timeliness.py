"""Steps that judge one request by the checks of when changes are in force."""

import behave

from soak import checks, servers, timeliness

ACKED_S = 100.0
ENTRY, OTHER_ENTRY = 0, 1
SERVER = "i-0"
REQUEST = "r-1"
NAMES = {
    "store": timeliness.STORE,
    "entry": timeliness.entry_name(ENTRY),
    "other entry": timeliness.entry_name(OTHER_ENTRY),
    "server's link": SERVER,
}


@behave.given("version {version:d} of the configuration is acknowledged at 100.0 s")
def step_configuration(context, version):
    context.changes = timeliness.Changes(versions=[(version, ACKED_S)])


@behave.given("version {version:d} of the weights is acknowledged at 100.0 s")
def step_weights(context, version):
    context.changes = timeliness.Changes(weights=[(version, ACKED_S)])


@behave.given("the server is marked as leaving at 100.0 s")
def step_leaving(context):
    context.changes = timeliness.Changes(leaving=[(SERVER, ACKED_S)])


@behave.given("the {disturbed} is disturbed until {calm_s:g} s before the request")
def step_disturbed(context, disturbed, calm_s):
    context.disturbed, context.calm_s = NAMES[disturbed], calm_s


def _judge(context, sent_s, status, version=0, weights=0):
    disturbances = timeliness.Disturbances()
    until_s = sent_s - context.calm_s
    disturbances.record(context.disturbed, until_s - 1.0, until_s)
    ledger = servers.Ledger()
    if weights:
        ledger.arrivals.append(
            servers.Arrival(REQUEST, SERVER, sent_s, True, weights=weights)
        )
    seen = [
        checks.Seen(
            request=REQUEST,
            kind="stream",
            entry=ENTRY,
            life=1,
            status=status,
            body=b"",
            events=0,
            is_whole=True,
            version=version,
            sent_s=sent_s,
            ended_s=sent_s,
        )
    ]
    context.faults = [
        *timeliness.configurations(seen, context.changes, disturbances),
        *timeliness.weights(seen, ledger, context.changes, disturbances),
        *timeliness.leaving(seen, ledger, context.changes, disturbances),
    ]


@behave.when(
    "the entry answers 404 for a path of version {version:d} {after_s:g} s after the"
    " acknowledgement"
)
def step_not_found(context, version, after_s):
    _judge(context, ACKED_S + after_s, 404, version=version)


@behave.when(
    "the entry sends a call that begins on version {weights:d} {after_s:g} s after the"
    " acknowledgement"
)
def step_begins(context, weights, after_s):
    _judge(context, ACKED_S + after_s, 200, weights=weights)


@behave.then("the checks of the soak find {count:d} faults")
def step_faults(context, count):
    assert len(context.faults) == count, context.faults
