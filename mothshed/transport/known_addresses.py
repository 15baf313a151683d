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


class KnownAddresses:
    """The remembered addresses and when each was last heard of."""

    def __init__(self, environment, disk):
        self.environment, self.disk = environment, disk
        self.rotation, self.writing, self.written_at = 0, False, environment.now()
        self.saved = self.read()
        self.last_contact = dict.fromkeys(
            self.saved, environment.now() - transport_constants.REDIAL_SILENCE_S
        )  # address -> last heard

    def read(self):
        """The addresses last written; none if they cannot be read."""
        try:
            rows = json.loads(self.disk.read(FILE) or b"[]")
            return sorted({str(a) for a in rows if ":" in str(a)})[: transport_constants.MAX_REMEMBERED_ADDRESSES]
        except (ValueError, TypeError, disk_module.DiskError) as error:
            log_buffer.note("neighbours_unreadable", reason=str(error))
            return []

    def note_contact(self, address):
        """Notes that a message from this address came now."""
        if address != self.environment.address:
            self.last_contact[address] = self.environment.now()

    def addresses_to_contact(self, view):
        """A few of those not heard of lately, each in its turn; writes down what changed."""
        now = self.environment.now()
        self.last_contact = {a: t for a, t in self.last_contact.items() if now - t < transport_constants.ADDRESS_TTL_S}
        while len(self.last_contact) > transport_constants.MAX_REMEMBERED_ADDRESSES:
            del self.last_contact[min(self.last_contact, key=self.last_contact.get)]
        if (
            sorted(self.last_contact) != self.saved
            and not self.writing
            and now - self.written_at > transport_constants.ADDRESS_WRITE_INTERVAL_S
        ):
            self.writing, self.saved = True, sorted(self.last_contact)
            self.environment.spawn(lambda rows=self.saved: self.write(rows))
        silent = sorted(
            a for a, t in self.last_contact.items() if now - t >= transport_constants.REDIAL_SILENCE_S and a not in view
        )
        self.rotation += transport_constants.MAX_REDIALS
        return [
            silent[(self.rotation + n) % len(silent)] for n in range(min(transport_constants.MAX_REDIALS, len(silent)))
        ]

    def write(self, rows):
        """Writes the addresses; a disk that fails is noted, and a later beat tries again."""
        try:
            self.disk.put(FILE, json.dumps(rows).encode())
        except disk_module.DiskError as error:
            log_buffer.note("neighbours_unwritten", reason=str(error))
            self.saved = []  # tried again on a later beat
        finally:
            self.writing, self.written_at = False, self.environment.now()
