"""Trials on real processes, for what the load model does not include: memory, threads, sockets."""

import json
import os
import socket
import threading
import time

import mothshed.http.http_server as http_server
import mothshed.programs.environment as environment_module
import mothshed.runtime.timers as timers
import mothshed.transport.link as link
import mothshed.transport.peers as peers
import mothshed.transport.records as records


def memory_and_threads(pid="self"):
    """Return the resident KiB and the number of threads of a process."""
    with open(f"/proc/{pid}/status") as status_file:
        rows = dict(row.split(":", 1) for row in status_file)
    return int(rows["VmRSS"].split()[0]), int(rows["Threads"])


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def idle_router(replicas, tenants):
    """Measure the resident KiB of an idle router process after each step of its start."""
    bare = memory_and_threads()
    import mothshed.constants as constants
    import mothshed.data_plane.router as router_module
    import mothshed.programs.daemon_flags  # noqa: F401 (included in the memory: the program imports it as well)
    import tools.load_model.design as design  # imported after the first measurement
    import tools.load_model.protocol as protocol_module

    loaded = memory_and_threads()
    address, http = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    own_peers = peers.Peers(address)
    environment = environment_module.Environment(timers.Timers(), own_peers, address)
    protocol = protocol_module.ModelProtocol()
    router = router_module.Router(
        environment, {"name": "r", "cell": "a", "seeds": [], "list_url": "http://127.0.0.1:1", "http": http}, protocol
    )
    built = memory_and_threads()
    server = router.front()
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    ready = http_server.Server(
        f"127.0.0.1:{free_port()}", lambda environ, start: [], constants.READINESS_SERVER_THREADS
    )
    ready.prepare()
    time.sleep(0.5)
    served = memory_and_threads()
    size = design.Size(replicas=replicas, tenants=tenants)
    rows = design.rows(size)
    router.replicas.update_list(rows)
    listed = memory_and_threads()
    text = json.dumps(design.document(size))
    for sequence in (1, 2):  # the active document and a staged one
        router.lease.docs[sequence] = json.loads(text)
    held = memory_and_threads()
    return {
        "bare": bare[0],
        "imports": loaded[0],
        "parts": built[0],
        "front": served[0],
        "list": listed[0],
        "documents": held[0],
        "threads": held[1],
    }


def connections(count):
    """Measure the resident KiB and threads of a process with real connections to count peers."""
    address = f"127.0.0.1:{free_port()}"
    own_peers = peers.Peers(address)
    received = []
    own_peers.subscribe("paid", None, lambda sender, body: received.append(sender))
    before = memory_and_threads()
    open_connections = []
    for at in range(count):
        connection = socket.create_connection(link.parse_address(address))
        connection.sendall(
            records.pack("hello", address=f"10.9.{at // 250}.{at % 250}:1")
            + records.pack("paid", request="r" * 40, replica="i-1")
        )
        open_connections.append(connection)
    deadline = time.monotonic() + 20
    while len(received) < count and time.monotonic() < deadline:
        time.sleep(0.02)
    for sender in list(own_peers.loop.table.by_peer):
        own_peers.send(sender, "paid", request="r" * 40, replica="i-1")
    time.sleep(0.3)
    after = memory_and_threads()
    files = len(os.listdir("/proc/self/fd")) - count  # without the client ends of this trial
    return {
        "resident KiB": after[0] - before[0],
        "threads": after[1] - before[1],
        "files": files,
        "heard": len(received),
    }


def records_between(body_bytes, duration_s=1.5):
    """Measure the processor time of a record between two real sockets, for both ends together."""
    ends = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    shared_timers, event = timers.Timers(), threading.Event()
    environments = [environment_module.Environment(shared_timers, peers.Peers(at), at) for at in ends]
    text = "r" * body_bytes
    environments[1].subscribe(
        "paid", lambda sender, body: environments[1].send(sender, "paid", request=text, replica="i")
    )
    environments[0].subscribe("paid", lambda sender, body: event.set())

    def once():
        event.clear()
        environments[0].send(ends[1], "paid", request=text, replica="i")
        if not event.wait(5):
            raise RuntimeError("a record was lost on the loopback interface")

    for _ in range(20):
        once()
    started_at, count, deadline = time.process_time(), 0, time.monotonic() + duration_s
    while time.monotonic() < deadline:
        once()
        count += 1
    # a round trip is two records, each sent and received once
    return {
        "processor a record": (time.process_time() - started_at) / count / 2,
        "records": 2 * count,
        "record bytes": len(records.pack("paid", request=text, replica="i")),
    }
