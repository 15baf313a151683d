"""The durable record of accepted orders, kept separately from their documents.

An order is an operator's request to change the configuration, identified by its id. An operator
that lost the response repeats the order, possibly hours and hundreds of changes later.
The record maps the digest of the id to the sequence that the order was assigned,
oldest first, for the newest MAX_REMEMBERED_ORDERS orders. Each accepted order is based on the
sequence of the one before it, so an unknown order can only have been dropped from the record if its base
is below `floor`, the sequence of the newest order that was dropped.

>>> orders = AcceptedOrders(max_orders=2)
>>> for sequence in (5, 6, 9):
...     orders.add(f"order {sequence}", sequence)
>>> orders.sequence_of("order 9"), orders.sequence_of("order 5")
(9, None)
>>> orders.may_have_dropped(0), orders.may_have_dropped(5)
(True, False)
"""

import base64
import hashlib
import struct
import typing

import mothshed.constants as constants

PACKED_ORDER = struct.Struct(f"!{constants.ORDER_DIGEST_BYTES}sq")


def digest_of(order_id: str) -> bytes:
    """A digest of fixed length for an id of any length."""
    return hashlib.blake2b(order_id.encode("utf-8", "surrogatepass"), digest_size=constants.ORDER_DIGEST_BYTES).digest()


class AcceptedOrders:
    """Maps the ids of the newest orders to sequences; `floor` bounds what may have been dropped."""

    def __init__(self, max_orders: int = constants.MAX_REMEMBERED_ORDERS) -> None:
        self.max_orders = max_orders
        self.sequences: dict[bytes, int] = {}  # digest -> sequence, oldest first
        self.floor = 0

    def add(self, order_id: str, sequence: int) -> None:
        """Record the sequence of an order, and drop the oldest order if there are too many."""
        self.sequences[digest_of(order_id)] = sequence
        while len(self.sequences) > self.max_orders:
            oldest = next(iter(self.sequences))
            self.floor = self.sequences.pop(oldest)

    def sequence_of(self, order_id: str) -> int | None:
        """The sequence that an order was assigned, or None if it is not in the record."""
        return self.sequences.get(digest_of(order_id))

    def may_have_dropped(self, base: int) -> bool:
        """Whether an order with this base that is not in the record may have been accepted and dropped."""
        return base < self.floor

    def dump(self) -> dict[str, typing.Any]:
        """The record in the form in which snapshots store it."""
        packed = b"".join(PACKED_ORDER.pack(digest, sequence) for digest, sequence in self.sequences.items())
        return {"floor": self.floor, "orders": base64.b64encode(packed).decode()}

    def restore(self, state: dict[str, typing.Any]) -> None:
        """Replace the record by that of a snapshot."""
        self.floor = state["floor"]
        self.sequences = dict(PACKED_ORDER.iter_unpack(base64.b64decode(state["orders"])))
