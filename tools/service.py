"""The rule for time: how many requests were served, began within a second, were whole in time.

A day on which most requests are merely bounced keeps every other rule; it breaks
this one. Each day has a floor: the least share of its requests that must begin
within a second and be whole within the kind's time, counted from the user agent's
first ask. Once the machines have been back for twelve seconds, calm's floor holds.
"""

import collections

import tools.recorded as recorded

FIRST = 1.0  # s; the brief: begin within about a second
WHOLE = collections.defaultdict(lambda: 8.0, flag=2.5)  # s; and be whole within this
CALM = 0.97  # share in time while nothing is wrong
FLOOR = 0.93  # and on a day with a fault, unless FLOORS says otherwise
SMALL = 0.8  # the same on a fleet of three routers
FLOORS = {
    **dict.fromkeys(("calm", "polite_stops", "leaving", "list_down", "configuration_storm", "crowd"), CALM),
    "kill_all": 0.8,  # nobody serves for two of its seconds
    "wiped_and_cut": 0.6,  # no majority for eight
    "replica_answers_broken": 0.65,
    "replicas_bounce": 0.65,  # five seconds in which no answer can be whole
    "tenant_rush": 0.3,  # asked for several times what the replicas can do
    "kill_all_one_elsewhere": 0.8,
    "small_pool_renamed": 0.6,
    "all_restart_after_swap": 0.2,  # everything is down for half of it
    "anything": 0.8,
    "clocks_run_apart": 0.8,
    "disk_stalls": 0.85,
    "wiped_after_acknowledgement": 0.85,
    "losses_follow_repairs": 0.85,  # three leaders lost in fifteen seconds
    "wipes_in_a_row": 0.8,  # and four
    "torn_tail": 0.8,  # all keepers die within a second
    "configuration_race": 0.85,
    "owner_dies_staging": 0.85,  # a leader dies amid a change: leases are short
}


def floor(day, size):
    """On a small fleet one machine of three carries a third of the traffic."""
    least = FLOORS.get(day, FLOOR)
    return least if size == "brief" or least == CALM and day != "polite_stops" else min(least, SMALL)


def figures(history):
    """Map each kind to [asked, served, begun within FIRST, whole in time]."""
    table = collections.defaultdict(lambda: [0, 0, 0, 0])
    for rows in recorded.attempts_by_id(history).values():
        row = table[rows[0]["kind"]]
        row[0] += 1
        if rows[-1]["end"] == "whole":
            begun = rows[-1]["first"] - rows[0]["sent"] <= FIRST
            row[1] += 1
            row[2] += begun
            row[3] += begun and rows[-1]["done"] - rows[0]["sent"] <= WHOLE[rows[0]["kind"]]
    return table


def share(table, at=3):
    asked = sum(row[0] for row in table.values())
    return sum(row[at] for row in table.values()) / asked if asked else 1.0


def in_time(history, floor, back=None):
    """back: the moment from which calm's floor holds again."""
    found, good = [], share(figures(history))
    if good < floor:
        found.append(f"{good:.1%} of the requests were in time, at least {floor:.0%} must be")
    late = [r for r in history if back is not None and r["sent"] >= back]
    good = share(figures(late))
    if good < CALM and len(late) > 20:
        found.append(f"{good:.1%} were in time after the machines were back, at least {CALM:.0%} must be")
    return found
