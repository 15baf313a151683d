"""Counts the sends of one request, over all its attempts."""

import dataclasses


@dataclasses.dataclass
class SendCounts:
    """The sends of one request that were written to replicas. An attempt and its hedge count together."""

    prefills: int = 0
    decodes: int = 0
    rejected_prefills: int = 0  # first prefills that were rejected; they count towards the tries of the route
    counted: int = 0  # all sends but a first prefill that was accepted

    def is_extra(self, role: str) -> bool:
        """Whether the next send of this role is charged to the retry budget."""
        return self.prefills > 0 if role == "prefill" else self.counted > 0

    def add(self, role: str) -> None:
        """Count a send that is about to be written."""
        if role == "prefill":
            self.prefills += 1
        else:
            self.decodes += 1
        if role == "decode" or self.prefills > 1:
            self.counted += 1

    def tries(self) -> int:
        """The sends that count towards the tries of the route."""
        return self.decodes + self.rejected_prefills
