"""A valid configuration that keepers take into their log but can't send to each other: see claim.txt."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness

ROUTES = 15500
ACK_S = 4.0 + 0.003 * ROUTES  # `ack_ms`, and 3 ms more for each route
READ_BACK_S = 20.0  # `contact_ms` is 3 s


def second_configuration():
    """Return the second configuration: valid, and within `parcel_bytes` of the caps."""
    routes = [harness.route("first")]
    if harness.trouble():
        names = (f"የመድኃኒት ቤት መንገድ ሪፊል ክለሳ {number}" for number in range(ROUTES))
        routes += [harness.route(f"later-{number}") | {"name": name} for number, name in enumerate(names)]
    data = json.dumps(harness.configuration(2, routes), separators=(",", ":"), ensure_ascii=False).encode()
    assert len(data) <= harness.CAPS["parcel_bytes"]
    return data


def main():
    """Run the case; return the exit code."""
    fleet = harness.Fleet()
    try:
        for leg in ("prefill", "decode", "decode"):
            fleet.add_replica("main", leg)
        fleet.start()
        first = json.dumps(harness.configuration(1, [harness.route("first")])).encode()
        taken = fleet.operator("PUT", first, 0, 20.0)[0] == 200
        if not taken or not harness.wait_served(fleet, "route-1", "first.example"):
            return 2
        second = second_configuration()
        fleet.record.add(f"the second configuration has {len(second)} bytes")
        status = fleet.operator("PUT", second, 1, ACK_S, silence_s=5.0)[0]
        fleet.record.add(f"the second configuration was answered {status}")
        end, read, served = time.monotonic() + READ_BACK_S, (0, b""), False
        while time.monotonic() < end and not (read[0] == 200 and served):
            read = fleet.operator("GET", for_s=4.0, silence_s=4.0) if read[0] != 200 else read
            served = harness.ask(fleet, "route-1", "first.example")[1] == 200 or served
        edition = json.loads(read[1])["edition"] if read[0] == 200 else None
        fleet.record.add(f"read back: status {read[0]}, edition {edition}; a request was served: {served}")
        acknowledged = 2 if status == 200 else 1
        return 0 if read[0] == 200 and edition >= acknowledged else 1
    finally:
        fleet.stop(pathlib.Path(__file__).parent)


if __name__ == "__main__":
    sys.exit(harness.run(main))
