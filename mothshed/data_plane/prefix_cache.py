"""Which parts of prompts replicas are believed to keep: those that this router sent there lately."""

import collections
import collections.abc
import hashlib

import mothshed.constants as constants

PromptPart = tuple[str, int]  # its id, and its tokens


def home(key: str, names: collections.abc.Iterable[str]) -> str:
    """The replica of these that a part belongs to, by a rendezvous hash: alike wherever it is worked out.

    >>> home("a", ["p1", "p2"]) == home("a", ["p2", "p1"])
    True
    """
    return max(names, key=lambda name: hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest())


class PrefixCacheIndex:
    """Which prompt parts each replica is believed to keep: those sent there lately."""

    def __init__(self) -> None:
        self.kept: collections.OrderedDict[tuple[str, str], bool] = collections.OrderedDict()  # (replica, part id)

    def add(self, name: str, parts: list[PromptPart]) -> None:
        """A prompt of these parts was sent to a replica."""
        for key, _tokens in parts:
            self.kept[(name, key)] = True
            self.kept.move_to_end((name, key))
        while len(self.kept) > constants.MAX_KNOWN_PROMPT_PARTS:
            self.kept.popitem(last=False)

    def held(self, name: str, parts: list[PromptPart]) -> int:
        """Tokens of the leading parts that a replica keeps."""
        total = 0
        for key, tokens in parts:
            if (name, key) not in self.kept:
                break
            total += tokens
        return total

    def forget(self, name: str) -> None:
        """A replica is believed to keep nothing any more."""
        for entry in [entry for entry in self.kept if entry[0] == name]:
            del self.kept[entry]
