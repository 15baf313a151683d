"""Nodes that exchange records on real sockets, with a clock that tests advance."""

import contextlib
import socket
import threading
import time

import mothshed.transport.link as link
import mothshed.transport.peers as peers
import mothshed.transport.records as records
import tools.fleet as fleet

RAW_PEER = "127.0.0.1:1"  # address in the hello of a connection without a node
TIMEOUT_S = 20.0  # longest wait for an expected event


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.seconds = 1000.0

    def __call__(self):
        return self.seconds


class Node:
    """Peers on a free port that store sender and mark of each received record."""

    def __init__(self, clock=None):
        self.clock = clock or Clock()
        self.received, self.condition = [], threading.Condition()
        self.peers = peers.Peers(f"127.0.0.1:{fleet.free_port('127.0.0.1')}", now=self.clock)
        self.peers.subscribe("ask", 0, self.on_ask)

    @property
    def address(self):
        return self.peers.address

    @property
    def loop(self):
        return self.peers.loop

    def on_ask(self, sender, body):
        with self.condition:
            self.received.append((sender, body["mark"]))
            self.condition.notify_all()

    def send(self, destination, mark):
        self.peers.send(destination, "ask", part=0, mark=mark, held=0, staged=0)

    def wait_for(self, count):
        with self.condition:
            assert self.condition.wait_for(lambda: len(self.received) >= count, TIMEOUT_S), self.received

    def count(self, name):
        return self.peers.stats()[f"links_{name}"]

    def links(self):
        return self.peers.stats()["links"]


@contextlib.contextmanager
def nodes():
    """A function that makes nodes; all are stopped at the end."""
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
    """A plain connection to a node, after a hello as RAW_PEER and one received record."""
    with socket.create_connection(link.parse_address(node.address), TIMEOUT_S) as conn:
        conn.sendall(records.pack("hello", address=RAW_PEER) + packed(1))
        node.wait_for(1)
        yield conn


def wait_until(condition):
    """Wait until another thread has made a condition true."""
    deadline, event = time.monotonic() + TIMEOUT_S, threading.Event()
    while not condition():
        assert time.monotonic() < deadline
        event.wait(0.005)


def packed(mark, release=None):
    """The record that a node sends for this mark to a peer of this release."""
    return records.CODEC.pack("ask", {"part": 0, "mark": mark, "held": 0, "staged": 0}, release)
