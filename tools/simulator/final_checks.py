"""The end of a simulated run: wait for the fleet to settle, read the configuration back, check all rules."""

import collections

import tools.judge as judge
import tools.judge_traffic as judge_traffic
import tools.read_back as read_back


def check_control_plane(fleet):
    """Return the parts that lack a single leader or whose members are not exactly the live keepers."""
    errors, alive = [], [n for n in fleet.names("keep") if fleet.machines[n].alive]
    for part in range(len(fleet.processes[alive[0]].members)):
        members = {n: fleet.processes[n].members[part] for n in alive}
        leaders = [n for n, s in members.items() if s.is_leader]
        expected = sorted(s.member_id for s in members.values())
        if len(leaders) != 1:
            errors.append(f"part {part}: leaders {leaders}, states {[s.chart.state for s in members.values()]}")
        elif sorted(members[leaders[0]].members) != expected:
            errors.append(f"part {part}: members {sorted(members[leaders[0]].members)}, alive {expected}")
    return errors


def sample_pool(fleet, interval_s=0.25):
    """Sample periodically whether the listed live replicas include both prefill and decode."""

    def sample():
        listed = [
            n for n, row in fleet.list.versions[-1][1].items() if row["state"] == "ready" and fleet.machines[n].alive
        ]
        roles = collections.Counter(fleet.processes[n].role for n in listed)
        fleet.pool_samples.append((fleet.loop.time, len(listed) < 2 or bool(roles["prefill"] and roles["decode"])))
        fleet.call_later(interval_s, sample)

    sample()


def check_pool(fleet, max_gap_s=4.0):
    """Return the times at which a role was missing for longer than a new leader waits, plus a sampling interval."""
    errors, since = [], None
    for at, whole in fleet.pool_samples:
        since = None if whole else since or at
        if since and at - since > max_gap_s:
            errors.append(f"at {at:.2f} one side of the pool had been empty for {at - since:.2f} s")
    return errors


def read_path(fleet, path):
    """Return the keepers' response to a GET by the operator, or None."""
    status, response = fleet.ask("GET", path, attempts=40)
    return response if status == 200 else None


def settle_and_check(fleet, release_grace_s=3.0):
    """Let the fleet settle, read the configuration back and return the broken rules."""
    results = []
    fleet.run(8.0)  # all writes are answered by now, so the read must include them
    ids = [row["id"] for row in fleet.writes] + list(fleet.refused)
    fleet.operator(lambda: results.append(read_back.read_back(lambda path: read_path(fleet, path), ids)))
    fleet.run(17.0)
    final = results[0] if results else None
    rules = judge.all_rules(
        fleet.rows, fleet.ledger, fleet.writes, fleet.list.history(), final, fleet.refused, grace=0.0
    )
    rules["freed"] = judge_traffic.freed(fleet.ledger, fleet.loop.time - release_grace_s, fleet.memory_may_expire)
    rules["control whole"] = check_control_plane(fleet)
    rules["read back"] = [] if final else ["the configuration could not be read back"]
    rules["no crash inside"] = [f"{at:.2f} {machine}: {e!r}" for at, machine, e in fleet.loop.errors]
    return {rule: errors for rule, errors in rules.items() if errors}
