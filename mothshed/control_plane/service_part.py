"""A service part: who may order its replicas, and which role each one has.

The leader of the part takes the holder's seat with one log entry, which raises
the standing by one; orders carry that standing and a replica refuses a lower
one. A new holder gives no order until FIRST_ORDER_DELAY_S after its seat was committed, and
an old one none once it is no longer sure of its majority, so two holders never
take turns within the brief's three seconds.
"""

import math

import mothshed.constants as constants

Load = tuple[float, float, float]  # running, waiting, and how many a replica carries


class ServiceMachine:
    """The replicated state: the holder, its fence, and the role of each replica."""

    commands = frozenset({"take", "roles"})  # what this release can apply

    def __init__(self):
        self.order_leader, self.fencing_token = "", 0
        self.roles = {}  # replica name -> role
        self.leader_entry_applied = lambda: None  # told when the entry of a new leader is applied, or may have been

    def apply(self, index, command):
        if command["op"] == "begin":
            self.leader_entry_applied()
        if command["op"] == "take":
            self.order_leader, self.fencing_token = command["who"], self.fencing_token + 1
            return {"standing": self.fencing_token}
        if command["op"] == "roles" and command["standing"] == self.fencing_token:
            self.roles.update(command["roles"])
            for name in command["gone"]:
                self.roles.pop(name, None)
            return {"roles": len(self.roles)}
        return {"ignored": True}

    def dump(self):
        return {"holder": self.order_leader, "standing": self.fencing_token, "roles": self.roles}

    def restore(self, state):
        self.order_leader, self.fencing_token, self.roles = state["holder"], state["standing"], dict(state["roles"])
        self.leader_entry_applied()  # a snapshot may stand for such an entry


def bounds(pool, count):
    """How many prefill replicas a pool of this size may have: least and most.

    >>> bounds({"least_prefill": 1, "least_decode": 2}, 5)
    (1, 3)
    >>> bounds({"least_prefill": 1, "least_decode": 1}, 1)
    (0, 1)

    Where a replica is away for seconds while it changes, neither side is ever let down to
    one that a crowd would bury before the split can turn round.

    >>> [bounds({"least_prefill": 1, "least_decode": 1, "engine": {}}, n) for n in (2, 4, 5, 9, 70)]
    [(1, 1), (1, 2), (1, 3), (2, 5), (17, 42)]

    Such a replica can read a prompt by itself and write, but not the other way round: where they are
    too few for both sides, they all write.

    >>> [bounds({"least_prefill": 1, "least_decode": least, "engine": {}}, n) for least, n in ((1, 1), (2, 2), (1, 0))]
    [(0, 0), (0, 0), (0, 0)]
    """
    low = min(pool["least_prefill"], count)
    high = max(0, count - pool["least_decode"])
    if "engine" in pool:
        low = max(low, int(count * constants.MIN_PREFILL_REPLICA_RATIO))
        high = min(high, count - math.ceil(count * constants.MIN_DECODE_REPLICA_RATIO))
        low = min(low, high)
    return (low, high) if low <= high else (min(low, high), max(low, high))


class Split:
    """Decides roles: fills new replicas in, and shifts one at a time with hysteresis."""

    def __init__(self, now):
        self.now = now
        self.shifted_at = -1e9
        self.direction, self.checks_in_direction = 0, 0
        self.bound_broken_checks = 0  # beats in a row that saw a bound broken

    def plan(self, pool, loads, roles, others=None, rank=0):
        """loads: name -> (running, waiting, slots). Returns name -> role, all of them.

        others: name -> (role, loads) of the pool's replicas that other parts keep, as they
        report. The bounds hold for the pool as a whole. rank: 0 for the part with the most of
        its replicas, which alone shifts; the others mend a bound only if it stays broken.
        """
        names, others = sorted(loads), others or {}
        roles = {n: roles[n] for n in names if n in roles}
        low, high = bounds(pool, len(names) + len(others))
        target = min(high, max(low, round(pool["prefill_share"] * (len(names) + len(others)))))
        count = sum(r == "prefill" for r in [*roles.values(), *(role for role, row in others.values())])
        for n in names:
            if n not in roles:
                roles[n] = "prefill" if count < target else "decode"
                count += roles[n] == "prefill"
        self.bound_broken_checks = self.bound_broken_checks + 1 if count < low or count > high else 0
        if self.bound_broken_checks:
            if self.bound_broken_checks > rank * constants.BOUND_REPAIR_DELAY_CHECKS:
                self.move_one(roles, loads, "prefill" if count < low else "decode")
            return roles
        if rank:
            return roles
        other_roles = {n: role for n, (role, row) in others.items() if role != "none"}
        direction = (
            self.overload_direction({**roles, **other_roles}, {**loads, **{n: others[n][1] for n in other_roles}})
            if pool["shift"]
            else 0
        )
        slow_change = "engine" in pool  # a replica is away for seconds while it changes its part
        if slow_change and not self.can_give_up(
            {**roles, **other_roles}, {**loads, **{n: others[n][1] for n in other_roles}}, direction
        ):
            direction = 0
        self.checks_in_direction = (
            self.checks_in_direction + 1 if direction * self.direction > 0 else int(direction != 0)
        )
        self.direction = direction
        checks_needed, min_interval_s = (
            (constants.MIN_URGENT_SHIFT_CHECKS, constants.MIN_URGENT_SHIFT_INTERVAL_S)
            if abs(direction) > 1 and not slow_change
            else (
                constants.MIN_SHIFT_CHECKS,
                constants.MIN_ROLE_CHANGE_INTERVAL_S if slow_change else constants.MIN_SHIFT_INTERVAL_S,
            )
        )
        ready = self.checks_in_direction >= checks_needed and self.now() - self.shifted_at > min_interval_s
        allowed = high - count if direction > 0 else count - low
        if ready and direction and allowed > 0:
            self.shifted_at, self.checks_in_direction = self.now(), 0
            pool_state = {**roles, **other_roles}, {**loads, **{n: others[n][1] for n in other_roles}}
            for _ in range(self.shift_count(*pool_state, direction, allowed) if slow_change else 1):
                self.move_one(roles, loads, "prefill" if direction > 0 else "decode")
        return roles

    def shift_count(self, roles: dict[str, str], loads: dict[str, Load], direction: int, allowed: int) -> int:
        """Return how many replicas to move at once: a share of the pool that its bounds and the giving side allow."""
        most = min(allowed, max(1, int(constants.MAX_ROLE_CHANGE_RATIO * len(roles))))
        return max((n for n in range(2, most + 1) if self.can_give_up(roles, loads, direction, n)), default=1)

    def move_one(self, roles, loads, role):
        candidates = [n for n in roles if roles[n] != role]
        if candidates:
            least_loaded = min(candidates, key=lambda n: (loads[n][0] + loads[n][1], n))
            roles[least_loaded] = role
        return roles

    def load_ratios(self, roles, loads):
        """role -> what its replicas bear, as a share of what they can bear."""
        side = {"prefill": [0, 0], "decode": [0, 0]}
        for name, role in roles.items():
            running, waiting, slots = loads[name]
            side[role][0] += running + 2 * waiting
            side[role][1] += slots
        return {r: busy / slots if slots else 0.0 for r, (busy, slots) in side.items()}

    def can_give_up(self, roles: dict[str, str], loads: dict[str, Load], direction: int, count_moved: int = 1) -> bool:
        """Whether the side that gives some up still has room with so many fewer."""
        giving_role = "decode" if direction > 0 else "prefill"
        count = sum(role == giving_role for role in roles.values())
        if count <= count_moved:
            return False
        return bool(
            self.load_ratios(roles, loads)[giving_role] * count / (count - count_moved)
            < constants.ROLE_CHANGE_MAX_LOAD_RATIO
        )

    def overload_direction(self, roles, loads):
        """Above 0: prefill is the tighter side, below: decode, 0: neither; 2 is overloaded."""
        ratios = self.load_ratios(roles, loads)
        for sign, tight, other in ((1, "prefill", "decode"), (-1, "decode", "prefill")):
            if ratios[tight] > max(constants.SHIFT_LOAD_RATIO, constants.SHIFT_IMBALANCE_RATIO * ratios[other]):
                return 2 * sign if ratios[tight] > constants.URGENT_SHIFT_LOAD_RATIO else sign
        return 0
