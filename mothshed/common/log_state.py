"""What a replicated log holds in memory: term and vote, a snapshot, and the entries after its base."""

import json

import mothshed.common.constants as constants
import mothshed.common.disk as disk_module


class LogState:
    """The content of one part's log. An entry is {"i": index, "t": term, "c": command}."""

    def __init__(self):
        self.term, self.vote = 0, ""
        self.base, self.base_term = 0, 0  # index and term that the first entry follows
        self.entries = []  # entries base+1 ...
        self.sizes = []  # bytes of each entry as encoded
        self.snap = None  # {"index","term","members","state"}

    @property
    def virgin(self):
        """Whether nothing was ever written."""
        return not (self.term or self.vote or self.entries or self.snap)

    @property
    def last(self):
        """Index of the last entry."""
        return self.base + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1]["t"] if self.entries else self.base_term

    def term_at(self, index):
        """The term of the entry at this index, or None if the log does not know it."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1]["t"]
        return None

    def get(self, index):
        """The entry at this index, which must be above the base."""
        return self.entries[index - self.base - 1]

    def entry_bytes(self, index):
        """Bytes of one entry as encoded, for bounding what is sent or kept."""
        return self.sizes[index - self.base - 1]

    def size_of(self, first):
        """Bytes of all entries from this index on, as encoded."""
        return sum(self.sizes[max(0, first - self.base - 1) :])

    def replay(self, lines):
        """Takes encoded rows as they were once written; DiskDamaged if an entry cannot follow."""
        for line in lines:
            row = json.loads(line)
            if "vote" in row:
                self.term, self.vote = row["term"], row["vote"]
            elif self.base < row["i"] <= self.last + 1:
                self.take_entry(row, len(line))
            else:
                raise disk_module.DiskDamaged(f"entry {row['i']} cannot follow {self.last}")

    def take_entry(self, entry, size):
        """Adds an entry, dropping those at its index and after it."""
        at = entry["i"] - self.base - 1
        del self.entries[at:]
        del self.sizes[at:]
        self.entries.append(entry)
        self.sizes.append(size)

    def bounded_base(self, index, keep):
        """The lowest base, at least `keep`, above which few enough bytes of entries up to index stand."""
        size = 0
        for at in range(index, keep, -1):
            size += self.entry_bytes(at)
            if size > constants.KEEP_BEHIND_BYTES:
                return at
        return min(keep, index)
