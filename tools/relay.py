"""A relay on loopback between real processes: cuts, one-way cuts and slow links.

Each daemon tells others the relay's address as its own (`address`) and listens
elsewhere (`listen`), so that every connection between two daemons passes here. Its
first record says who opened it; from then on bytes flow by pair and direction.
What meets a cut is held and comes late, if the ends still stand, as on a network.
"""

import socket
import threading
import time

import mothshed.transport.link as link
import mothshed.transport.records as records

LOOK = 0.02  # s; a held pump looks this often whether its cut is healed


class Relays:
    def __init__(self):
        self.names, self.doors = {}, []  # address -> name of the daemon that tells it
        self.cuts, self.delay = set(), 0.0
        self.open = True

    def add(self, name, address, goal):
        """Listens at the address that `name` tells others; passes on to where it listens."""
        door = socket.create_server(link.parse_address(address), backlog=128)
        self.names[address] = name
        self.doors.append(door)
        threading.Thread(target=self.accept, args=(door, name, goal), daemon=True).start()

    def cut(self, some, rest, both=True):
        self.cuts |= {(a, b) for a in some for b in rest}
        if both:
            self.cuts |= {(b, a) for a in some for b in rest}

    def heal(self):
        self.cuts, self.delay = set(), 0.0

    def accept(self, door, name, goal):
        while self.open:
            try:
                near = door.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.join, args=(near, name, goal), daemon=True).start()

    def join(self, near, name, goal):
        try:
            head = near.recv(records.HEADER.size, socket.MSG_WAITALL)
            parsed = records.CODEC.parse_header(head)
            data = near.recv(parsed.size, socket.MSG_WAITALL)
            who = self.names.get(records.CODEC.parse(parsed, data).body["address"], "")
            self.hold(who, name)
            far = socket.create_connection(link.parse_address(goal), 1.0)
            far.settimeout(None)
            far.sendall(head + data)
        except (OSError, KeyError, records.RecordError, records.struct.error):
            near.close()
            return
        for conn in (near, far):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(near, far, who, name), daemon=True).start()
        self.pump(far, near, name, who)

    def hold(self, one, other):
        if self.delay:
            time.sleep(self.delay)
        while self.open and (one, other) in self.cuts:
            time.sleep(LOOK)

    def pump(self, source, goal, one, other):
        try:
            while data := source.recv(65536):
                self.hold(one, other)
                goal.sendall(data)
        except OSError:
            pass
        for conn in (source, goal):
            link.close_socket(conn)

    def stop(self):
        self.open = False
        for door in self.doors:
            link.close_socket(door)
