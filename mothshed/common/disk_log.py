"""One part's log on disk: rows in segments, snapshots beside them.

A row is a struct head (length, checksum) and a JSON body: an entry, or the term
and vote. The last meaning wins: an entry row at an index drops whatever stood
there and after it. A torn tail (a last row that is short or fails its checksum
with nothing whole behind it) is cut off at start; damage anywhere else is a
DiskFault, since synced rows are missing and the member must return as wiped.
"""

import json
import struct
import zlib

import mothshed.common.constants as constants
import mothshed.common.disk as disk_module

ROW = struct.Struct("!II")


def row(body):
    data = json.dumps(body, separators=(",", ":")).encode()
    return ROW.pack(len(data), zlib.crc32(data)) + data


def scan(data):
    """The whole rows, how many bytes they take, and whether one stands behind a bad one."""
    rows, at = [], 0
    while at < len(data):
        body = row_at(data, at)
        if body is None:
            return rows, at, any(row_at(data, later) is not None for later in range(at + 1, len(data)))
        rows.append(json.loads(body))
        at += ROW.size + len(body)
    return rows, at, False


def row_at(data, at):
    """The body of a whole row at this place, or None."""
    if at + ROW.size > len(data):
        return None
    size, check = ROW.unpack_from(data, at)
    if not size or at + ROW.size + size > len(data):
        return None
    body = data[at + ROW.size : at + ROW.size + size]
    return body if zlib.crc32(body) == check else None


class PartLog:
    def __init__(self, disk, part):
        self.disk = disk
        self.stem = f"part-{part}"
        self.term, self.vote = 0, ""
        self.base, self.base_term = 0, 0  # what the entries in memory stand on
        self.entries = []  # entries base+1 ...
        self.snap = None  # {"index","term","members","state"}
        self.segment, self.size = 0, 0
        self.load()

    def load(self):
        names = self.disk.names()
        for name in sorted(n for n in names if n.startswith(self.stem + "-snap-")):
            rows = scan(self.disk.read(name))[0]
            if rows:
                self.snap = rows[0]
        if self.snap:
            self.base, self.base_term = self.snap["index"], self.snap["term"]
        names = [n for n in names if n.startswith(self.stem + "-seg-")]
        for name in names:
            data = self.disk.read(name)
            rows, whole, beyond = scan(data)
            if whole < len(data):
                if beyond or name != names[-1]:
                    raise disk_module.DiskFault(f"{name}: damaged at byte {whole}")
                self.disk.put(name, data[:whole])
            for body in rows:
                self.replay(body)
            self.segment, self.size = int(name.rsplit("-", 1)[1]), whole

    def replay(self, body):
        if "term" in body:
            self.term, self.vote = body["term"], body["vote"]
        elif "wipe" in body:
            self.base, self.base_term, self.entries = body["wipe"], body["at"], []
        else:
            index = body["i"]
            if index <= self.base:
                return
            if index > self.last + 1:
                raise disk_module.DiskFault(f"{self.stem}: entries {self.last + 1}..{index - 1} missing")
            del self.entries[index - self.base - 1 :]
            self.entries.append(body)

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
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1]["t"]
        return None

    def get(self, index):
        return self.entries[index - self.base - 1]

    def entry_bytes(self, index):
        """About how many bytes an entry takes on the disk and on the wire."""
        return len(json.dumps(self.get(index)))

    def write(self, bodies):
        if not bodies:
            return
        data = b"".join(row(b) for b in bodies)
        if self.size > constants.SEGMENT_BYTES:
            self.segment, self.size = self.segment + 1, 0
        name = self.name()
        self.disk.append(name, data)
        self.disk.sync(name)
        self.size += len(data)

    def name(self):
        return f"{self.stem}-seg-{self.segment:08d}"

    def put_term(self, term, vote):
        if (term, vote) != (self.term, self.vote):
            self.write([{"term": term, "vote": vote}])
            self.term, self.vote = term, vote

    def put(self, entries):
        """Appends entries, dropping what stood at their place, and syncs."""
        self.write(entries)
        for body in entries:
            self.replay(body)

    def put_snap(self, snap, keep):
        """Writes a snapshot; entries above `keep` are carried into a new segment."""
        self.disk.put(f"{self.stem}-snap-{snap['index']:012d}", row(snap))
        old = [n for n in self.disk.names() if n.startswith(self.stem)]
        term = self.term_at(keep)
        kept = [e for e in self.entries if e["i"] > keep] if term is not None else []
        if term is None:
            keep, term = snap["index"], snap["term"]
        self.segment, self.size = self.segment + 1, 0
        self.write([{"term": self.term, "vote": self.vote}, {"wipe": keep, "at": term}] + kept)
        self.snap, self.base, self.base_term, self.entries = snap, keep, term, kept
        new = (self.name(), f"{self.stem}-snap-{snap['index']:012d}")
        for name in old:
            if name not in new:
                self.disk.remove(name)
