"""Addresses that a keeper stores in its data folder and contacts again when they fall silent.

A process gets three seeds at its start, and all keepers may have been replaced since.
Keepers have disks, so they store the addresses that they have exchanged records with and
contact those that have been silent: a router that restarts with only dead seeds is found
by them. The addresses are hints that no agreement depends on, so a failing disk is
only logged.
"""

import json

import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module
import mothshed.transport.constants as transport_constants

FILE = "neighbours"


class KnownAddresses:
    """The stored addresses and when each was last heard from."""

    def __init__(self, environment, disk):
        self.environment, self.disk = environment, disk
        self.rotation, self.writing, self.written_at = 0, False, environment.now()
        self.saved = self.read()
        self.last_contact = dict.fromkeys(
            self.saved, environment.now() - transport_constants.REDIAL_SILENCE_S
        )  # address -> time of the last contact

    def read(self):
        """The addresses last written; an empty list if they cannot be read."""
        try:
            rows = json.loads(self.disk.read(FILE) or b"[]")
            addresses = {str(row) for row in rows if ":" in str(row)}
            return sorted(addresses)[: transport_constants.MAX_REMEMBERED_ADDRESSES]
        except (ValueError, TypeError, disk_module.DiskError) as error:
            log_buffer.note("neighbours_unreadable", reason=str(error))
            return []

    def note_contact(self, address):
        """Records that a message from this address has arrived."""
        if address != self.environment.address:
            self.last_contact[address] = self.environment.now()

    def addresses_to_contact(self, view):
        """The next few silent addresses outside the view, in rotation; starts a write if the addresses changed."""
        now = self.environment.now()
        self.last_contact = {
            address: contact_at
            for address, contact_at in self.last_contact.items()
            if now - contact_at < transport_constants.ADDRESS_TTL_S
        }
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
            address
            for address, contact_at in self.last_contact.items()
            if now - contact_at >= transport_constants.REDIAL_SILENCE_S and address not in view
        )
        self.rotation += transport_constants.MAX_REDIALS
        count = min(transport_constants.MAX_REDIALS, len(silent))
        return [silent[(self.rotation + offset) % len(silent)] for offset in range(count)]

    def write(self, rows):
        """Writes the addresses; a disk error is logged, and a later round tries again."""
        try:
            self.disk.put(FILE, json.dumps(rows).encode())
        except disk_module.DiskError as error:
            log_buffer.note("neighbours_unwritten", reason=str(error))
            self.saved = []  # differs from the known addresses, so that a later round writes again
        finally:
            self.writing, self.written_at = False, self.environment.now()
