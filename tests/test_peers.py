"""Held connections on real sockets: both directions, renewal, and an early end to silence."""

import socket
import threading

import mothshed.common.constants as constants
import mothshed.common.peers as peers
import mothshed.common.records as records
import tools.fleet as fleet


def spot():
    return f"127.0.0.1:{fleet.free_port('127.0.0.1')}"


def listener(own):
    gate, marks = threading.Event(), []

    def hear(who, body):
        marks.append((who, body["mark"]))
        gate.set()

    own.hear("ask", 0, hear)
    return gate, marks


def test_one_connection_carries_records_both_ways():
    one, two = peers.Peers(spot()), peers.Peers(spot())
    try:
        up, down = listener(two), listener(one)
        one.tell(two.address, "ask", part=0, mark=1, held=0, staged=0)
        assert up[0].wait(10) and up[1] == [(one.address, 1)]
        held = one.peer(two.address).conn
        two.tell(one.address, "ask", part=0, mark=2, held=0, staged=0)
        assert down[0].wait(10) and down[1] == [(two.address, 2)]
        back = two.peer(one.address).conn
        assert back.getpeername() == held.getsockname()  # the answer came down the same connection
    finally:
        one.stop()
        two.stop()


def test_a_lost_connection_is_made_anew():
    one, two = peers.Peers(spot()), peers.Peers(spot())
    try:
        gate, marks = listener(two)
        one.tell(two.address, "ask", part=0, mark=1, held=0, staged=0)
        assert gate.wait(10)
        peers.shut(one.peer(two.address).conn)
        for mark in range(2, 400):  # what was under way may be lost; later ones are not
            gate.clear()
            one.tell(two.address, "ask", part=0, mark=mark, held=0, staged=0)
            if gate.wait(0.2):
                break
        assert marks[-1][1] > 1
    finally:
        one.stop()
        two.stop()


def test_silence_ends_a_connection_early_on_both_sides():
    own = peers.Peers(spot())
    try:
        gate, marks = listener(own)
        with socket.create_connection(peers.split(own.address), 5) as conn:
            conn.sendall(
                records.pack("hello", address="127.0.0.1:1") + records.pack("ask", part=0, mark=1, held=0, staged=0)
            )
            assert gate.wait(10)
            held = own.peer("127.0.0.1:1").conn
            for sock in (held, tuned(conn)):
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == constants.PEER_SILENT * 1000
                assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    finally:
        own.stop()


def tuned(conn):
    peers.tune(conn)
    return conn
