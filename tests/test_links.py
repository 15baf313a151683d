"""Idle connections are closed gracefully without losing records, and one thread serves any number of them."""

import dataclasses
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading

import pytest

import mothshed.transport.constants as transport_constants
import mothshed.transport.link as link_module
import mothshed.transport.records as records
import tests.peer_nodes as peer_nodes

ROOT = pathlib.Path(__file__).parent.parent


@pytest.fixture
def make_node():
    with peer_nodes.nodes() as make:
        yield make


def test_an_idle_connection_is_closed_gracefully_and_opened_again_by_the_next_record(make_node):
    clock = peer_nodes.Clock()
    one, two = make_node(clock), make_node(clock)
    one.send(two.address, 1)
    two.wait_for(1)
    clock.seconds += transport_constants.PEER_IDLE_TIMEOUT_S + 0.1
    peer_nodes.wait_until(lambda: one.links() == two.links() == 0)
    assert one.count("closed") + two.count("closed") == 2 and one.count("lost") + two.count("lost") == 0
    one.send(two.address, 2)
    two.wait_for(2)
    assert two.received == [(one.address, 1), (one.address, 2)]


def test_a_connection_in_use_stays_open(make_node):
    clock = peer_nodes.Clock()
    one, two = make_node(clock), make_node(clock)
    for mark in range(1, 6):
        one.send(two.address, mark)
        two.wait_for(mark)
        clock.seconds += transport_constants.PEER_IDLE_TIMEOUT_S * 0.75
        checked_at = one.loop.last_timeout_check
        peer_nodes.wait_until(lambda checked_at=checked_at: one.loop.last_timeout_check > checked_at)
    assert one.count("opened") == 1 and one.links() == 1


def test_a_record_sent_while_the_peer_closes_still_arrives(make_node):
    node = make_node()
    with peer_nodes.raw_peer(node) as conn:
        node.clock.seconds += transport_constants.PEER_IDLE_TIMEOUT_S + 0.1
        assert conn.recv(1) == b""  # the node has shut down its sending direction
        conn.sendall(peer_nodes.packed(2))
        node.wait_for(2)
        assert node.links() == 1  # it keeps reading until this side closes too
        conn.shutdown(socket.SHUT_WR)
        peer_nodes.wait_until(lambda: node.links() == 0)
    assert node.count("closed") == 1


def test_output_queued_when_the_peer_closes_is_still_sent(make_node):
    node = make_node()
    with peer_nodes.raw_peer(node) as conn:
        text = "x" * 4_000_000  # more than both socket buffers hold
        node.peers.send(peer_nodes.RAW_PEER, "paid", request=text, replica="i")
        conn.shutdown(socket.SHUT_WR)
        peer_nodes.wait_until(lambda: peer_nodes.RAW_PEER not in node.loop.table.by_peer)
        expected = records.pack("paid", request=text, replica="i")
        with conn.makefile("rb") as stream:
            assert stream.read() == expected
    peer_nodes.wait_until(lambda: node.links() == 0)
    assert node.count("closed") == 1 and node.count("lost") == 0


def test_two_sides_that_close_at_the_same_time_both_finish(make_node):
    clock = peer_nodes.Clock()
    one, two = make_node(clock), make_node(clock)
    one.send(two.address, 1)
    two.wait_for(1)
    two.send(one.address, 2)
    one.wait_for(1)
    with one.loop.table.lock, two.loop.table.lock:  # neither side sees the other's close before its own
        for node in (one, two):
            link = next(iter(node.loop.table.links))
            node.loop.table.stop_using(link)
            link.begin_close(clock())
    peer_nodes.wait_until(lambda: one.links() == two.links() == 0)
    assert one.count("lost") == two.count("lost") == 0


def test_a_peer_that_never_finishes_closing_times_out(make_node):
    node = make_node()
    with peer_nodes.raw_peer(node):
        node.clock.seconds += transport_constants.PEER_IDLE_TIMEOUT_S + 0.1
        peer_nodes.wait_until(lambda: not node.loop.table.by_peer)
        node.clock.seconds += transport_constants.PEER_ACK_TIMEOUT_S + 0.1
        peer_nodes.wait_until(lambda: node.links() == 0)
    assert node.count("lost") == 1


def test_stop_closes_every_connection(make_node):
    one, two = make_node(), make_node()
    one.send(two.address, 1)
    two.wait_for(1)
    one.peers.stop()
    peer_nodes.wait_until(lambda: two.links() == 0)
    with pytest.raises(OSError):
        socket.create_connection(link_module.parse_address(one.address), 5)


@dataclasses.dataclass
class Counts:
    """What a node in its own process had when its connections were closed."""

    links: int
    new_threads: list[str]
    descriptors_closed: int


def connect_nodes(count):
    """Connect `count` peers to a node and close them gracefully; returns the Counts."""
    with peer_nodes.nodes() as make:
        node = make()
        threads, conns = set(threading.enumerate()), []
        try:
            for number in range(count):
                conn = socket.create_connection(link_module.parse_address(node.address), 5)
                conn.sendall(
                    records.pack("hello", address=f"10.9.{number // 250}.{number % 250}:1") + peer_nodes.packed(number)
                )
                conns.append(conn)
            node.wait_for(count)
            for number in range(count):
                node.send(f"10.9.{number // 250}.{number % 250}:1", number)
            links, new_threads = node.links(), set(threading.enumerate()) - threads
            node.clock.seconds += transport_constants.PEER_IDLE_TIMEOUT_S + 0.1
            peer_nodes.wait_until(lambda: not node.loop.table.by_peer)
            descriptors = len(os.listdir("/proc/self/fd"))
            for conn in conns:
                conn.shutdown(socket.SHUT_WR)
            peer_nodes.wait_until(lambda: node.links() == 0)
            closed = descriptors - len(os.listdir("/proc/self/fd"))
        finally:
            for conn in conns:
                conn.close()
    return Counts(links, sorted(thread.name for thread in new_threads), closed)


def in_own_process(count):
    """The Counts from a separate process, which threads and sockets of other tests cannot disturb."""
    call = f"import tests.test_links as t; print(t.json.dumps(t.dataclasses.asdict(t.connect_nodes({count}))))"
    done = subprocess.run([sys.executable, "-c", call], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    return Counts(**json.loads(done.stdout))


@pytest.mark.parametrize("count", [50, 200, 400])
def test_the_number_of_threads_does_not_depend_on_the_number_of_connections(count):
    assert in_own_process(count) == Counts(links=count, new_threads=[], descriptors_closed=count)
