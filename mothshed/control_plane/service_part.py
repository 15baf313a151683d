"""A service part: who may send orders to its replicas, and which role each replica has.

The leader of the part claims the right to order with one log entry, which raises the fencing token by one. Orders
carry the token, and a replica rejects an order with a lower one. A new leader sends no order until
FIRST_ORDER_DELAY_S after its claim was committed, and a former one sends none once it has no confirmed majority, so
orders of two leaders are at least three seconds apart.
"""

import math

import mothshed.constants as constants

Load = tuple[float, float, float]  # requests running, requests waiting, and how many the replica can serve


class ServiceMachine:
    """The replicated state: the leader that may order, its fencing token, and the role of each replica."""

    commands = frozenset({"take", "roles"})  # the commands that this release can apply

    def __init__(self):
        self.order_leader, self.fencing_token = "", 0
        self.roles = {}  # replica name -> role
        self.leader_entry_applied = lambda: None  # called when a new leader's first entry was or may have been applied

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
        self.leader_entry_applied()  # a snapshot may include such an entry


def bounds(pool, count):
    """Return the lowest and highest number of prefill replicas in a pool of this size.

    >>> bounds({"least_prefill": 1, "least_decode": 2}, 5)
    (1, 3)
    >>> bounds({"least_prefill": 1, "least_decode": 1}, 1)
    (0, 1)

    Where a replica is unavailable for seconds while it changes its role ("engine"), each role keeps a minimum share
    of the pool: a load peak would overwhelm a single replica before the split could be changed back.

    >>> [bounds({"least_prefill": 1, "least_decode": 1, "engine": {}}, n) for n in (2, 4, 5, 9, 70)]
    [(1, 1), (1, 2), (1, 3), (2, 5), (17, 42)]

    Such a decode replica can also prefill, but a prefill replica can't decode: where there are too few for both
    roles, all of them decode.

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
    """Assigns roles: places new replicas, and moves replicas between the roles with hysteresis."""

    def __init__(self, now):
        self.now = now
        self.shifted_at = -1e9
        self.direction, self.checks_in_direction = 0, 0
        self.bound_broken_checks = 0  # consecutive checks that found a bound violated

    def plan(self, pool, loads, roles, others=None, rank=0):
        """Return the role of each replica of this part by name.

        loads: name -> (running, waiting, slots). others: name -> (role, load) of the pool's replicas that belong to
        other parts, as they report. The bounds apply to the pool as a whole. rank: 0 for the part with most of the
        pool's replicas. Only that part moves replicas between the roles; the others correct a violated bound if it
        stays violated.
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
        slow_change = "engine" in pool  # a replica is unavailable for seconds while it changes its role
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
        max_count = min(allowed, max(1, int(constants.MAX_ROLE_CHANGE_RATIO * len(roles))))
        return max((n for n in range(2, max_count + 1) if self.can_give_up(roles, loads, direction, n)), default=1)

    def move_one(self, roles, loads, role):
        candidates = [n for n in roles if roles[n] != role]
        if candidates:
            least_loaded = min(candidates, key=lambda n: (loads[n][0] + loads[n][1], n))
            roles[least_loaded] = role
        return roles

    def load_ratios(self, roles, loads):
        """Return the load of each role as a share of what its replicas can serve; waiting requests count twice."""
        totals = {"prefill": [0, 0], "decode": [0, 0]}
        for name, role in roles.items():
            running, waiting, slots = loads[name]
            totals[role][0] += running + 2 * waiting
            totals[role][1] += slots
        return {r: busy / slots if slots else 0.0 for r, (busy, slots) in totals.items()}

    def can_give_up(self, roles: dict[str, str], loads: dict[str, Load], direction: int, count_moved: int = 1) -> bool:
        """Return whether the role that loses so many replicas still has spare capacity."""
        giving_role = "decode" if direction > 0 else "prefill"
        count = sum(role == giving_role for role in roles.values())
        if count <= count_moved:
            return False
        return bool(
            self.load_ratios(roles, loads)[giving_role] * count / (count - count_moved)
            < constants.ROLE_CHANGE_MAX_LOAD_RATIO
        )

    def overload_direction(self, roles, loads):
        """Return 1 if prefill is short of replicas, -1 if decode is, 0 if neither; 2 or -2 for an overload."""
        ratios = self.load_ratios(roles, loads)
        for sign, tight, other in ((1, "prefill", "decode"), (-1, "decode", "prefill")):
            if ratios[tight] > max(constants.SHIFT_LOAD_RATIO, constants.SHIFT_IMBALANCE_RATIO * ratios[other]):
                return 2 * sign if ratios[tight] > constants.URGENT_SHIFT_LOAD_RATIO else sign
        return 0
