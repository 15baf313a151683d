"""Held connections between the system's own processes.

One thread reads each connection and one thread writes to each peer. A
connection is kept and used in both directions: what was opened by a router to a
keeper carries the router's asks up and the keeper's news down. Records are not
resent here; every protocol above asks again. A record that does not parse closes
its connection and is counted, nothing more.
"""

import collections
import queue
import socket
import threading
import time

import mothshed.common.constants as constants
import mothshed.common.records as records
import mothshed.common.ring as ring


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Peer:
    """The writer to one peer: a queue, a thread, and the connection in use."""

    def __init__(self, peers, address):
        self.peers = peers
        self.address = address
        self.queue = queue.Queue(constants.PEER_QUEUE)
        self.conn = None
        threading.Thread(target=self.run, name=f"peer {address}", daemon=True).start()

    def run(self):
        while True:
            data = self.queue.get()
            conn = self.conn or self.open()
            if conn is None:
                continue
            try:
                conn.sendall(data)
            except OSError:
                self.conn = None
                shut(conn)

    def open(self):
        try:
            conn = socket.create_connection(split(self.address), constants.PEER_CONNECT)
            conn.settimeout(None)
            tune(conn)
            conn.sendall(records.pack("hello", address=self.peers.address))
        except OSError:
            self.peers.counts["connect_failed"] += 1
            time.sleep(constants.PEER_RETRY)
            while not self.queue.empty():  # stale by now; the sender asks again
                self.queue.get_nowait()
            return None
        self.conn = conn
        self.peers.read_in_thread(conn, self.address)
        return conn


def tune(conn):
    """No delay, and an early end for a connection whose other side went silent.

    Left to itself, TCP doubles its pauses through a cut and would come back minutes
    after the network does; ended early, the connection is simply made anew.
    """
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.PEER_SILENT * 1000))
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, int(constants.PEER_SILENT))
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def shut(conn):
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    conn.close()


class Peers:
    def __init__(self, address, listen=None):
        self.address = address  # what others are told; it may lead here by another way
        self.calls = {}
        self.peers = {}
        self.counts = collections.Counter()
        self.lock = threading.Lock()
        self.server = socket.create_server(split(listen or address), backlog=128)
        threading.Thread(target=self.accept, name="accept", daemon=True).start()

    def hear(self, kind, part, call):
        self.calls[(kind, part)] = call

    def peer(self, address):
        with self.lock:
            if address not in self.peers:
                self.peers[address] = Peer(self, address)
            return self.peers[address]

    def tell(self, goal, kind, **body):
        if not goal:
            return
        if goal == self.address:
            self.take(goal, kind, body)
            return
        try:
            self.peer(goal).queue.put_nowait(records.pack(kind, **body))
        except queue.Full:
            self.counts["queue_full"] += 1

    def accept(self):
        while True:
            try:
                conn = self.server.accept()[0]
            except OSError:
                return
            tune(conn)
            self.read_in_thread(conn, None)

    def read_in_thread(self, conn, who):
        threading.Thread(target=self.read, args=(conn, who), daemon=True).start()

    def read(self, conn, who):
        try:
            with conn.makefile("rb", constants.EOF_BYTES) as f:
                while True:
                    head = f.read(records.HEAD.size)
                    if len(head) < records.HEAD.size:
                        break
                    kind, size, check = records.parse_head(head)
                    body = records.parse_body(kind, f.read(size), check)
                    if kind == "hello":
                        who = body["address"]
                        peer = self.peer(who)
                        peer.conn = peer.conn or conn
                    elif who is None:
                        raise records.RecordFault("no hello first")
                    else:
                        self.take(who, kind, body)
        except records.RecordFault as e:
            self.counts["record_fault"] += 1
            ring.note("record_fault", reason=str(e), who=str(who))
        except OSError:
            pass
        if who in self.peers and self.peers[who].conn is conn:
            self.peers[who].conn = None
        shut(conn)

    def take(self, who, kind, body):
        call = self.calls.get((kind, body.get("part"))) or self.calls.get((kind, None))
        if call:
            call(who, body)

    def stop(self):
        shut(self.server)
