"""Random operations on a part's log on a failing disk never lose an acknowledged write.

Complements the exhaustive tests of one script (test_disk_crashes): any writes in any order
with several errors and power losses in sequence; hypothesis shrinks failing examples.
"""

import errno

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.storage.disk as disk_module
import mothshed.storage.disk_log as disk_log
import tests.log_crashes as log_crashes
import tools.simulator.volatile_folder as volatile_folder

TEXTS = strategies.sampled_from(["", "x" * 30, "y" * 200])
STEPS = strategies.integers(min_value=1, max_value=7)
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=25,
)
# stops at the first failing example, which depends on the modules loaded
UNSHRUNK_SETTINGS = hypothesis.settings(
    SETTINGS, max_examples=2000, phases=[hypothesis.Phase.generate], print_blob=False
)


class Killed(volatile_folder.PowerLost):
    """The process is killed at a call, and the machine keeps its power."""


class LogOperations(stateful.RuleBasedStateMachine):
    """Compares the log with the last acknowledged state, or the one that a failed write may have reached."""

    def __init__(self):
        super().__init__()
        self.segment_bytes, constants.LOG_SEGMENT_BYTES = constants.LOG_SEGMENT_BYTES, 150
        self.kept_bytes, constants.MAX_RETAINED_LOG_BYTES = constants.MAX_RETAINED_LOG_BYTES, 400
        self.folder = volatile_folder.VolatileFolder()
        self.log = log_crashes.open_log(self.folder)

    def teardown(self):
        constants.LOG_SEGMENT_BYTES, constants.MAX_RETAINED_LOG_BYTES = self.segment_bytes, self.kept_bytes

    # --- writes, complete or interrupted ----------------------------------------
    def interrupt(self, at, make_error):
        self.folder.before_step = log_crashes.ErrorAtCall(at, make_error) if make_error else lambda step, name: None

    def expected_after(self, method, args):
        """The state after this write on a disk without errors."""
        copy = log_crashes.folder_with_files({name: self.folder.read(name) for name in self.folder.names()})
        log = log_crashes.open_log(copy)
        getattr(log, method)(*args)
        return log_crashes.state(log)

    def write(self, method, args, at, make_error, random):
        before, after = log_crashes.state(self.log), self.expected_after(method, args)
        self.interrupt(at, make_error)
        try:
            getattr(self.log, method)(*args)
            allowed = [after]
        except disk_module.DiskError:
            self.check_writes_refused()
            allowed = [before, after]
        except volatile_folder.PowerLost as error:
            allowed = [before, after]
            if not isinstance(error, Killed):
                self.folder.lose_power(random)
        self.interrupt(0, None)
        if len(allowed) > 1:
            self.log = log_crashes.open_log(self.folder)
        assert log_crashes.state(self.log) in allowed

    def check_writes_refused(self):
        with pytest.raises(disk_module.DiskError):
            self.log.put([log_crashes.entry(self.log.last + 1)])

    error_makers = strategies.sampled_from(
        [
            None,
            None,
            volatile_folder.PowerLost,
            Killed,
            lambda: OSError(errno.EIO, ""),
            lambda: OSError(errno.ENOSPC, ""),
        ]
    )
    random_sources = strategies.randoms(use_true_random=False)

    @stateful.rule(
        overwritten=strategies.integers(0, 3),
        count=strategies.integers(1, 4),
        text=TEXTS,
        at=STEPS,
        make_error=error_makers,
    )
    def put(self, overwritten, count, text, at, make_error):
        first = max(self.log.base + 1, self.log.last + 1 - overwritten)
        term = max(self.log.term, self.log.last_term)
        entries = [log_crashes.entry(first + n, term, text) for n in range(count)]
        self.write("put", (entries,), at, make_error, self.random)

    @stateful.rule(random=random_sources)
    def fail_a_sync(self, random):
        """The sync of an append fails, the log is reopened, and later power is lost."""
        first = self.log.last + 1
        entries = [log_crashes.entry(first, max(self.log.term, self.log.last_term))]
        self.write("put", (entries,), 2, lambda: OSError(errno.EIO, ""), random)
        self.lose_power(random)

    @stateful.rule(vote=strategies.sampled_from(["", "a/1", "b/1"]), at=STEPS, make_error=error_makers)
    def put_term(self, vote, at, make_error):
        self.write("put_term", (self.log.term + 1, vote), at, make_error, self.random)

    @stateful.rule(
        below=strategies.integers(0, 3), retained=strategies.integers(0, 3), at=STEPS, make_error=error_makers
    )
    def put_snapshot(self, below, retained, at, make_error):
        index = max(self.log.base, self.log.last - below)
        if index == 0 or (self.log.snapshot and index < self.log.snapshot["index"]):
            return
        snapshot = log_crashes.snapshot(index, self.log.term_at(index))
        self.write("put_snapshot", (snapshot, index - retained), at, make_error, self.random)

    @stateful.rule(ahead=strategies.integers(0, 3), at=STEPS, make_error=error_makers)
    def put_snapshot_of_another_member(self, ahead, at, make_error):
        index = self.log.last + ahead
        if index:
            snapshot = log_crashes.snapshot(index, self.log.term + 1)
            self.write("put_snapshot", (snapshot, index), at, make_error, self.random)

    # --- kill or power loss between writes -------------------------
    @stateful.initialize(random=random_sources)
    def set_random(self, random):
        self.random = random

    @stateful.rule()
    def kill(self):
        self.reopen()

    @stateful.rule(random=random_sources)
    def lose_power(self, random):
        self.folder.lose_power(random)
        self.reopen()

    @stateful.rule(at=STEPS, make_error=error_makers, power_lost=strategies.booleans(), random=random_sources)
    def interrupt_opening(self, at, make_error, power_lost, random):
        """Opening the log is interrupted, after which power may be lost too."""
        self.interrupt(at, make_error)
        log_crashes.run_script([], self.folder)
        self.interrupt(0, None)
        if power_lost:
            self.folder.lose_power(random)
        self.reopen()

    def reopen(self):
        expected = log_crashes.state(self.log)
        self.log = log_crashes.open_log(self.folder)
        assert log_crashes.state(self.log) == expected

    # --- invariants ----------------------------------------------------------------
    @stateful.invariant()
    def sizes_fit(self):
        sizes = [self.log.entry_bytes(entry["i"]) for entry in self.log.entries]
        assert self.log.bytes_from(self.log.base + 1) == sum(sizes)
        written = [name for name in self.folder.names() if "-seg-" in name]
        assert self.log.bytes_since_snapshot == sum(len(self.folder.read(name)) for name in written)


def test_random_writes_errors_and_power_losses():
    stateful.run_state_machine_as_test(LogOperations, settings=SETTINGS)


@pytest.mark.parametrize(
    ("target", "changes"),
    [
        (disk_module.Disk, {"sync": lambda self, name: None}),
        (disk_module.Disk, {"sync_directory": lambda self: None}),
        (disk_log.PartLog, {"read_segment": log_crashes.read_segment_in_place}),
    ],
    ids=["no sync", "no sync of names at opening", "segment read in place"],
)
def test_random_writes_reveal_a_missing_protection(target, changes, monkeypatch):
    for attribute, value in changes.items():
        monkeypatch.setattr(target, attribute, value)
    with pytest.raises((AssertionError, disk_module.DiskError)):
        stateful.run_state_machine_as_test(LogOperations, settings=UNSHRUNK_SETTINGS)
