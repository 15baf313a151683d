"""The packed documents of a keeper, by digest: one file each, and their bytes in memory.

A file is written once, in one atomic step, by a thread that may wait for the disk; mailboxes only look up bytes. What
is in the store is durable. A document that nothing refers to any more is forgotten at once and its file removed later,
unless it has been stored anew meanwhile.
"""

import collections
import collections.abc
import contextlib
import threading
import typing

PREFIX = "document-"  # of the file names, before the digest


class DocumentStore:
    """The packed documents on a disk. digest_of: the digest that names their bytes."""

    def __init__(self, disk: typing.Any, digest_of: collections.abc.Callable[[bytes], str]) -> None:
        self.disk, self.digest_of = disk, digest_of
        self.blobs: dict[str, bytes] = {}  # by digest; replaced by `load`, otherwise changed item by item
        self.pins: collections.Counter[str] = collections.Counter()  # digests that must not be forgotten
        self.lock = threading.Lock()  # held while files are written or removed
        self.load()

    def load(self) -> None:
        """Read all documents; raises DiskError. A damaged one is left out: whoever refers to it finds it missing."""
        with self.lock:
            self.disk.remove(self.disk.temporary_names(PREFIX))
            names = [name for name in self.disk.names() if name.startswith(PREFIX)]
            found = {name.removeprefix(PREFIX): self.disk.read(name) for name in names}
            self.blobs = {digest: data for digest, data in found.items() if self.digest_of(data) == digest}

    def get(self, digest: str) -> bytes | None:
        """The bytes of a document, or None if it is not in the store."""
        return self.blobs.get(digest)

    def put(self, digest: str, data: bytes) -> None:
        """Store a document; returns once it is durable. Raises DiskError. May wait for the disk."""
        with self.lock:
            if digest not in self.blobs:
                self.disk.put(PREFIX + digest, data)
                self.blobs[digest] = data

    @contextlib.contextmanager
    def pinned(self, digest: str) -> collections.abc.Iterator[None]:
        """Keep a document during the block, while nothing refers to it yet."""
        self.pins[digest] += 1
        try:
            yield
        finally:
            self.pins[digest] -= 1

    def forget(self, referenced: collections.abc.Collection[str]) -> list[str]:
        """Forget all documents but these and the pinned ones; returns their digests, for `remove_files`."""
        surplus = [digest for digest in list(self.blobs) if digest not in referenced and not self.pins[digest]]
        for digest in surplus:
            del self.blobs[digest]
        return surplus

    def remove_files(self, digests: list[str]) -> None:
        """Remove the files of forgotten documents; raises DiskError. May wait for the disk."""
        with self.lock:
            names = {PREFIX + digest for digest in digests if digest not in self.blobs}
            self.disk.remove(sorted(names & set(self.disk.names())))  # others were removed by an earlier call
