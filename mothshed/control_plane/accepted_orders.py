"""The durable record of taken orders, kept apart from the documents they brought.

An operator whose answer was lost sends the same order again, perhaps hours and hundreds
of changes later. The record maps the digest of an order's id to the sequence it was
given, oldest first, for the newest MAX_REMEMBERED_ORDERS orders. Each taken order builds on the
sequence of the one before it, so an order can only be a forgotten one if its base is
below `floor`, the sequence of the newest order that was dropped.

>>> taken = AcceptedOrders(max_orders=2)
>>> for sequence in (5, 6, 9):
...     taken.add(f"order {sequence}", sequence)
>>> taken.sequence_of("order 9"), taken.sequence_of("order 5")
(9, None)
>>> taken.may_have_dropped(0), taken.may_have_dropped(5)
(True, False)
"""

import base64
import hashlib
import struct
import typing

import mothshed.constants as constants

PACKED_ORDER = struct.Struct(f"!{constants.ORDER_DIGEST_BYTES}sq")


def digest_of(order_id: str) -> bytes:
    """A digest of fixed length, whatever an operator's ids look like."""
    return hashlib.blake2b(order_id.encode("utf-8", "surrogatepass"), digest_size=constants.ORDER_DIGEST_BYTES).digest()


class AcceptedOrders:
    """Order id -> sequence for the newest orders, and a floor below which nothing is known."""

    def __init__(self, max_orders: int = constants.MAX_REMEMBERED_ORDERS) -> None:
        self.max_orders = max_orders
        self.sequences: dict[bytes, int] = {}  # digest -> sequence, oldest first
        self.floor = 0

    def add(self, order_id: str, sequence: int) -> None:
        """Note that an order was given this sequence; the oldest note goes once there are too many."""
        self.sequences[digest_of(order_id)] = sequence
        while len(self.sequences) > self.max_orders:
            oldest = next(iter(self.sequences))
            self.floor = self.sequences.pop(oldest)

    def sequence_of(self, order_id: str) -> int | None:
        """The sequence an order was given, or None if the record does not hold it."""
        return self.sequences.get(digest_of(order_id))

    def may_have_dropped(self, base: int) -> bool:
        """Whether an order on this base that the record does not hold may have been taken once."""
        return base < self.floor

    def dump(self) -> dict[str, typing.Any]:
        """The record as a snapshot keeps it."""
        packed = b"".join(PACKED_ORDER.pack(digest, sequence) for digest, sequence in self.sequences.items())
        return {"floor": self.floor, "orders": base64.b64encode(packed).decode()}

    def restore(self, state: dict[str, typing.Any]) -> None:
        """Take a snapshot's record."""
        self.floor = state["floor"]
        self.sequences = dict(PACKED_ORDER.iter_unpack(base64.b64decode(state["orders"])))
