"""An in-memory folder that can lose power between any two calls.

It has the interface of mothshed.storage.folder.Folder. After a loss of power, a file holds what its last fsync
covered; later writes are each present, absent or torn, or all of them are gone. A new file persists once it has
been synced itself; a rename or removal persists once the folder has been synced, and until then each such change is
kept or lost independently. After a failed fsync the writes that it should have covered stay visible, but no later
fsync makes them durable.
"""

import dataclasses
import errno
import itertools


@dataclasses.dataclass
class Write:
    """A write that no fsync has covered yet."""

    at: int
    data: bytes
    abandoned: bool = False  # its fsync failed; later ones do not cover it


@dataclasses.dataclass
class File:
    """A file: its visible content, its durable content and the writes in between."""

    content: bytes = b""
    durable: bytes = b""
    pending: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class NameChange:
    """A created, renamed or removed name that no sync of the folder has covered yet."""

    kind: str  # "create", "rename" or "remove"
    name: str
    file: File
    new_name: str = ""


class PowerLost(Exception):
    """Raised by a call at which a test cuts the power. Not an OSError, so the code under test does not handle it."""


def place(content, at, data):
    """Return the content with data written at an offset; a gap before it is filled with zeros."""
    content = content.ljust(at, b"\0")
    return content[:at] + data + content[at + len(data) :]


def torn(data):
    """Yield some torn forms of a write: only a head, only a tail, or the middle missing."""
    size = len(data)
    cuts = sorted({1, size // 3, size // 2, size - 1} & set(range(1, size)))
    for cut in cuts:
        yield data[:cut]
        yield data[:cut] + bytes(size - cut)
        yield bytes(cut) + data[cut:]
    if size > 2:
        yield data[: size // 3] + bytes(size - 2 * (size // 3)) + data[size - size // 3 :]


def versions(file):
    """Return the contents that a loss of power may leave of a file, with some torn forms of each write."""
    choices = [[None, write.data, *torn(write.data)] for write in file.pending]
    found = set()
    for parts in itertools.product(*choices):
        content = file.durable
        for write, part in zip(file.pending, parts, strict=True):
            if part is not None:
                content = place(content, write.at, part)
        found.add(content)
    return sorted(found)


class VolatileFolder:
    """The files of one folder, their durable state and the changes that are not yet durable."""

    def __init__(self, path=""):
        self.path = path
        self.current, self.durable_names = {}, {}  # name -> File: visible / after a loss of power
        self.changes = []  # NameChange, oldest first
        self.room = None  # bytes that may still be written; None for no limit
        self.before_step = lambda step, name: None  # called before each change

    def names(self):
        """Return the sorted names of all files."""
        return sorted(self.current)

    def read(self, name):
        """Return the content of a file, or empty bytes if it does not exist."""
        return self.current[name].content if name in self.current else b""

    def create(self, name):
        """Create an empty file."""
        self.before_step("create", name)
        file = self.current[name] = File()
        self.changes.append(NameChange("create", name, file))
        return file

    def open(self, name):
        """Return a handle that appends to an existing file."""
        if name not in self.current:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.current[name]

    def write(self, file, data):
        """Append as much as there is room for; return the number of bytes."""
        self.before_step("write", self.name_of(file))
        if self.room is not None:
            data = data[: self.room]
            if not data:
                raise OSError(errno.ENOSPC, "no space left on device")
            self.room -= len(data)
        file.pending.append(Write(len(file.content), data))
        file.content += data
        return len(data)

    def fsync(self, file):
        """Make the content of a file and the creation of its name durable."""
        try:
            self.before_step("fsync", self.name_of(file))
        except OSError:
            for write in file.pending:
                write.abandoned = True
            raise
        for write in file.pending:
            if not write.abandoned:
                file.durable = place(file.durable, write.at, write.data)
        file.pending = [write for write in file.pending if write.abandoned]
        if not file.pending:
            file.durable = file.content  # equal contents: keep one copy in memory
        for change in self.changes:
            if change.file is file and change.kind == "create":
                self.durable_names[change.name] = file
        self.changes = [c for c in self.changes if not (c.file is file and c.kind == "create")]

    def close(self, file):
        """Do nothing: the handle is the file itself."""
        pass

    def rename(self, name, new_name):
        """Rename a file; it replaces any file with the new name."""
        self.before_step("rename", new_name)
        file = self.current[new_name] = self.current.pop(name)
        self.changes.append(NameChange("rename", name, file, new_name))

    def remove(self, name):
        """Remove a file, if it exists."""
        self.before_step("remove", name)
        if name in self.current:
            self.changes.append(NameChange("remove", name, self.current.pop(name)))

    def sync_directory(self):
        """Make all changes of names durable."""
        self.before_step("sync_directory", "")
        self.durable_names = self.names_with(self.changes)
        self.changes = []

    def name_of(self, file):
        """Return the current name of a file, for before_step."""
        return next((name for name, other in self.current.items() if other is file), "")

    def names_with(self, kept):
        """Return the durable names if these changes of names are kept."""
        names = dict(self.durable_names)
        for change in kept:
            if change.kind != "create" and names.get(change.name) is change.file:
                del names[change.name]
            if change.kind != "remove":
                names[change.new_name or change.name] = change.file
        return names

    def outcomes(self):
        """Yield every state, as {name: content}, that a loss of power now may leave."""
        for kept in itertools.product([False, True], repeat=len(self.changes)):
            names = self.names_with(itertools.compress(self.changes, kept))
            for contents in itertools.product(*(versions(file) for file in names.values())):
                yield dict(zip(names, contents, strict=True))

    def lose_power(self, random):
        """Switch to a random one of the states that a loss of power may leave."""
        kept = [change for change in self.changes if random.random() < 0.5]
        pending_is_lost = random.random() < 0.2
        state = {}
        for name, file in self.names_with(kept).items():
            state[name] = file.durable if pending_is_lost else self.random_version(file, random)
        self.restore(state)

    def random_version(self, file, random):
        """Return a random content that a loss of power may leave of a file."""
        content = file.durable
        for write in file.pending:
            head = write.data[: random.randrange(len(write.data) + 1)]
            part = random.choice([None, write.data, head, *torn(write.data)])
            content = content if part is None else place(content, write.at, part)
        return content

    def restore(self, state):
        """Replace all files by this state, {name: content}, all of it durable."""
        self.current = {name: File(content, content) for name, content in state.items()}
        self.durable_names = dict(self.current)
        self.changes = []

    def durable_state(self):
        """Return the state after a loss of power in which nothing unsynced is kept."""
        return {name: file.durable for name, file in self.durable_names.items()}
