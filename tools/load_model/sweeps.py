"""The sweeps: their trials and sizes, and the slopes that are fitted to their figures."""

ROUTER_LOAD_RPS = 30.0  # requests per second and router: 12,000 over 400 routers
FULL = {
    "routers": ("trials", "steady", [{"size": {"routers": n}} for n in (50, 100, 200, 400)]),
    "replicas": (
        "trials",
        "steady",
        [{"size": {"routers": 12, "replicas": n, "requests": ROUTER_LOAD_RPS}} for n in (100, 200, 400, 770)],
    ),
    "requests": ("trials", "steady", [{"size": {"routers": 12, "requests": n}} for n in (5.0, 10.0, 20.0, 30.0)]),
    "tenants": ("parts", "documents", [{"tenants": n} for n in (30, 60, 120, 240)]),
    "reports": ("parts", "load_reports", [{"routers": n} for n in (50, 100, 200, 400)]),
    "changes": ("parts", "keeper_log", [{"changes": n} for n in (8, 16, 32, 64)]),
    "placing": ("parts", "requests", [{"replicas": n} for n in (100, 200, 400, 770)]),
    "events": ("parts", "requests", [{"replicas": 100, "events": n} for n in (1, 64, 128, 256)]),
    "connections": ("real", "connections", [{"count": n} for n in (50, 100, 200, 400)]),
    "record bytes": ("real", "records_between", [{"body_bytes": n} for n in (100, 5000, 20000, 60000)]),
    "idle": ("real", "idle_router", [{"replicas": 770, "tenants": 240}]),
    "cuts": (
        "trials",
        "region_cut",
        [
            {"whose": "south"},
            {"whose": "leader"},
            {"whose": "south", "shared": True},
            {"whose": "north", "shared": True},
        ],
    ),
}
SMALL = {
    "routers": (
        "trials",
        "steady",
        [{"size": {"routers": n, "replicas": 42, "models": 3, "tenants": 6}} for n in (15, 20, 30, 40)],
    ),
    "replicas": (
        "trials",
        "steady",
        [
            {"size": {"routers": 4, "replicas": n, "models": 3, "tenants": 6, "requests": ROUTER_LOAD_RPS}}
            for n in (12, 24, 36, 48)
        ],
    ),
    "tenants": ("parts", "documents", [{"tenants": n} for n in (10, 20, 30, 40)]),
    "cuts": ("trials", "region_cut", [{"whose": "south", "routers": 9}]),
}
# value of each sweep at the design size; a log holds 128 changes between snapshots and 32 behind
# the last one, which itself holds 32 older documents
DESIGN = {
    "routers": 400,
    "replicas": 770,
    "requests": ROUTER_LOAD_RPS,
    "tenants": 240,
    "reports": 400,
    "changes": 192,
    "placing": 770,
    "events": 258,
    "connections": 402,
    "record bytes": 100,
}
# (figure, sweep, path in the figures of a trial, unit)
SLOPES = [
    ("router: records sent a second", "routers", ("router", "sent records"), "a second"),
    ("router: gossip bytes sent", "routers", ("router", "sent bytes, gossip"), "B/s"),
    ("router: gossip processor", "routers", ("router", "processor, gossip"), "core"),
    ("router: list processor", "routers", ("router", "processor, list"), "core"),
    ("router: memory of its state", "routers", ("state", "resident bytes a router"), "B"),
    ("routers counted by each", "routers", ("state", "routers counted"), "routers"),
    ("leader: lease asks a second", "routers", ("state", "asks at the leader"), "a second"),
    (
        "keepers: configuration and agreement processor",
        "routers",
        ("keepers", "processor, configuration and agreement"),
        "core",
    ),
    ("keepers: gossip processor", "routers", ("keepers", "processor, gossip"), "core"),
    ("list pages asked, all nodes", "routers", ("state", "list pages asked"), "a second"),
    ("change: bytes the keepers send", "routers", ("change", "keepers sent bytes"), "B"),
    ("change: keepers' processor", "routers", ("change", "keepers processor"), "s"),
    ("change: lease asks while it lasts", "routers", ("change", "asks"), "records"),
    ("change: in force everywhere after", "routers", ("change", "in force after"), "simulated s"),
    ("change: routers with a lease at the worst moment", "routers", ("change", "least leased"), "routers"),
    ("router: list bytes got", "replicas", ("router", "got bytes, list"), "B/s"),
    ("router: list processor", "replicas", ("router", "processor, list"), "core"),
    ("router: gossip processor", "replicas", ("router", "processor, gossip"), "core"),
    ("router: usage processor", "replicas", ("router", "processor, usage"), "core"),
    ("router: usage bytes got", "replicas", ("router", "got bytes, usage"), "B/s"),
    ("keepers: order duty processor", "replicas", ("keepers", "processor, order duty"), "core"),
    ("router: usage bytes sent", "requests", ("router", "sent bytes, usage duty"), "B/s"),
    ("router: usage bytes got", "requests", ("router", "got bytes, usage"), "B/s"),
    ("document: bytes", "tenants", ("document bytes",), "B"),
    ("document: memory", "tenants", ("memory",), "B"),
    ("document: packing", "tenants", ("pack",), "s"),
    ("document: unpacking", "tenants", ("unpack",), "s"),
    ("configuration snapshot: bytes", "tenants", ("snapshot bytes",), "B"),
    ("largest append: bytes", "tenants", ("largest append bytes",), "B"),
    ("usage leader: processor a report", "reports", ("processor a report",), "s"),
    ("keeper: memory of the log", "changes", ("memory",), "B"),
    ("keeper: disk of the log", "changes", ("disk bytes",), "B"),
    ("router: processor a request, no events", "placing", ("request",), "s"),
    ("router: processor of placing", "placing", ("placing",), "s"),
    ("router: processor a request by events", "events", ("request",), "s"),
    ("process: memory by connections", "connections", ("resident KiB",), "KiB"),
    ("process: threads by connections", "connections", ("threads",), "threads"),
    ("record on a real socket, both ends: processor", "record bytes", ("processor a record",), "s"),
]


def varied_value(arguments):
    """Return the argument that varies between the trials of a sweep."""
    if "size" not in arguments:
        return next(n for k, n in arguments.items() if k != "replicas" or len(arguments) == 1)
    size = arguments["size"]
    return size["routers"] if "requests" not in size else size["replicas"] if "replicas" in size else size["requests"]


def points(results, sweep, path):
    rows = []
    for arguments, figures in results[sweep]:
        if sweep == "events":
            rows.append((arguments["events"], figures[path[0]]))
            continue
        for key in path:
            figures = figures[key]
        rows.append((varied_value(arguments), figures))
    return rows
