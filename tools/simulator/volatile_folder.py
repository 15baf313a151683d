"""A folder in memory that can lose power between any two calls.

It has the interface of mothshed.storage.folder.Folder. What a loss of power leaves:
a file holds what its last fsync covered; each later write is present, absent or
torn by itself, or all of them are gone. A new file lasts once it is itself synced;
a name renamed or removed lasts once the folder has been synced, and until then
each such change is kept or lost by itself. After a failed fsync the writes that it
should have covered stay visible, but no later fsync makes them durable.
"""

import dataclasses
import errno
import itertools


@dataclasses.dataclass
class Write:
    """One write that no fsync has covered yet."""

    at: int
    data: bytes
    abandoned: bool = False  # an fsync failed: later ones do not cover it


@dataclasses.dataclass
class File:
    """A file's content as programs see it, and what of it is durable."""

    content: bytes = b""
    durable: bytes = b""
    pending: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class NameChange:
    """A name made, renamed or removed that no sync of the folder has covered yet."""

    kind: str  # "create", "rename" or "remove"
    name: str
    file: File
    new_name: str = ""


class PowerLost(Exception):
    """Raised out of a call at which a test cuts the power. Not an OSError: no program can catch it."""


def place(content, at, data):
    """The content with data written at an offset; a gap before it reads as zeros."""
    content = content.ljust(at, b"\0")
    return content[:at] + data + content[at + len(data) :]


def torn(data):
    """Some ways in which a write may have been cut short: heads, tails, and one in the middle missing."""
    size = len(data)
    cuts = sorted({1, size // 3, size // 2, size - 1} & set(range(1, size)))
    for cut in cuts:
        yield data[:cut]
        yield data[:cut] + bytes(size - cut)
        yield bytes(cut) + data[cut:]
    if size > 2:
        yield data[: size // 3] + bytes(size - 2 * (size // 3)) + data[size - size // 3 :]


def versions(file):
    """Every content that a loss of power may leave of a file, with a few kinds of torn writes."""
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
    """The files of one folder, what of them is durable, and which changes are not yet."""

    def __init__(self, path=""):
        self.path = path
        self.current, self.lasting = {}, {}  # name -> File: as programs see it / after a loss of power
        self.changes = []  # NameChange, oldest first
        self.room = None  # bytes that may still be written; None: no limit
        self.before_step = lambda step, name: None  # called before each call that changes anything

    def names(self):
        """The names of all files, sorted."""
        return sorted(self.current)

    def read(self, name):
        """The content of a file; empty bytes if there is none."""
        return self.current[name].content if name in self.current else b""

    def create(self, name):
        """A new, empty file of this name."""
        self.before_step("create", name)
        file = self.current[name] = File()
        self.changes.append(NameChange("create", name, file))
        return file

    def open(self, name):
        """A handle that appends to a file, which must exist."""
        if name not in self.current:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.current[name]

    def write(self, file, data):
        """Appends what there is room for, and says how many bytes."""
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
        """Makes a file's content and the making of its name durable."""
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
            file.durable = file.content  # equal; one copy in memory
        for change in self.changes:
            if change.file is file and change.kind == "create":
                self.lasting[change.name] = file
        self.changes = [c for c in self.changes if not (c.file is file and c.kind == "create")]

    def close(self, file):
        """Does nothing: a handle is the file."""
        pass

    def rename(self, name, new_name):
        """Puts a file in the place of any that had the new name."""
        self.before_step("rename", new_name)
        file = self.current[new_name] = self.current.pop(name)
        self.changes.append(NameChange("rename", name, file, new_name))

    def remove(self, name):
        """Removes a file, if there is one."""
        self.before_step("remove", name)
        if name in self.current:
            self.changes.append(NameChange("remove", name, self.current.pop(name)))

    def sync_directory(self):
        """Makes all changes of names durable."""
        self.before_step("sync_directory", "")
        self.lasting = self.names_with(self.changes)
        self.changes = []

    def name_of(self, file):
        """The present name of a file, for those who watch the calls."""
        return next((name for name, other in self.current.items() if other is file), "")

    def names_with(self, kept):
        """The lasting names once these changes of names have been kept."""
        names = dict(self.lasting)
        for change in kept:
            if change.kind != "create" and names.get(change.name) is change.file:
                del names[change.name]
            if change.kind != "remove":
                names[change.new_name or change.name] = change.file
        return names

    def outcomes(self):
        """Every state, as {name: content}, that a loss of power at this moment may leave."""
        for kept in itertools.product([False, True], repeat=len(self.changes)):
            names = self.names_with(itertools.compress(self.changes, kept))
            for contents in itertools.product(*(versions(file) for file in names.values())):
                yield dict(zip(names, contents, strict=True))

    def lose_power(self, random):
        """Takes one of the states that a loss of power may leave; `random` chooses it."""
        kept = [change for change in self.changes if random.random() < 0.5]
        nothing_pending_lasts = random.random() < 0.2
        state = {}
        for name, file in self.names_with(kept).items():
            state[name] = file.durable if nothing_pending_lasts else self.some_version(file, random)
        self.restore(state)

    def some_version(self, file, random):
        """One content that a loss of power may leave of a file."""
        content = file.durable
        for write in file.pending:
            head = write.data[: random.randrange(len(write.data) + 1)]
            part = random.choice([None, write.data, head, *torn(write.data)])
            content = content if part is None else place(content, write.at, part)
        return content

    def restore(self, state):
        """Takes this state, {name: content}, all of it durable."""
        self.current = {name: File(content, content) for name, content in state.items()}
        self.lasting = dict(self.current)
        self.changes = []

    def durable_state(self):
        """What a loss of power leaves when nothing unsynced is kept."""
        return {name: file.durable for name, file in self.lasting.items()}
