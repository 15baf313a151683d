"""A relay on loopback between real processes: cuts, one-way cuts and slow links.

Each daemon advertises the relay's address as its own (`address`) and listens
elsewhere (`listen`), so that every connection between two daemons goes through the
relay. The first record of a connection names the daemon that opened it; the bytes
are then forwarded per pair and direction. Bytes that meet a cut are delayed until
it heals, if both ends are still connected.
"""

import socket
import threading
import time

import mothshed.transport.link as link
import mothshed.transport.records as records

CUT_POLL_INTERVAL_S = 0.02  # how often a blocked link checks whether its cut has healed


class Relays:
    def __init__(self):
        self.daemon_names, self.listeners = {}, []  # address -> name of the daemon that advertises it
        self.cuts, self.delay = set(), 0.0
        self.is_open = True

    def add(self, name, address, destination):
        """Listen at the address that daemon `name` advertises and forward to where it listens."""
        listener = socket.create_server(link.parse_address(address), backlog=128)
        self.daemon_names[address] = name
        self.listeners.append(listener)
        threading.Thread(target=self.accept, args=(listener, name, destination), daemon=True).start()

    def cut(self, names, others, both_directions=True):
        self.cuts |= {(name, other) for name in names for other in others}
        if both_directions:
            self.cuts |= {(other, name) for name in names for other in others}

    def heal(self):
        self.cuts, self.delay = set(), 0.0

    def accept(self, listener, name, destination):
        while self.is_open:
            try:
                client = listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.connect, args=(client, name, destination), daemon=True).start()

    def connect(self, client, name, destination):
        try:
            header = client.recv(records.HEADER.size, socket.MSG_WAITALL)
            parsed = records.CODEC.parse_header(header)
            data = client.recv(parsed.size, socket.MSG_WAITALL)
            opener = self.daemon_names.get(records.CODEC.parse(parsed, data).body["address"], "")
            self.wait_for_link(opener, name)
            server = socket.create_connection(link.parse_address(destination), 1.0)
            server.settimeout(None)
            server.sendall(header + data)
        except (OSError, KeyError, records.RecordError, records.struct.error):
            client.close()
            return
        for conn in (client, server):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(client, server, opener, name), daemon=True).start()
        self.pump(server, client, name, opener)

    def wait_for_link(self, sender, receiver):
        if self.delay:
            time.sleep(self.delay)
        while self.is_open and (sender, receiver) in self.cuts:
            time.sleep(CUT_POLL_INTERVAL_S)

    def pump(self, source, destination, sender, receiver):
        try:
            while data := source.recv(65536):
                self.wait_for_link(sender, receiver)
                destination.sendall(data)
        except OSError:
            pass
        for conn in (source, destination):
            link.close_socket(conn)

    def stop(self):
        self.is_open = False
        for listener in self.listeners:
            link.close_socket(listener)
