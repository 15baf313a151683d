"""One part's replicated log on disk: term and vote, a snapshot, and the entries after it.

Every write is one frame that is synced before it counts, so a loss of power leaves
the state before the write or after it. At start the newest generation is read and
all older files are removed. A last frame that is not whole is a write that was never
acknowledged, and is cut off; anything else that is missing or damaged had been
synced, so it is a DiskDamaged, and the member must return with an empty folder.
After a failed write the log refuses all others until it is opened again.
"""

import contextlib
import json

import mothshed.common.constants as constants
import mothshed.common.disk as disk_module
import mothshed.common.log_format as log_format


class PartLog:
    """The log of one part. An entry is {"i": index, "t": term, "c": command}."""

    def __init__(self, disk, part):
        self.disk = disk
        self.stem = f"part-{part}"
        self.term, self.vote = 0, ""
        self.base, self.base_term = 0, 0  # index and term that the first entry follows
        self.entries = []  # entries base+1 ...
        self.sizes = []  # bytes of each entry as encoded
        self.snap = None  # {"index","term","members","state"}
        self.generation, self.segment = 0, 0  # segment 0: none begun in this generation
        self.segment_size = 0
        self.bytes_since_snapshot = 0  # bytes of all segments of this generation
        self.failed = False
        self.load()

    # --- reading -------------------------------------------------------------
    def load(self):
        """Reads the newest generation and makes sure that a loss of power keeps it."""
        self.disk.remove(self.disk.unfinished(f"{self.stem}-"))
        names = self.disk.names()
        self.generation = max(log_format.snapshots(self.stem, names), default=0)
        if self.generation:
            self.read_snapshot()
        segments = log_format.segments(self.stem, names)
        if segments and segments[-1][0] > self.generation:
            raise disk_module.DiskDamaged(f"{self.stem}: no snapshot of generation {segments[-1][0]}")
        numbers = [number for generation, number in segments if generation == self.generation]
        if numbers != list(range(1, len(numbers) + 1)):
            raise disk_module.DiskDamaged(f"{self.stem}: of the segments, only {numbers} are there")
        for number in numbers:
            self.read_segment(number, number == numbers[-1])
        if self.generation and not numbers:
            self.disk.sync_names()  # a process killed in put_snap may not have come to it
        self.remove_others(names)

    def read_snapshot(self):
        name = self.snapshot_name(self.generation)
        data = self.disk.read(name)
        scan = log_format.scan(data)
        if len(scan.bodies) != 1 or scan.size != len(data):
            raise disk_module.DiskDamaged(f"{name}: not one whole frame")
        lines = scan.bodies[0].split(b"\n")
        header = log_format.decode_header(log_format.SnapshotHeader, lines[0])
        self.term, self.vote = header.term, header.vote
        self.base, self.base_term = header.base, header.base_term
        self.snap = json.loads(lines[1])
        self.replay(lines[2:])

    def read_segment(self, number, is_last):
        name = self.segment_name(number)
        data = self.disk.read(name)
        scan = log_format.scan(data)
        torn = scan.size < len(data)
        if not scan.bodies or scan.whole_behind or (torn and not is_last):
            raise disk_module.DiskDamaged(f"{name}: damaged at byte {scan.size}")
        lines = scan.bodies[0].split(b"\n")
        if log_format.decode_header(log_format.SegmentHeader, lines[0]) != self.segment_header(number):
            raise disk_module.DiskDamaged(f"{name}: what it continues is missing")
        self.replay(lines[1:])
        for body in scan.bodies[1:]:
            self.replay(body.split(b"\n"))
        self.segment, self.segment_size = number, scan.size
        self.bytes_since_snapshot += scan.size
        if is_last:
            # A new file: whether the last frame was ever synced is not known, and after
            # a failed fsync the old file's content may be in memory only.
            self.disk.put(name, data[: scan.size])

    def replay(self, lines):
        for line in lines:
            row = json.loads(line)
            if "vote" in row:
                self.term, self.vote = row["term"], row["vote"]
            elif self.base < row["i"] <= self.last + 1:
                self.take_entry(row, len(line))
            else:
                raise disk_module.DiskDamaged(f"{self.stem}: entry {row['i']} cannot follow {self.last}")

    def take_entry(self, entry, size):
        """Adds an entry, dropping those at its index and after it."""
        at = entry["i"] - self.base - 1
        del self.entries[at:]
        del self.sizes[at:]
        self.entries.append(entry)
        self.sizes.append(size)

    def remove_others(self, names):
        """Removes this part's files of earlier generations; a loss of power may bring any of them back."""
        live = {self.snapshot_name(self.generation)}
        live.update(self.segment_name(number) for number in range(1, self.segment + 1))
        self.disk.remove([name for name in names if name.startswith(f"{self.stem}-") and name not in live])

    # --- what the log holds --------------------------------------------------
    @property
    def virgin(self):
        return not (self.term or self.vote or self.entries or self.snap)

    @property
    def last(self):
        return self.base + len(self.entries)

    @property
    def last_term(self):
        return self.entries[-1]["t"] if self.entries else self.base_term

    def term_at(self, index):
        """The term of the entry at this index, or None if the log does not know it."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1]["t"]
        return None

    def get(self, index):
        return self.entries[index - self.base - 1]

    def entry_bytes(self, index):
        """Bytes of one entry as encoded, for bounding what is sent or kept."""
        return self.sizes[index - self.base - 1]

    def size_of(self, first):
        """Bytes of all entries from this index on, as encoded."""
        return sum(self.sizes[max(0, first - self.base - 1) :])

    # --- writing -------------------------------------------------------------
    def put_term(self, term, vote):
        """Records the current term and the vote given in it."""
        if (term, vote) != (self.term, self.vote):
            self.write([log_format.encode({"term": term, "vote": vote})])
            self.term, self.vote = term, vote

    def put(self, entries):
        """Appends successive entries as one atomic write, dropping what stood at their place."""
        entries = [entry for entry in entries if entry["i"] > self.base]
        if not entries:
            return
        first = entries[0]["i"]
        if first > self.last + 1 or [entry["i"] for entry in entries] != list(range(first, first + len(entries))):
            raise ValueError(f"{self.stem}: entries from {first} on cannot follow {self.last}")
        rows = [log_format.encode(entry) for entry in entries]
        self.write(rows)
        for entry, row in zip(entries, rows):
            self.take_entry(entry, len(row))

    def write(self, rows):
        """Writes rows as one frame and syncs it."""
        with self.refusing_after_fault():
            if not self.segment or self.segment_size > constants.SEGMENT_BYTES:
                self.begin_segment(rows)
                return
            data = log_format.frame(rows)
            name = self.segment_name(self.segment)
            self.disk.append(name, data)
            self.disk.sync(name)
            self.count_written(len(data))

    def begin_segment(self, rows):
        header = log_format.encode_header(self.segment_header(self.segment + 1))
        data = log_format.frame([header, *rows])
        self.disk.close(self.segment_name(self.segment))
        self.disk.put(self.segment_name(self.segment + 1), data)
        self.segment, self.segment_size = self.segment + 1, 0
        self.count_written(len(data))

    def count_written(self, size):
        self.segment_size += size
        self.bytes_since_snapshot += size

    def put_snap(self, snap, keep):
        """Begins a new generation with this snapshot, keeping entries above `keep` for members that lag.

        Entries that the snapshot covers are kept only up to KEEP_BEHIND_BYTES. If the
        log does not hold the snapshot's last entry, none of its entries is kept.
        """
        index = snap["index"]
        if index < self.base or (self.snap and index < self.snap["index"]):
            raise ValueError(f"{self.stem}: snapshot {index} is older than what the log stands on")
        if self.term_at(index) == snap["term"]:
            base = self.bounded_base(index, max(keep, self.base))
            base_term = self.term_at(base)
            kept = self.entries[base - self.base :]
            sizes = self.sizes[base - self.base :]
        else:
            base, base_term, kept, sizes = index, snap["term"], [], []
        header = log_format.SnapshotHeader(self.generation + 1, self.term, self.vote, base, base_term)
        rows = [log_format.encode_header(header), log_format.encode(snap)]
        rows += [log_format.encode(entry) for entry in kept]
        with self.refusing_after_fault():
            self.disk.put(self.snapshot_name(header.generation), log_format.frame(rows))
            self.generation, self.segment, self.segment_size = header.generation, 0, 0
            self.bytes_since_snapshot = 0
            self.snap, self.base, self.base_term = snap, base, base_term
            self.entries, self.sizes = kept, sizes
            self.remove_others(self.disk.names())

    def bounded_base(self, index, keep):
        """The lowest base, at least `keep`, above which few enough bytes of entries up to index stand."""
        size = 0
        for at in range(index, keep, -1):
            size += self.entry_bytes(at)
            if size > constants.KEEP_BEHIND_BYTES:
                return at
        return min(keep, index)

    @contextlib.contextmanager
    def refusing_after_fault(self):
        """After a fault nobody knows what the files hold, so nothing may be written behind it."""
        if self.failed:
            raise disk_module.DiskFault(f"{self.stem}: an earlier write failed; the log must be opened again")
        try:
            yield
        except disk_module.DiskFault:
            self.failed = True
            raise

    # --- names ---------------------------------------------------------------
    def segment_header(self, number):
        return log_format.SegmentHeader(self.generation, number, self.term, self.vote, self.last, self.last_term)

    def snapshot_name(self, generation):
        return log_format.snapshot_name(self.stem, generation)

    def segment_name(self, number):
        return log_format.segment_name(self.stem, self.generation, number)
