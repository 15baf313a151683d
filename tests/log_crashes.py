"""Runs a script of writes on a part's log, interrupted at each call to the disk.

A script is a list of (method, arguments) for PartLog. `interruptions` runs it once for
every call that changes a file, interrupts it at that call, and lists the states that the
log may then have: the one before the interrupted write or the one after it.
"""

import dataclasses
import itertools

import mothshed.storage.disk as disk_module
import mothshed.storage.disk_log as disk_log
import tools.simulator.volatile_folder as volatile_folder


def entry(index, term=1, text="x"):
    return {"i": index, "t": term, "c": {"op": "note", "text": text}}


def snapshot(index, term=1):
    return {"index": index, "term": term, "members": {"a": {}}, "state": [f"all up to {index}"]}


SCRIPT = [
    ("put_term", (1, "a/1")),
    ("put", ([entry(1)],)),
    ("put", ([entry(2), entry(3), entry(4)],)),
    ("put_term", (2, "b/1")),
    ("put", ([entry(3, 2, "other")],)),  # drops 3 and 4 of term 1
    ("put", ([entry(n, 2) for n in range(4, 9)],)),
    ("put_snapshot", (snapshot(5, 2), 3)),
    ("put", ([entry(9, 2)],)),
    ("put_snapshot", (snapshot(7, 2), 5)),
    ("put_snapshot", (snapshot(8, 2), 6)),
    ("put_term", (3, "")),
    ("put", ([entry(10, 3)],)),
    ("put_snapshot", (snapshot(20, 3), 20)),  # from another member: no entry of the log is retained
    ("put", ([entry(21, 3)],)),
]


def open_log(folder):
    """The log as a newly started process opens it."""
    return disk_log.PartLog(disk_module.Disk("", lambda path: folder), 1)


def state(log):
    return {
        "term": (log.term, log.vote),
        "base": (log.base, log.base_term),
        "snapshot": log.snapshot,
        "entries": list(log.entries),
    }


def folder_with_files(files):
    """A folder with these files, all durable."""
    folder = volatile_folder.VolatileFolder()
    folder.restore(files)
    return folder


def states_during(script):
    """The states before the first write and after each write."""
    log = open_log(volatile_folder.VolatileFolder())
    found = [state(log)]
    for method, args in script:
        getattr(log, method)(*args)
        found.append(state(log))
    return found


@dataclasses.dataclass
class Interruption:
    """A folder whose process was interrupted at a call, and the states that its log may have."""

    folder: volatile_folder.VolatileFolder
    call: str
    allowed: list
    log: disk_log.PartLog  # of the interrupted process; None if it was still opening the log


class ErrorAtCall:
    """Counts the calls that change a file, and raises an error at one of them."""

    def __init__(self, at, make_error):
        self.at, self.make_error = at, make_error
        self.count, self.call = 0, ""

    def __call__(self, step, name):
        self.count += 1
        if self.count == self.at:
            self.call = f"{step} {name}"
            raise self.make_error()


def run_script(script, folder):
    """Runs the script; returns the log, the number of completed writes, and whether the script finished."""
    log, done = None, 0
    try:
        log = open_log(folder)
        for method, args in script:
            getattr(log, method)(*args)
            done += 1
    except (volatile_folder.PowerLost, disk_module.DiskError):
        return log, done, False
    return log, done, True


def interruptions(
    script, make_error=volatile_folder.PowerLost, start=lambda: volatile_folder.VolatileFolder(), states=None
):
    """Every Interruption of this script, the last one after its end; `start` makes the initial folder."""
    states = states or states_during(script)
    for at in itertools.count(1):
        folder = start()
        injected = folder.before_step = ErrorAtCall(at, make_error)
        log, done, finished = run_script(script, folder)
        folder.before_step = lambda step, name: None
        allowed = states[done:] if finished else states[done : done + 2]
        yield Interruption(folder, injected.call, allowed, log)
        if finished:
            return


def folders_after_power_loss(folder):
    """Every distinct folder that a power loss may leave."""
    seen = set()
    for files in folder.outcomes():
        key = tuple(sorted(files.items()))
        if key not in seen:
            seen.add(key)
            yield folder_with_files(files)


def check_interruption(interruption):
    """Opens the log after an interruption, with and without power loss; returns the number of cases."""
    count = 0
    for folder in itertools.chain(folders_after_power_loss(interruption.folder), [interruption.folder]):
        found = state(open_log(folder))
        assert found in interruption.allowed, (
            f"interrupted at {interruption.call}: {found} is none of {interruption.allowed}"
        )
        for later in folders_after_power_loss(folder):
            assert state(open_log(later)) == found, (
                f"interrupted at {interruption.call}: the state of an opened log was lost"
            )
            count += 1
        count += 1
    return count


def read_segment_in_place(self, number, is_last, read_segment=disk_log.PartLog.read_segment):
    """PartLog.read_segment that syncs a complete last segment again and trusts it, instead of rewriting it."""
    put = self.disk.put

    def sync_again(name, data):
        if data != self.disk.read(name):
            put(name, data)
            return
        with disk_module.convert_os_errors("sync", name):
            self.disk.files.fsync(self.disk.files.open(name))
        self.disk.sync_directory()

    self.disk.put = sync_again
    try:
        read_segment(self, number, is_last)
    finally:
        self.disk.put = put
