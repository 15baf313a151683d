"""Addresses that a keeper remembers in its data folder, and calls when they fall silent.

A process is told three seeds once and for all, and all keepers may have been
swapped for others since. So it is the keepers, who have disks, that remember whom
they met and call those they have not heard of lately: a router that restarts
knowing only dead seeds is found by them. A hint only; nothing agreed rests on it,
and a disk that fails here is noted and no more.
"""

import json

import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module
import mothshed.transport.constants as transport_constants

FILE = "neighbours"


class Remembered:
    """The remembered addresses and when each was last heard of."""

    def __init__(self, environment, disk):
        self.environment, self.disk = environment, disk
        self.turn, self.writing, self.written_at = 0, False, environment.now()
        self.kept = self.read()
        self.at = dict.fromkeys(
            self.kept, environment.now() - transport_constants.REDIAL_SILENCE_S
        )  # address -> last heard

    def read(self):
        """The addresses last written; none if they cannot be read."""
        try:
            rows = json.loads(self.disk.read(FILE) or b"[]")
            return sorted({str(a) for a in rows if ":" in str(a)})[: transport_constants.MAX_REMEMBERED_ADDRESSES]
        except (ValueError, TypeError, disk_module.DiskFault) as e:
            log_buffer.note("neighbours_unreadable", reason=str(e))
            return []

    def heard(self, address):
        """Notes that a message from this address came now."""
        if address != self.environment.address:
            self.at[address] = self.environment.now()

    def to_call(self, near):
        """A few of those not heard of lately, each in its turn; writes down what changed."""
        now = self.environment.now()
        self.at = {a: t for a, t in self.at.items() if now - t < transport_constants.ADDRESS_TTL_S}
        while len(self.at) > transport_constants.MAX_REMEMBERED_ADDRESSES:
            del self.at[min(self.at, key=self.at.get)]
        if (
            sorted(self.at) != self.kept
            and not self.writing
            and now - self.written_at > transport_constants.ADDRESS_WRITE_INTERVAL_S
        ):
            self.writing, self.kept = True, sorted(self.at)
            self.environment.spawn(lambda rows=self.kept: self.write(rows))
        silent = sorted(
            a for a, t in self.at.items() if now - t >= transport_constants.REDIAL_SILENCE_S and a not in near
        )
        self.turn += transport_constants.MAX_REDIALS
        return [silent[(self.turn + n) % len(silent)] for n in range(min(transport_constants.MAX_REDIALS, len(silent)))]

    def write(self, rows):
        """Writes the addresses; a disk that fails is noted, and a later beat tries again."""
        try:
            self.disk.put(FILE, json.dumps(rows).encode())
        except disk_module.DiskFault as e:
            log_buffer.note("neighbours_unwritten", reason=str(e))
            self.kept = []  # tried again on a later beat
        finally:
            self.writing, self.written_at = False, self.environment.now()
