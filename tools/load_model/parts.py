"""Trials on single components, where a whole fleet would be too slow or would hide their cost."""

import gc
import json
import time
import tracemalloc

import mothshed.constants as constants
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.load_leader_task as load_leader_task
import mothshed.data_plane.route_front as route_front
import mothshed.http.response_head as response_head
import mothshed.replicas.replica_load as replica_load
import mothshed.storage.disk_log as disk_log
import mothshed.transport.constants as transport_constants
import mothshed.transport.records as records
import tools.load_model.design as design
import tools.load_model.fleet as fleet_module
import tools.simulator.environment as environment_module


def mean_processor_s(call, min_total_s=0.3):
    """Return the mean processor seconds of a call, over at least min_total_s of calls."""
    started_at, count = time.process_time(), 0
    while time.process_time() - started_at < min_total_s:
        call()
        count += 1
    return (time.process_time() - started_at) / count


def measure_memory(build):
    """Return (the result of build(), the bytes of memory that Python holds for it)."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, after - before


class OfflineEnvironment:
    """An environment without a network: time is constant, sent records are packed and counted."""

    address = "10.1.0.1:70"

    def __init__(self):
        self.records = self.bytes = 0

    def now(self):
        return 1000.0

    def subscribe(self, kind, call, part=None):
        pass

    def send(self, destination, kind, **body):
        self.records += 1
        self.bytes += len(records.pack(kind, **body))


class StubMember:
    is_leader, part = True, 1

    def __init__(self):
        self.environment = OfflineEnvironment()


def load_reports(routers, size=None):
    """Measure the cost of one load report for the leader of a service part, by the number of routers."""
    size = size or design.Size(requests=design.REQUESTS_S / design.NODES)
    member = StubMember()
    load_task = load_leader_task.LoadLeaderTask(member)
    rng = design.seeded_random("usage", routers)
    names = [n for n, row in design.rows(size).items() if row["role"] == "decode"]
    names = names[:: constants.PART_COUNT - 1]  # the replicas of one part
    part_size = design.Size(requests=size.requests / (constants.PART_COUNT - 1))
    bodies = {
        f"10.2.0.{at}:70": {
            "rows": {
                n: replica_load.ReplicaLoad(count).to_wire()
                for n, count in design.draw_running(part_size, rng, names, names).items()
            },
            "mark": 1,
        }
        for at in range(routers)
    }
    for sender, body in bodies.items():
        load_task.reports.record(sender, replica_load.from_wire(body["rows"]))
    sender, body = next(iter(bodies.items()))
    report_s = mean_processor_s(lambda: load_task.on_usage(sender, body))
    report_bytes = len(records.pack("usage", part=1, mark=1, rows=body["rows"]))
    return {
        "processor a report": report_s,
        "report bytes": report_bytes,
        "sums bytes": member.environment.bytes / member.environment.records,
        "rows a report": sum(len(b["rows"]) for b in bodies.values()) / routers,
    }


def documents(tenants):
    """Measure the size of a configuration document on the wire, in memory and in the state of a keeper."""
    size = design.Size(tenants=tenants)
    doc = design.document(size)
    text = json.dumps(doc, separators=(",", ":"))
    parsed, memory = measure_memory(lambda: json.loads(text))
    row = {"doc": doc, "by": "operator", "id": "0" * 32}
    news = dict(part=0, number=1, active=1, docs=[[2, doc]])
    data = records.pack("news", **news)
    machine = config_machine.ConfigMachine()
    for at in range(2 * constants.MAX_HISTORY_DOCUMENTS):
        machine.apply(0, {"op": "stage", "base": at, **row, "id": f"order {at}"})
        machine.apply(0, {"op": "activate", "sequence": at + 1})
    snapshot_bytes = design.json_bytes(machine.dump())
    append_bytes = (
        constants.MAX_APPEND_ENTRIES
        // 2
        * design.json_bytes([{"i": 1, "t": 1, "c": {"op": "stage", **row, "base": 1}}])
    )
    return {
        "document bytes": len(text),
        "news bytes": len(data),
        "memory": memory,
        "pack": mean_processor_s(lambda: records.pack("news", **news)),
        "unpack": mean_processor_s(lambda: records.CODEC.unpack(data)),
        "snapshot bytes": snapshot_bytes,
        "largest append bytes": append_bytes,
        "record most": transport_constants.MAX_RECORD_BYTES,
    }


def keeper_log(changes):
    """Measure the memory and disk space of a keeper's log, by the number of changes."""

    class Machine:
        name = "keep"

        def freeze(self, span):
            pass

    disk = environment_module.SimDisk(None, Machine())
    log = disk_log.PartLog(disk, 0)
    text = json.dumps(design.document(design.Size()))

    def fill():
        for at in range(changes):
            doc = json.loads(text)
            log.put([{"i": 2 * at + 1, "t": 1, "c": {"op": "stage", "base": at, "doc": doc, "by": "", "id": str(at)}}])
            log.put([{"i": 2 * at + 2, "t": 1, "c": {"op": "activate", "sequence": at + 1}}])

    memory = measure_memory(fill)[1] - disk.size()  # the simulated disk is in memory
    return {"memory": memory, "disk bytes": disk.size()}


class ModelReply:
    """A complete response of a replica: a head, then single events."""

    status, reason, headers = 200, "OK", {"Content-Type": "text/event-stream"}
    framing = response_head.Framing.CHUNKS

    def __init__(self, events):
        self.events = events

    def pieces(self):
        for at in range(self.events):
            yield b'id: %d\ndata: {"token":" word"}\n\n' % (at + 1)

    def set_timeout(self, span):
        pass

    def close(self):
        pass


class AnsweringProtocol:
    """Answers every request at once; the cost of the platform's formats is not included."""

    def __init__(self, events, inner):
        self.events, self.inner = events, inner

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def prefill(self, environment, ask, place, left, read, ready, urgency, on_silence):
        ready()
        return None  # the decode replica prefills for itself, so no handle needs a release

    def decode(self, environment, ask, place, handle, left, read, ready, after, urgency, recent_only, on_silence):
        ready()
        return ModelReply(self.events)


def requests(replicas, events=0):
    """Measure the processor time of one request, from the front's call to the end of the body, without sockets."""
    size = design.Size(routers=2, replicas=replicas)
    fleet = fleet_module.ModelFleet("requests", size).ready()
    router = fleet.routers()[0]
    router.replica_protocol = AnsweringProtocol(events, router.replica_protocol)
    app = route_front.RouteFront(router)
    environ = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/v1/answers/",
        "mothshed.headers": {"Host": "tenant-007.fleet.example", "X-Id": "t-1"},
    }
    count = [0, 0]

    def run_request():
        response = app(environ, lambda status, headers: count.__setitem__(0, count[0] + status.startswith("200")))
        for _event in response:
            count[1] += 1
        if hasattr(response, "close"):
            response.close()

    request_s = mean_processor_s(run_request)
    if count[1] < count[0] * max(1, events):
        raise RuntimeError("a modelled request did not get a complete answer")
    ask = route_front.RoutedRequest(
        "t",
        "POST",
        "tenant-007.fleet.example",
        "/v1/answers/",
        {},
        b"",
        [("5c1e", 800), ("91bd", 3200)],
        4000,
        None,
        fleet.loop.time,
        fleet.loop.time + 8,
        router.lease.document()["routes"][7],
    )
    sequence, document = router.lease.sequence(), router.lease.document()

    def place():
        pair = router.placement.reserve_pair(sequence, document, design.model(7), ask)
        router.placement.finish_prefill(pair)
        router.replicas.request_ended(pair.decode_replica.name)

    return {"request": request_s, "placing": mean_processor_s(place), "answered": count[0] > 0}
