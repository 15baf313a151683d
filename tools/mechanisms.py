"""How to disable each mechanism of routing, admission, retries, placement, role changes, hints and orders.

A mechanism is disabled in a copy of the source: a constant gets a value under which it has no effect, or a piece of
text is replaced. `tests/test_ablation.py` checks that each of these changes still matches the source.
"""

import dataclasses
import pathlib
import re

CONSTANTS = "mothshed/constants.py"
PLACEMENT = "mothshed/data_plane/placement.py"
SENDS = "mothshed/data_plane/delivery_sends.py"
LOAD_SUMS = "mothshed/control_plane/load_leader_task.py"
CONFIGURATION = "mothshed/control_plane/config_leader_task.py"


class StaleSwitchError(Exception):
    """A change does not match the source any more."""


@dataclasses.dataclass(frozen=True)
class ConstantChange:
    """Sets a constant to another value."""

    name: str
    value: str

    def apply(self, root: pathlib.Path) -> None:
        """Apply the change to the source copy under root; raises StaleSwitchError."""
        path = root / CONSTANTS
        text, count = re.subn(rf"^{self.name} = [^#\n]*", f"{self.name} = {self.value}  ", path.read_text(), flags=re.M)
        if count != 1:
            raise StaleSwitchError(f"{CONSTANTS}: expected one definition of {self.name}, found {count}")
        path.write_text(text)


@dataclasses.dataclass(frozen=True)
class TextReplacement:
    """Replaces a piece of text in one file."""

    path: str
    old: str
    new: str

    def apply(self, root: pathlib.Path) -> None:
        """Apply the change to the source copy under root; raises StaleSwitchError unless old occurs exactly once."""
        path = root / self.path
        text = path.read_text()
        if text.count(self.old) != 1:
            raise StaleSwitchError(f"{self.path}: expected {self.old!r} exactly once")
        path.write_text(text.replace(self.old, self.new))


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """One mechanism: the changes to the source that disable it."""

    changes: tuple[ConstantChange | TextReplacement, ...]

    def switch_off(self, root: pathlib.Path) -> None:
        """Disable the mechanism in the source copy under root; raises StaleSwitchError."""
        for change in self.changes:
            change.apply(root)


def set_constants(**values: str) -> Mechanism:
    """Return a mechanism that is disabled by setting these constants."""
    return Mechanism(tuple(ConstantChange(name, value) for name, value in values.items()))


MECHANISMS = {
    "hand-over: prefill by another replica": Mechanism(
        (TextReplacement(PLACEMENT, "            if decode_only:\n", "            if True:\n"),)
    ),
    "home of shared parts by hash": Mechanism(
        (TextReplacement(PLACEMENT, " if shared and names else None\n", " if False else None\n"),)
    ),
    "parts known to be kept": set_constants(MAX_KNOWN_PROMPT_PARTS="0"),
    "cost of reading shared parts again": set_constants(REPEATED_PREFILL_RATIO="0.0"),
    "load of other routers": set_constants(LOAD_TTL_S="0.0"),
    "failing replicas left out": set_constants(MIN_FAILED_REQUESTS="1e9"),
    "replica left out after a failed send": set_constants(MIN_EXCLUSION_S="0.0"),
    "admission by the readers' queue": set_constants(ADMISSION_QUEUE_RATIO="1e9"),
    "waiting for a place": set_constants(PLACEMENT_WAIT_RATIO="0.0", MIN_PLACEMENT_WAIT_S="0.0"),
    "short readings first": set_constants(SHORT_PREFILL_S="1e9"),
    "short prompts read by their writer": set_constants(SHORT_PROMPT_TOKENS="0"),
    "replicas of the own zone": set_constants(CROSS_ZONE_COST_S="0.0"),
    "extra sends (retry budget)": set_constants(RETRY_BUDGET_RATIO="0.0", RETRY_SLACK_RATIO="0.0"),
    "writer reads where a handle is lost": Mechanism(
        (
            TextReplacement(
                SENDS,
                "        if not (self.handle and error.rejected and error.verdict is NOT_RUN):\n",
                "        if True:\n",
            ),
        )
    ),
    "hedge of a silent replica": set_constants(FIRST_EVENT_TIMEOUT_S="1e9", NEXT_EVENT_TIMEOUT_S="1e9"),
    "split follows the load": set_constants(SHIFT_LOAD_RATIO="1e9"),
    "several replicas change their part at once": set_constants(MAX_ROLE_CHANGE_RATIO="0.0"),
    "what a writer carries, learnt": Mechanism(
        (TextReplacement(LOAD_SUMS, "self.capacity(name).full_at(slots)", "constants.DECODE_FULL_SLOT_RATIO * slots"),)
    ),
    "older leases by a new leader": Mechanism(
        (TextReplacement(CONFIGURATION, "return -math.inf if moment is None else float(moment)", "return -math.inf"),)
    ),
    "notice before an order": set_constants(ORDER_NOTICE_S="0.0", ROLE_CHANGE_EXCLUSION_S="0.0"),
    "kept connections": set_constants(MAX_IDLE_REPLICA_CONNECTIONS="0"),
}
