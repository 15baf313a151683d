"""The deployments that the stand-in fleets play: zones, machines, replicas, load and tenants."""

PLAIN_SERVICE = "slips"  # a service without a model, which every stand-in fleet has beside its models
PLAIN_REPLICA = "plain-1"  # its one replica; whatever orders it breaks a rule of the judge
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
