"""The in-memory state of a replicated log: term and vote, a snapshot, and the entries after its base."""

import json
import typing

import mothshed.constants as constants
import mothshed.storage.disk as disk_module

Entry = dict[str, typing.Any]  # {"i": index, "t": term, "c": command}


def referenced_bytes(entry: Entry) -> int:
    """Bytes of the stored document that an entry refers to; they are kept as long as the entry."""
    document = entry["c"].get("document")
    return int(document["length"]) if document else 0


class LogState:
    """The state of one part's log. An entry is {"i": index, "t": term, "c": command}."""

    def __init__(self) -> None:
        self.term, self.vote = 0, ""
        self.base, self.base_term = 0, 0  # index and term before the first entry
        self.entries: list[Entry] = []  # entries from index base + 1
        self.sizes: list[int] = []  # encoded size of each entry in bytes
        self.snapshot: dict[str, typing.Any] | None = None  # {"index", "term", "membership", "state"}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever written to the log."""
        return not (self.term or self.vote or self.entries or self.snapshot)

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1]["t"] if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """The term of the entry at this index, or None if the log does not contain it."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1]["t"]
        return None

    def get(self, index: int) -> Entry:
        """The entry at this index, which must be above the base."""
        return self.entries[index - self.base - 1]

    def entry_bytes(self, index: int) -> int:
        """Encoded size of one entry in bytes, to limit what is sent or retained."""
        return self.sizes[index - self.base - 1]

    def bytes_from(self, first: int) -> int:
        """Encoded size of all entries from this index on, in bytes."""
        return sum(self.sizes[max(0, first - self.base - 1) :])

    def replay(self, lines: list[str]) -> None:
        """Applies encoded rows in the order written; raises DiskCorruptionError if an entry leaves a gap."""
        for line in lines:
            row = json.loads(line)
            if "vote" in row:
                self.term, self.vote = row["term"], row["vote"]
            elif self.base < row["i"] <= self.last + 1:
                self.store_entry(row, len(line))
            else:
                raise disk_module.DiskCorruptionError(
                    f"entry at index {row['i']} cannot follow the last index {self.last}"
                )

    def store_entry(self, entry: Entry, size: int) -> None:
        """Adds an entry, replacing those at its index and after."""
        at = entry["i"] - self.base - 1
        del self.entries[at:]
        del self.sizes[at:]
        self.entries.append(entry)
        self.sizes.append(size)

    def retained_base(self, index: int, min_base: int) -> int:
        """The lowest base from `min_base` on that retains at most MAX_RETAINED_LOG_BYTES of entries up to index.

        Documents that the entries refer to count.
        """
        size = 0
        for at in range(index, min_base, -1):
            size += self.entry_bytes(at) + referenced_bytes(self.get(at))
            if size > constants.MAX_RETAINED_LOG_BYTES:
                return at
        return min(min_base, index)
