"""The service rule: the share of requests with a first token within a second and completed in time.

A scenario in which most requests are rejected keeps every other rule but violates
this one. Each scenario has a least share of requests whose first token must come
within a second and that must complete within the time of their kind, counted from
the first attempt. Twelve seconds after all machines are back, the share of a fleet
without faults is required.
"""

import collections

import tools.recorded as recorded

FIRST_TOKEN_LIMIT_S = 1.0  # target: the first token comes within about a second
COMPLETION_LIMIT_S = collections.defaultdict(lambda: 8.0, flag=2.5)  # target: the response is complete after this
FAULT_FREE_MIN_SHARE = 0.97  # least share in time without faults
DEFAULT_MIN_SHARE = 0.93  # in a scenario with a fault, unless listed in MIN_SHARES
SMALL_FLEET_MIN_SHARE = 0.8  # the same for a fleet of three routers
MIN_SHARES = {
    **dict.fromkeys(
        ("calm", "polite_stops", "leaving", "list_down", "configuration_storm", "crowd"), FAULT_FREE_MIN_SHARE
    ),
    "kill_all": 0.8,  # no service for two seconds
    "wiped_and_cut": 0.6,  # no majority for eight seconds
    "replica_answers_broken": 0.65,
    "replicas_bounce": 0.65,  # no response can complete for five seconds
    "tenant_rush": 0.3,  # several times the capacity of the replicas is requested
    "kill_all_one_elsewhere": 0.8,
    "small_pool_renamed": 0.6,
    "all_restart_after_swap": 0.2,  # everything is down for half of the time
    "anything": 0.8,
    "clocks_run_apart": 0.8,
    "disk_stalls": 0.85,
    "wiped_after_acknowledgement": 0.85,
    "losses_follow_repairs": 0.85,  # three leaders lost in fifteen seconds
    "wipes_in_a_row": 0.8,  # four leaders lost
    "torn_tail": 0.8,  # all keepers die within a second
    "configuration_race": 0.85,
    "owner_dies_staging": 0.85,  # a leader dies during a change, when leases are short
}


def min_share(scenario, size):
    """Return the least share; it is lower on a small fleet, where one of three machines has a third of the traffic."""
    required = MIN_SHARES.get(scenario, DEFAULT_MIN_SHARE)
    return (
        required
        if size == "brief" or required == FAULT_FREE_MIN_SHARE and scenario != "polite_stops"
        else min(required, SMALL_FLEET_MIN_SHARE)
    )


def count_by_kind(history):
    """Map each kind to [requested, served, first token within FIRST_TOKEN_LIMIT_S, completed in time]."""
    table = collections.defaultdict(lambda: [0, 0, 0, 0])
    for rows in recorded.attempts_by_id(history).values():
        row = table[rows[0]["kind"]]
        row[0] += 1
        if rows[-1]["end"] == "whole":
            in_first_token_limit = rows[-1]["first"] - rows[0]["sent"] <= FIRST_TOKEN_LIMIT_S
            row[1] += 1
            row[2] += in_first_token_limit
            row[3] += in_first_token_limit and rows[-1]["done"] - rows[0]["sent"] <= COMPLETION_LIMIT_S[rows[0]["kind"]]
    return table


def share_of(table, column=3):
    asked = sum(row[0] for row in table.values())
    return sum(row[column] for row in table.values()) / asked if asked else 1.0


def in_time(history, min_share, recovered_at=None):
    """Check the share in time; recovered_at: the time from which the share without faults is required again."""
    errors, in_time_share = [], share_of(count_by_kind(history))
    if in_time_share < min_share:
        errors.append(f"{in_time_share:.1%} of the requests were in time, required are {min_share:.0%}")
    after_recovery = [r for r in history if recovered_at is not None and r["sent"] >= recovered_at]
    in_time_share = share_of(count_by_kind(after_recovery))
    if in_time_share < FAULT_FREE_MIN_SHARE and len(after_recovery) > 20:
        errors.append(f"{in_time_share:.1%} were in time after recovery, required are {FAULT_FREE_MIN_SHARE:.0%}")
    return errors
