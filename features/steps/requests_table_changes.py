"""Steps for changes of the table and the members beside a request in progress."""

import dataclasses

import behave

from cicadaplank.members import membership
from cicadaplank.messages import types
from features import entry_daemons

UNLISTED_S = 31.0


def change_table(run, what):
    """Put a changed table in force."""
    row = entry_daemons.row()
    other = [name for name in entry_daemons.AGENTS if name != run.agent]
    rows = {
        "drops the row": (),
        "drops the client's grant": (entry_daemons.row(client="another"),),
        "gives the row to the other agent": (entry_daemons.row(holders=tuple(other)),),
        "has other weights": (
            dataclasses.replace(row, version="2", manifest_digest="digest-2"),
        ),
    }
    run.entry.configure(*rows[what])


def unlist(run):
    """Take the agent from the platform's list of instances."""
    entry = run.entry
    listed = [
        membership.InstanceListEntry(member.instance)
        for member in entry.daemon.view.members
        if member.instance.name != run.agent
    ]
    entry.daemon.carry_out(entry.daemon.membership.listed(listed, entry.now_s))
    entry.run(UNLISTED_S)


def change(run, what):
    """Bring a change about."""
    if what.startswith("the table "):
        change_table(run, what.removeprefix("the table "))
    elif what == "the agent reports that it leaves":
        rows = {entry_daemons.ROW: entry_daemons.DIGEST}
        report = types.EndpointReport(rows, 1, 8, "leaving")
        run.entry.receive(run.agent, report)
        run.entry.receive(run.agent, types.Heartbeat(1, "leaving", 0.1))
    elif what.startswith("the agent has been unlisted"):
        unlist(run)
    else:
        (other,) = set(entry_daemons.AGENTS) - {run.agent}
        run.entry.lose(other)


@behave.when("{what} and the agent is then silent for {silence:g} s")
def step_change(context, what, silence):
    for run in context.runs:
        change(run, what)
        run.entry.paused.add(run.agent)
        run.entry.run(silence)
        run.entry.paused.discard(run.agent)
        run.finish(run.agent, run.work)
