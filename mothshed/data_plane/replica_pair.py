"""The replicas of one attempt to deliver a request, and the error if their queues are full."""

import dataclasses

import mothshed.replicas.known_replicas as replicas


@dataclasses.dataclass
class ReplicaPair:
    """The replicas of one attempt; without a prefill replica the decode replica prefills the prompt itself."""

    sequence: int
    pool: str
    prefill_replica: replicas.Endpoint | None
    decode_replica: replicas.Endpoint
    uncached_tokens: float  # prompt tokens that are expected to be prefilled
    expected_prefill_s: float  # until the prompt is prefilled
    queued_tokens: float = 0  # tokens already queued at the replica when the pair was reserved
    rank: int = 0  # of the prefill in its queue; 0 goes first
    prefill_ended: bool = False  # the slot of the prefill replica is released


class QueueFull(Exception):
    """The queues of all replicas are too long for this prompt; the shortest one by `excess_s`."""

    def __init__(self, excess_s: float) -> None:
        super().__init__(f"queue is {excess_s:.2f} s too long")
        self.excess_s = excess_s
