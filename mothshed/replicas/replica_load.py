"""Load reports: what a router reports of one replica, and the sums that routers get back.

On the wire a row is a list of numbers, to keep reports short; only this module knows their order. New numbers are
added at the end, and the missing numbers of an earlier release's row count as 0, because routers and keepers of two
releases report to each other during a roll-out.

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
    """Return zero prompt tokens for each rank."""
    return [0] * constants.PREFILL_RANK_COUNT


@dataclasses.dataclass
class ReplicaLoad:
    """Sums over one or more routers; older counts of answered, failed and events weigh less."""

    requests: float = 0  # requests running there
    out_s: float = 0.0  # seconds for which it is excluded
    answered: float = 0.0  # requests that it answered recently
    failed: float = 0.0  # requests that it recently reported as failed
    reading: list[float] = dataclasses.field(default_factory=no_prefill_tokens)  # prompt tokens in prefill, by rank
    events: float = 0  # recent events of its streams that followed another event
    events_s: float = 0.0  # total seconds between those and the events before them

    def to_wire(self) -> Wire:
        """Return the row for the wire, without the event numbers if there were no events."""
        recent = [round(number, 2) for number in (self.answered, self.failed, self.events, self.events_s)]
        return [self.requests, round(self.out_s, 2), *self.reading, *(recent if any(recent[2:]) else recent[:2])]

    @classmethod
    def from_wire(cls, row: Wire) -> "ReplicaLoad":
        """Parse a row from the wire; raise ValueError if it is shorter than any release sends."""
        requests, out_s, *rest = row
        reading, recent = rest[: constants.PREFILL_RANK_COUNT], rest[constants.PREFILL_RANK_COUNT :]
        if len(reading) < constants.PREFILL_RANK_COUNT:
            raise ValueError(f"load row has only {len(row)} numbers")
        answered, failed, events, events_s = (*recent, 0.0, 0.0, 0.0, 0.0)[:4]
        return cls(requests, out_s, answered, failed, reading, events, events_s)

    def add(self, other: "ReplicaLoad", age: float = 0.0) -> None:
        """Add another router's row. age: seconds since it was sent."""
        self.requests += other.requests
        self.out_s = max(self.out_s, other.out_s - age)
        self.answered += other.answered
        self.failed += other.failed
        self.events += other.events
        self.events_s += other.events_s
        self.reading = [own + added for own, added in zip(self.reading, other.reading, strict=True)]

    def to_router_wire(self) -> Wire:
        """Return the row for routers, without the event numbers, which only the leader of the part uses."""
        return [self.requests, round(self.out_s, 2), *self.reading, round(self.answered, 2), round(self.failed, 2)]

    def has_values(self) -> bool:
        """Return whether any number differs from 0."""
        return any(self.to_wire())


Loads = dict[str, ReplicaLoad]  # by replica name


def to_wire(loads: Loads) -> dict[str, Wire]:
    """Return the rows by replica for the wire."""
    return {name: load.to_wire() for name, load in loads.items()}


def from_wire(rows: collections.abc.Mapping[str, Wire]) -> Loads:
    """Parse the rows by replica from the wire; raise ValueError if one is too short."""
    return {name: ReplicaLoad.from_wire(row) for name, row in rows.items()}
