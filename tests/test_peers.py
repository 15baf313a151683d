"""Records on real sockets: both directions, order, large records, reconnecting, and unreachable peers."""

import socket
import threading

import pytest

import mothshed.transport.constants as transport_constants
import mothshed.transport.link as link_module
import mothshed.transport.records as records
import tests.peer_nodes as peer_nodes
import tools.fleet as fleet


@pytest.fixture
def make_node():
    with peer_nodes.nodes() as make:
        yield make


def test_one_connection_carries_records_both_ways(make_node):
    one, two = make_node(), make_node()
    one.send(two.address, 1)
    two.wait_for(1)
    two.send(one.address, 2)
    one.wait_for(1)
    assert two.received == [(one.address, 1)] and one.received == [(two.address, 2)]
    existing = one.loop.table.by_peer[two.address].sock
    assert two.loop.table.by_peer[one.address].sock.getpeername() == existing.getsockname()
    assert one.links() == two.links() == 1


def test_records_arrive_in_the_order_they_were_sent(make_node):
    one, two = make_node(), make_node()
    for mark in range(300):
        one.send(two.address, mark)
    two.wait_for(300)
    assert [mark for _, mark in two.received] == list(range(300))


def test_a_record_larger_than_the_socket_buffer_is_sent_in_pieces(make_node):
    one, two = make_node(), make_node()
    text, received = "x" * 4_000_000, threading.Event()
    two.peers.subscribe("paid", None, lambda sender, body: received.set() if body["request"] == text else None)
    one.peers.send(two.address, "paid", request=text, replica="i")
    one.send(two.address, 7)
    two.wait_for(1)
    assert received.is_set()


def test_a_lost_connection_is_opened_again(make_node):
    one, two = make_node(), make_node()
    one.send(two.address, 1)
    two.wait_for(1)
    two.loop.table.by_peer[one.address].sock.shutdown(socket.SHUT_RDWR)
    peer_nodes.wait_until(lambda: one.links() == 0)
    one.send(two.address, 2)
    two.wait_for(2)
    assert one.count("opened") == 2


def test_both_sides_set_the_socket_options_that_detect_a_silent_peer(make_node):
    node = make_node()
    with socket.create_connection(link_module.parse_address(node.address), 5) as conn:
        conn.sendall(records.pack("hello", address="127.0.0.1:1") + peer_nodes.packed(1))
        node.wait_for(1)
        existing = node.loop.table.by_peer["127.0.0.1:1"].sock
        link_module.set_socket_options(conn)
        for sock in (existing, conn):
            assert (
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                == transport_constants.PEER_ACK_TIMEOUT_S * 1000
            )
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1


def test_an_unreachable_peer_is_not_retried_for_each_record(make_node):
    node = make_node()
    gone = f"127.0.0.1:{fleet.free_port('127.0.0.1')}"
    node.send(gone, 1)
    peer_nodes.wait_until(lambda: node.links() == 0)
    for mark in range(10):
        node.send(gone, mark)
    assert node.count("opened") == 1 and node.count("dropped") == 10
    node.clock.seconds += transport_constants.PEER_RETRY_DELAY_S + 0.01
    node.send(gone, 11)
    assert node.count("opened") == 2


def test_a_connect_without_response_times_out(make_node):
    node = make_node()
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        address = f"127.0.0.1:{full.getsockname()[1]}"
        waiting = [socket.socket() for _ in range(3)]  # fill the backlog of a listener that accepts nothing
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        node.send(address, 1)
        assert address in node.loop.table.by_peer
        node.clock.seconds += transport_constants.PEER_CONNECT_TIMEOUT_S + 0.1
        peer_nodes.wait_until(lambda: node.links() == 0)
        for sock in waiting:
            sock.close()
    assert node.count("connect_failed") == 1


def test_a_restarted_peer_is_reached_by_its_new_connection(make_node):
    node = make_node()
    address = ("127.0.0.1", int(node.address.rsplit(":", 1)[1]))
    with socket.create_connection(address, 5) as former, socket.create_connection(address, 5) as latter:
        former.sendall(records.pack("hello", address="127.0.0.1:1") + peer_nodes.packed(1))
        node.wait_for(1)
        latter.sendall(records.pack("hello", address="127.0.0.1:1") + peer_nodes.packed(2))
        node.wait_for(2)
        node.send("127.0.0.1:1", 3)
        latter.settimeout(peer_nodes.TIMEOUT_S)
        assert latter.recv(1000) == peer_nodes.packed(3, 0)


def test_an_exception_in_a_receiver_stops_neither_the_connection_nor_the_thread(make_node):
    node = make_node()
    node.peers.subscribe("paid", None, lambda sender, body: 1 / 0)
    with socket.create_connection(link_module.parse_address(node.address), 5) as conn:
        rejected_record = records.pack("paid", request="r", replica="i")
        conn.sendall(records.pack("hello", address="127.0.0.1:1") + rejected_record + peer_nodes.packed(1))
        node.wait_for(1)
    assert node.count("record_fault") == 0


def test_a_record_for_several_peers_is_packed_once_and_reaches_each(make_node, monkeypatch):
    one, others = make_node(), [make_node() for _ in range(3)]
    packed, real = [], records.Codec.pack

    def pack(codec, name, body, release=None):
        packed.append(name)
        return real(codec, name, body, release)

    monkeypatch.setattr(records.Codec, "pack", pack)
    one.peers.send_to_each([node.address for node in (one, *others)], "ask", part=0, mark=5, held=0, staged=0)
    for node in (one, *others):
        node.wait_for(1)
        assert node.received == [(one.address, 5)]
    assert packed.count("ask") == 1
