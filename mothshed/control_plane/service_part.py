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
        self.holder, self.standing = "", 0
        self.roles = {}  # replica name -> role
        self.leader_began = lambda: None  # told when the entry of a new leader is applied, or may have been

    def apply(self, index, command):
        if command["op"] == "begin":
            self.leader_began()
        if command["op"] == "take":
            self.holder, self.standing = command["who"], self.standing + 1
            return {"standing": self.standing}
        if command["op"] == "roles" and command["standing"] == self.standing:
            self.roles.update(command["roles"])
            for name in command["gone"]:
                self.roles.pop(name, None)
            return {"roles": len(self.roles)}
        return {"ignored": True}

    def dump(self):
        return {"holder": self.holder, "standing": self.standing, "roles": self.roles}

    def restore(self, state):
        self.holder, self.standing, self.roles = state["holder"], state["standing"], dict(state["roles"])
        self.leader_began()  # a snapshot may stand for such an entry


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
        self.lean, self.agreed = 0, 0
        self.broken = 0  # beats in a row that saw a bound broken

    def plan(self, pool, usage, roles, others=None, rank=0):
        """usage: name -> (running, waiting, slots). Returns name -> role, all of them.

        others: name -> (role, usage) of the pool's replicas that other parts keep, as they
        report. The bounds hold for the pool as a whole. rank: 0 for the part with the most of
        its replicas, which alone shifts; the others mend a bound only if it stays broken.
        """
        names, others = sorted(usage), others or {}
        roles = {n: roles[n] for n in names if n in roles}
        low, high = bounds(pool, len(names) + len(others))
        want = min(high, max(low, round(pool["prefill_share"] * (len(names) + len(others)))))
        count = sum(r == "prefill" for r in [*roles.values(), *(role for role, row in others.values())])
        for n in names:
            if n not in roles:
                roles[n] = "prefill" if count < want else "decode"
                count += roles[n] == "prefill"
        self.broken = self.broken + 1 if count < low or count > high else 0
        if self.broken:
            if self.broken > rank * constants.BOUND_REPAIR_DELAY_CHECKS:
                self.move(roles, usage, "prefill" if count < low else "decode")
            return roles
        if rank:
            return roles
        far = {n: role for n, (role, row) in others.items() if role != "none"}
        lean = self.pressure_lean({**roles, **far}, {**usage, **{n: others[n][1] for n in far}}) if pool["shift"] else 0
        costly = "engine" in pool  # a replica is away for seconds while it changes its part
        if costly and not self.bearable({**roles, **far}, {**usage, **{n: others[n][1] for n in far}}, lean):
            lean = 0
        self.agreed = self.agreed + 1 if lean * self.lean > 0 else int(lean != 0)
        self.lean = lean
        agree, hold = (
            (constants.MIN_URGENT_SHIFT_CHECKS, constants.MIN_URGENT_SHIFT_INTERVAL_S)
            if abs(lean) > 1 and not costly
            else (
                constants.MIN_SHIFT_CHECKS,
                constants.MIN_ROLE_CHANGE_INTERVAL_S if costly else constants.MIN_SHIFT_INTERVAL_S,
            )
        )
        ready = self.agreed >= agree and self.now() - self.shifted_at > hold
        room = high - count if lean > 0 else count - low
        if ready and lean and room > 0:
            self.shifted_at, self.agreed = self.now(), 0
            everywhere = {**roles, **far}, {**usage, **{n: others[n][1] for n in far}}
            for _ in range(self.shift_count(*everywhere, lean, room) if costly else 1):
                self.move(roles, usage, "prefill" if lean > 0 else "decode")
        return roles

    def shift_count(self, roles: dict[str, str], usage: dict[str, Load], lean: int, room: int) -> int:
        """How many replicas to move at once: a share of the pool, as far as its bounds and the giving side bear."""
        most = min(room, max(1, int(constants.MAX_ROLE_CHANGE_RATIO * len(roles))))
        return max((n for n in range(2, most + 1) if self.bearable(roles, usage, lean, n)), default=1)

    def move(self, roles, usage, role):
        givers = [n for n in roles if roles[n] != role]
        if givers:
            pick = min(givers, key=lambda n: (usage[n][0] + usage[n][1], n))
            roles[pick] = role
        return roles

    def pressures(self, roles, usage):
        """role -> what its replicas bear, as a share of what they can bear."""
        side = {"prefill": [0, 0], "decode": [0, 0]}
        for n, role in roles.items():
            run, wait, slots = usage[n]
            side[role][0] += run + 2 * wait
            side[role][1] += slots
        return {r: busy / slots if slots else 0.0 for r, (busy, slots) in side.items()}

    def bearable(self, roles: dict[str, str], usage: dict[str, Load], lean: int, fewer: int = 1) -> bool:
        """Whether the side that gives some up still has room with so many fewer."""
        giver = "decode" if lean > 0 else "prefill"
        count = sum(role == giver for role in roles.values())
        if count <= fewer:
            return False
        return bool(
            self.pressures(roles, usage)[giver] * count / (count - fewer) < constants.ROLE_CHANGE_MAX_LOAD_RATIO
        )

    def pressure_lean(self, roles, usage):
        """Above 0: prefill is the tighter side, below: decode, 0: neither; 2 is overloaded."""
        press = self.pressures(roles, usage)
        for sign, tight, other in ((1, "prefill", "decode"), (-1, "decode", "prefill")):
            if press[tight] > max(constants.SHIFT_LOAD_RATIO, constants.SHIFT_IMBALANCE_RATIO * press[other]):
                return 2 * sign if press[tight] > constants.URGENT_SHIFT_LOAD_RATIO else sign
        return 0
