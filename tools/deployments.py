"""The deployments that the stand-in fleets play: zones, machines, replicas, load and tenants."""

DEPLOYMENTS = {
    "patinetes": {
        "zones": ["mx-a", "mx-b", "mx-c"],
        "machines": 10,
        "disks": 3,
        "replicas": 5,
        "rate": 8.0,
        "model": "shift-notes",
        "tenants": ["dispatch", "repair", "riders"],
    },
    "tesfaye": {
        "zones": ["aa-1", "aa-2", "aa-3", "aa-4"],
        "machines": 12,
        "disks": 3,
        "replicas": 9,
        "rate": 16.0,
        "model": "refill-check",
        "tenants": ["pharmacist", "counter", "assistant"],
    },
}
