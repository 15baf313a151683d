"""What routers report of one replica's load: each of its own, and the sums of all others back to each.

On the wire a row is a list of numbers, so that a report stays short; nothing else knows their order. New ones are
added at the end, and a row of an earlier release, which lacks them, is read as far as it goes: during a roll-out
routers and keepers of two releases report to each other.

>>> load = ReplicaLoad(requests=2, out_s=0.5, answered=9.0, failed=1.0, reading=[0.0, 1.0, 0.5])
>>> ReplicaLoad.from_wire(load.to_wire()) == load
True
>>> ReplicaLoad.from_wire([2, 0.5, 0, 1, 0]).failed
0.0
"""

import collections.abc
import dataclasses

import mothshed.constants as constants

Wire = list[float]


def no_prefill_tokens() -> list[float]:
    """Nothing being read, by rank."""
    return [0] * constants.PREFILL_RANK_COUNT


@dataclasses.dataclass
class ReplicaLoad:
    """Sums over one or several routers; a reading that lies back counts less (answered, failed, events)."""

    requests: float = 0  # requests running there
    out_s: float = 0.0  # s for which it is not to be placed upon
    answered: float = 0.0  # requests it lately answered
    failed: float = 0.0  # requests it lately failed by its own word
    reading: list[float] = dataclasses.field(default_factory=no_prefill_tokens)  # prompt tokens being read, by rank
    events: float = 0  # events of its streams that followed another one recently
    events_s: float = 0.0  # s that they came after those

    def to_wire(self) -> Wire:
        """The row as it is sent; without the events where there are none."""
        recent = [round(number, 2) for number in (self.answered, self.failed, self.events, self.events_s)]
        return [self.requests, round(self.out_s, 2), *self.reading, *(recent if any(recent[2:]) else recent[:2])]

    @classmethod
    def from_wire(cls, row: Wire) -> "ReplicaLoad":
        """The row as it was sent; raises ValueError if it is shorter than any release sends."""
        requests, out_s, *rest = row
        reading, recent = rest[: constants.PREFILL_RANK_COUNT], rest[constants.PREFILL_RANK_COUNT :]
        if len(reading) < constants.PREFILL_RANK_COUNT:
            raise ValueError(f"a load of {len(row)} numbers")
        answered, failed, events, events_s = (*recent, 0.0, 0.0, 0.0, 0.0)[:4]
        return cls(requests, out_s, answered, failed, reading, events, events_s)

    def add(self, other: "ReplicaLoad", age: float = 0.0) -> None:
        """Count another router's row in; age: s since it was sent."""
        self.requests += other.requests
        self.out_s = max(self.out_s, other.out_s - age)
        self.answered += other.answered
        self.failed += other.failed
        self.events += other.events
        self.events_s += other.events_s
        self.reading = [own + added for own, added in zip(self.reading, other.reading, strict=True)]

    def to_router_wire(self) -> Wire:
        """The row as routers are told it: without what only the leader of the replica's part goes by."""
        return [self.requests, round(self.out_s, 2), *self.reading, round(self.answered, 2), round(self.failed, 2)]

    def has_values(self) -> bool:
        """Whether there is anything to tell."""
        return any(self.to_wire())


Loads = dict[str, ReplicaLoad]  # by the replica's name


def to_wire(loads: Loads) -> dict[str, Wire]:
    """Rows by replica as they are sent."""
    return {name: load.to_wire() for name, load in loads.items()}


def from_wire(rows: collections.abc.Mapping[str, Wire]) -> Loads:
    """Rows by replica as they were sent; raises ValueError if one is too short."""
    return {name: ReplicaLoad.from_wire(row) for name, row in rows.items()}
