"""Estimates which prompt parts the prefix cache of each replica holds, from what this router sent there."""

import collections
import collections.abc
import hashlib
import threading

import mothshed.constants as constants

PromptPart = tuple[str, int]  # id, number of tokens


def preferred_replica(part_id: str, names: collections.abc.Iterable[str]) -> str:
    """The replica that a part belongs to by a rendezvous hash; every router gets the same result.

    >>> preferred_replica("a", ["p1", "p2"]) == preferred_replica("a", ["p2", "p1"])
    True
    """
    return max(names, key=lambda name: hashlib.blake2b(f"{part_id} {name}".encode(), digest_size=8).digest())


class PrefixCacheIndex:
    """The prompt parts that each replica is assumed to hold: those sent there last, up to a limit over all replicas.

    The threads of all requests use one index.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.entries: collections.OrderedDict[tuple[str, str], bool] = collections.OrderedDict()  # (replica, part id)

    def add(self, name: str, parts: list[PromptPart]) -> None:
        """Record that a prompt of these parts was sent to a replica."""
        with self.lock:
            for part_id, _tokens in parts:
                self.entries[(name, part_id)] = True
                self.entries.move_to_end((name, part_id))
            while len(self.entries) > constants.MAX_KNOWN_PROMPT_PARTS:
                self.entries.popitem(last=False)

    def cached_tokens(self, name: str, parts: list[PromptPart]) -> int:
        """Tokens of the leading parts that a replica holds."""
        total = 0
        for part_id, tokens in parts:
            if (name, part_id) not in self.entries:
                break
            total += tokens
        return total

    def forget(self, name: str) -> None:
        """Assume that a replica holds nothing any more."""
        with self.lock:
            for entry in [entry for entry in self.entries if entry[0] == name]:
                del self.entries[entry]
