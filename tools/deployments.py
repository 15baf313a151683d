"""The deployments of the stand-in fleets: zones, machines, replicas, load and tenants."""

PLAIN_SERVICE = "slips"  # a service without a model that every stand-in fleet has in addition
PLAIN_REPLICA = "plain-1"  # its one replica; the checker reports any order to it
PLAIN_POOL = {"selector": {"app": PLAIN_SERVICE}, "split": False}

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
