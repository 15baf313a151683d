"""The replicated log of one part on disk: term and vote, a snapshot, and the entries after it.

Every write is one frame that is synced before it is acknowledged, so a power loss leaves
the state before the write or after it. Opening the log reads the newest generation and
removes all older files. An incomplete last frame is a write that was never
acknowledged, and is truncated; anything else that is missing or damaged had been synced,
so it raises DiskCorruptionError, and the member must rejoin with an empty data folder.
After a failed write the log refuses all further writes until it is opened again.
"""

import contextlib
import json

import mothshed.constants as constants
import mothshed.storage.disk as disk_module
import mothshed.storage.log_format as log_format
import mothshed.storage.log_state as log_state


class PartLog(log_state.LogState):
    """The log of one part; every change is durable once the call has returned."""

    def __init__(self, disk, part):
        super().__init__()
        self.disk = disk
        self.stem = f"part-{part}"
        self.generation, self.segment = 0, 0  # segment 0: this generation has no segment yet
        self.segment_size = 0
        self.bytes_since_snapshot = 0  # of all segments of this generation, and of what their entries refer to
        self.failed = False
        self.load()

    # --- reading -------------------------------------------------------------
    def load(self):
        """Reads the newest generation, and makes sure that it is durable."""
        self.disk.remove(self.disk.temporary_names(f"{self.stem}-"))
        names = self.disk.names()
        self.generation = max(log_format.snapshot_generations(self.stem, names), default=0)
        if self.generation:
            self.read_snapshot()
        segments = log_format.segment_numbers(self.stem, names)
        if segments and segments[-1][0] > self.generation:
            raise disk_module.DiskCorruptionError(
                f"{self.stem}: the snapshot of generation {segments[-1][0]} is missing"
            )
        numbers = [number for generation, number in segments if generation == self.generation]
        if numbers != list(range(1, len(numbers) + 1)):
            raise disk_module.DiskCorruptionError(f"{self.stem}: segments are missing, found only {numbers}")
        for number in numbers:
            self.read_segment(number, number == numbers[-1])
        self.bytes_since_snapshot += sum(map(log_state.referenced_bytes, self.entries))
        if self.generation and not numbers:
            self.disk.sync_directory()  # a process killed in put_snapshot may not have synced the directory
        self.remove_stale_files(names)

    def read_snapshot(self):
        """Reads the snapshot file of the newest generation, which must be one complete frame."""
        name = self.snapshot_name(self.generation)
        data = self.disk.read(name)
        scan = log_format.scan(data)
        if len(scan.bodies) != 1 or scan.size != len(data):
            raise disk_module.DiskCorruptionError(f"{name}: not exactly one complete frame")
        lines = scan.bodies[0].split(b"\n")
        header = log_format.decode_header(log_format.SnapshotHeader, lines[0])
        self.term, self.vote = header.term, header.vote
        self.base, self.base_term = header.base, header.base_term
        self.snapshot = json.loads(lines[1])
        self.replay(lines[2:])

    def read_segment(self, number, is_last):
        """Reads one segment; an incomplete frame is tolerated only at the end of the last segment."""
        name = self.segment_name(number)
        data = self.disk.read(name)
        scan = log_format.scan(data)
        torn = scan.size < len(data)
        if not scan.bodies or scan.has_frame_after_damage or (torn and not is_last):
            raise disk_module.DiskCorruptionError(f"{name}: damaged at byte {scan.size}")
        lines = scan.bodies[0].split(b"\n")
        if log_format.decode_header(log_format.SegmentHeader, lines[0]) != self.segment_header(number):
            raise disk_module.DiskCorruptionError(f"{name}: the header does not match the state of the log before it")
        self.replay(lines[1:])
        for body in scan.bodies[1:]:
            self.replay(body.split(b"\n"))
        self.segment, self.segment_size = number, scan.size
        self.bytes_since_snapshot += scan.size
        if is_last:
            # Rewritten as a new file: the last frame may never have been synced, and after
            # a failed fsync the content of the old file may exist only in the page cache.
            self.disk.put(name, data[: scan.size])

    def remove_stale_files(self, names):
        """Removes this part's files of earlier generations; a power loss may have brought any of them back."""
        live = {self.snapshot_name(self.generation)}
        live.update(self.segment_name(number) for number in range(1, self.segment + 1))
        self.disk.remove([name for name in names if name.startswith(f"{self.stem}-") and name not in live])

    # --- writing -------------------------------------------------------------
    def put_term(self, term, vote):
        """Records the current term and the vote given in it."""
        if (term, vote) != (self.term, self.vote):
            self.write([log_format.encode({"term": term, "vote": vote})])
            self.term, self.vote = term, vote

    def put(self, entries):
        """Appends consecutive entries in one atomic write, replacing entries from the first index on."""
        entries = [entry for entry in entries if entry["i"] > self.base]
        if not entries:
            return
        first = entries[0]["i"]
        if first > self.last + 1 or [entry["i"] for entry in entries] != list(range(first, first + len(entries))):
            raise ValueError(f"{self.stem}: entries from index {first} cannot follow the last index {self.last}")
        rows = [log_format.encode(entry) for entry in entries]
        self.write(rows)
        for entry, row in zip(entries, rows, strict=True):
            self.store_entry(entry, len(row))
            self.bytes_since_snapshot += log_state.referenced_bytes(entry)

    def write(self, rows):
        """Writes rows as one frame and syncs it."""
        with self.refuse_writes_after_error():
            if not self.segment or self.segment_size > constants.LOG_SEGMENT_BYTES:
                self.begin_segment(rows)
                return
            data = log_format.frame(rows)
            name = self.segment_name(self.segment)
            self.disk.append(name, data)
            self.disk.sync(name)
            self.count_written(len(data))

    def begin_segment(self, rows):
        """Creates the next segment with its header and first rows in one atomic write."""
        header = log_format.encode_header(self.segment_header(self.segment + 1))
        data = log_format.frame([header, *rows])
        self.disk.close(self.segment_name(self.segment))
        self.disk.put(self.segment_name(self.segment + 1), data)
        self.segment, self.segment_size = self.segment + 1, 0
        self.count_written(len(data))

    def count_written(self, size):
        """Adds the bytes that are now durable in the current segment."""
        self.segment_size += size
        self.bytes_since_snapshot += size

    def put_snapshot(self, snapshot, retain_above):
        """Begins a new generation with this snapshot, and retains entries above `retain_above` for lagging members.

        Of the entries that the snapshot covers, at most MAX_RETAINED_LOG_BYTES are retained. If the log
        does not contain the snapshot's last entry, no entry is retained.
        """
        index = snapshot["index"]
        if index < self.base or (self.snapshot and index < self.snapshot["index"]):
            raise ValueError(
                f"{self.stem}: snapshot at index {index} is older than the base of the log or its snapshot"
            )
        if self.term_at(index) == snapshot["term"]:
            base = self.retained_base(index, max(retain_above, self.base))
            base_term = self.term_at(base)
            retained = self.entries[base - self.base :]
            sizes = self.sizes[base - self.base :]
        else:
            base, base_term, retained, sizes = index, snapshot["term"], [], []
        header = log_format.SnapshotHeader(self.generation + 1, self.term, self.vote, base, base_term)
        rows = [log_format.encode_header(header), log_format.encode(snapshot)]
        rows += [log_format.encode(entry) for entry in retained]
        with self.refuse_writes_after_error():
            self.disk.put(self.snapshot_name(header.generation), log_format.frame(rows))
            self.generation, self.segment, self.segment_size = header.generation, 0, 0
            self.bytes_since_snapshot = 0
            self.snapshot, self.base, self.base_term = snapshot, base, base_term
            self.entries, self.sizes = retained, sizes
            self.remove_stale_files(self.disk.names())

    @contextlib.contextmanager
    def refuse_writes_after_error(self):
        """Refuses all writes after a failed one, because the content of the files is then unknown."""
        if self.failed:
            raise disk_module.DiskError(f"{self.stem}: an earlier write failed; the log must be opened again")
        try:
            yield
        except disk_module.DiskError:
            self.failed = True
            raise

    # --- names ---------------------------------------------------------------
    def segment_header(self, number):
        """The header of a segment that continues the current state."""
        return log_format.SegmentHeader(self.generation, number, self.term, self.vote, self.last, self.last_term)

    def snapshot_name(self, generation):
        """The file name of a generation's snapshot."""
        return log_format.snapshot_name(self.stem, generation)

    def segment_name(self, number):
        """The file name of a segment of this generation."""
        return log_format.segment_name(self.stem, self.generation, number)
