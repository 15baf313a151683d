"""Nodes that say records to each other on real sockets, by a clock that tests move on."""

import contextlib
import socket
import threading
import time

import mothshed.transport.link as link
import mothshed.transport.peers as peers
import mothshed.transport.records as records
import tools.fleet as fleet

RAW_PEER = "127.0.0.1:1"  # what a connection made by hand calls itself
WAIT = 20.0  # s; longest wait for what must come


class Clock:
    """A clock that tests move on."""

    def __init__(self):
        self.seconds = 1000.0

    def __call__(self):
        return self.seconds


class Node:
    """Peers at a free port that keep the marks of the records that they took."""

    def __init__(self, clock=None):
        self.clock = clock or Clock()
        self.taken, self.arrived = [], threading.Condition()
        self.peers = peers.Peers(f"127.0.0.1:{fleet.free_port('127.0.0.1')}", now=self.clock)
        self.peers.subscribe("ask", 0, self.take)

    @property
    def address(self):
        return self.peers.address

    @property
    def loop(self):
        return self.peers.loop

    def take(self, sender, body):
        with self.arrived:
            self.taken.append((sender, body["mark"]))
            self.arrived.notify_all()

    def send(self, goal, mark):
        self.peers.send(goal, "ask", part=0, mark=mark, held=0, staged=0)

    def wait_for(self, count):
        with self.arrived:
            assert self.arrived.wait_for(lambda: len(self.taken) >= count, WAIT), self.taken

    def count(self, name):
        return self.peers.stats()[f"links_{name}"]

    def links(self):
        return self.peers.stats()["links"]


@contextlib.contextmanager
def nodes():
    """A maker of nodes, all stopped at the end."""
    made = []

    def make(clock=None):
        made.append(Node(clock))
        return made[-1]

    try:
        yield make
    finally:
        for node in made:
            node.peers.stop()


@contextlib.contextmanager
def raw_peer(node):
    """A connection to a node that has said hello as RAW_PEER, and one record that arrived."""
    with socket.create_connection(link.parse_address(node.address), WAIT) as conn:
        conn.sendall(records.pack("hello", address=RAW_PEER) + packed(1))
        node.wait_for(1)
        yield conn


def until(condition):
    """Wait for something that another thread brings about."""
    end, event = time.monotonic() + WAIT, threading.Event()
    while not condition():
        assert time.monotonic() < end
        event.wait(0.005)


def packed(mark, release=None):
    """The record that a node sends for this mark, as a reader of this release is sent it."""
    return records.CODEC.pack("ask", {"part": 0, "mark": mark, "held": 0, "staged": 0}, release)
