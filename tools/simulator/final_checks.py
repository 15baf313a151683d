"""The end of a simulated day: rest, read the configuration back, judge everything."""

import collections

import tools.judge as judge
import tools.judge_traffic as judge_traffic
import tools.read_back as read_back


def control(fleet):
    """At the end every part has one leader and exactly the living keepers as members."""
    found, alive = [], [n for n in fleet.names("keep") if fleet.machines[n].alive]
    for part in range(len(fleet.parts[alive[0]].members)):
        seats = {n: fleet.parts[n].members[part] for n in alive}
        leaders = [n for n, s in seats.items() if s.is_leader]
        want = sorted(s.member_id for s in seats.values())
        if len(leaders) != 1:
            found.append(f"part {part}: leaders {leaders}, states {[s.chart.state for s in seats.values()]}")
        elif sorted(seats[leaders[0]].members) != want:
            found.append(f"part {part}: members {sorted(seats[leaders[0]].members)}, alive {want}")
    return found


def watch_pool(fleet, beat=0.25):
    """Notes each moment in which the listed, living replicas have no prefill or no decode among them."""

    def look():
        listed = [n for n, row in fleet.list.past[-1][1].items() if row["state"] == "ready" and fleet.machines[n].alive]
        roles = collections.Counter(fleet.parts[n].role for n in listed)
        fleet.roles.append((fleet.loop.time, len(listed) < 2 or bool(roles["prefill"] and roles["decode"])))
        fleet.later(beat, look)

    look()


def pool_whole(fleet, most=4.0):
    """A pool is never without one side for longer than a new holder's silence and a look."""
    found, since = [], None
    for at, good in fleet.roles:
        since = None if good else since or at
        if since and at - since > most:
            found.append(f"at {at:.2f} one side of the pool had been empty for {at - since:.2f} s")
    return found


def answered(fleet, path):
    """What the keepers answer to a question of the operator's, or None."""
    status, said = fleet.ask("GET", path, most=40)
    return said if status == 200 else None


def close(fleet, rest=3.0):
    """Lets everything come to rest, reads the configuration back, applies every rule."""
    box = []
    fleet.run(8.0)  # the last writes have got their answers: what is read now must hold them
    ids = [row["id"] for row in fleet.writes] + list(fleet.refused)
    fleet.operator(lambda: box.append(read_back.read_back(lambda path: answered(fleet, path), ids)))
    fleet.run(17.0)
    final = box[0] if box else None
    rules = judge.all_rules(
        fleet.rows, fleet.ledger, fleet.writes, fleet.list.history(), final, fleet.refused, grace=0.0
    )
    rules["freed"] = judge_traffic.freed(fleet.ledger, fleet.loop.time - rest, fleet.lapse)
    rules["control whole"] = control(fleet)
    rules["read back"] = [] if final else ["the configuration could not be read back"]
    rules["no crash inside"] = [f"{at:.2f} {who}: {e!r}" for at, who, e in fleet.loop.faults]
    return {rule: found for rule, found in rules.items() if found}
