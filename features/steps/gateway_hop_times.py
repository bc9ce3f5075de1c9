"""Steps that add up the longest times of the hops of a change, from the constants."""

import behave

from cicadaplank.gateway import connections, gateway, peers, polling, sync

# Instances in a data centre of the larger deployments, which report less often.
LOCAL_PEERS = 16


def sums(in_force_s, hop_s):
    """Return the longest time in seconds by what is lost on the way.

    :param in_force_s: seconds within which a configuration has to be in force.
    :param hop_s: seconds of a message and its answer.
    """
    times = sync.poll_times(in_force_s)
    tick_s = gateway.TIMEOUT_CHECK_INTERVAL_S
    report_s = peers.REPORT_S * max(1.0, LOCAL_PEERS / peers.LOCAL_PEERS_PER_PERIOD)
    # A read that has just returned changes is followed after a delay by the next.
    answer_s = polling.BATCH_DELAY_S + hop_s
    # The reader tells its peers at its next tick; they ask it and it replies.
    from_reader_s = tick_s + 2 * hop_s
    longest_wait_s = polling.QUIET_WAIT_SHARES[1] * times.poll_s
    held_lost_s = longest_wait_s + polling.HEDGE_AFTER_S + hop_s
    hedge_s = polling.HEDGE_INTERVAL_S[1]
    snapshot_s = polling.SNAPSHOT_HEDGE_INTERVAL_S[1] + hop_s
    take_over_s = times.max_unconfirmed_s + sync.READ_CHECK_INTERVAL_S + hop_s
    return {
        "nothing is lost": answer_s + from_reader_s,
        "an outage ends": hedge_s + hop_s + from_reader_s,
        "the poll that is held is lost": held_lost_s + from_reader_s,
        "the held poll and a snapshot are lost": held_lost_s + snapshot_s,
        "a dial fails after an outage": (
            hedge_s + connections.CONNECT_TIMEOUT_S + hop_s + from_reader_s
        ),
        "an answer is lost after an outage": 2 * hedge_s + hop_s + from_reader_s,
        "a reply of a peer is lost": (
            answer_s
            + from_reader_s
            + max(peers.OTHER_REQUEST_AFTER_S, report_s)
            + report_s
            + hop_s
        ),
        "the readers are lost": take_over_s,
        "the readers are lost and a dial fails": (
            take_over_s + connections.CONNECT_TIMEOUT_S
        ),
    }


@behave.given(
    "a configuration that has to be in force within {in_force_s:f} s and hops of "
    "{hop_s:f} s"
)
def step_bound(context, in_force_s, hop_s):
    context.in_force_s = in_force_s
    context.sums = sums(in_force_s, hop_s)


@behave.when("{lost} on the way of a change")
def step_lost(context, lost):
    context.sum_s = context.sums[lost]


@behave.then("the sum of the times of its hops is at most {share:f} of the bound")
def step_sum(context, share):
    assert context.sum_s <= share * context.in_force_s, f"{context.sum_s:.2f} s"
