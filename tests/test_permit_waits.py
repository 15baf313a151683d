"""The time that a tenant over its limit is told to wait: its next token is there when it is over."""

import threading
import types

import pytest

import mothshed.control_plane.token_bucket as token_bucket
import mothshed.data_plane.permits as permits_module
import mothshed.replicas.leaders as leaders_module
import mothshed.replicas.verdict as verdict
import mothshed.runtime.journal as journal_module
import tests.all_orders as all_orders
import tests.permit_case as permit_case

ROW = {"rate_per_s": 0.5, "burst": 0}
SEQUENCE = 1


@pytest.fixture
def process():
    """A router whose permit requests the test answers."""
    pool = all_orders.Pool()
    environment = permit_case.Environment(pool, "r:1")
    leaders = leaders_module.Leaders(environment, lambda: ["k:1"])
    return types.SimpleNamespace(
        pool=pool, permits=permits_module.Permits(environment, leaders, journal_module.Journal())
    )


def answer(process, there_s, back_s, bucket):
    """Have the leader answer the waiting request; the messages take this long. Return its Rejection, or None."""
    outcome = []

    def take():
        try:
            process.permits.take(permit_case.TENANT, ROW, SEQUENCE, process.pool.time + 60.0)
            outcome.append(None)
        except verdict.Rejection as rejection:
            outcome.append(rejection)

    thread = threading.Thread(target=take)
    thread.start()
    while not any(kind == "permit_ask" for _goal, _sender, kind, _body in process.pool.waiting):
        if outcome:  # refused without asking
            thread.join()
            return outcome[0]
    (mark,) = [row[3]["mark"] for row in process.pool.waiting if row[2] == "permit_ask"][-1:]
    process.pool.waiting.clear()
    process.pool.time += there_s
    taken = bucket.take(1, process.pool.time)
    wait_s = 0.0 if taken else bucket.next_token_s(process.pool.time)
    process.pool.time += back_s
    process.permits.on_permits(
        "k:1",
        {
            "part": permit_case.PART,
            "mark": mark,
            "sequence": SEQUENCE,
            "grants": {permit_case.TENANT: (taken, wait_s)},
        },
    )
    thread.join()
    return outcome[0]


# Guards against 429 for a caller that waited as it was told: the time was counted from before the leader's answer.
@pytest.mark.parametrize("there_s, back_s", [(0.4, 0.0), (0.0, 0.4), (0.2, 0.2), (0.00033, 0.0)])
def test_a_caller_that_waits_as_it_was_told_gets_its_token(process, there_s, back_s):
    bucket = token_bucket.TokenBucket(0.5, 1.0, 0.0, process.pool.time)
    assert answer(process, there_s, back_s, bucket).status == 429
    process.pool.time += 0.1
    refused = answer(process, 0.0, 0.0, bucket)  # without asking the leader
    assert refused.status == 429
    process.pool.time += refused.retry_after_s
    assert answer(process, 0.0, 0.0, bucket) is None
