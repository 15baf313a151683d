"""Updates of the list of replicas, beside threads that place requests."""

import threading

import pytest

import mothshed.replicas.known_replicas as known_replicas
import tests.test_delivery_placing as placing

READERS = {
    "usable": lambda replicas: replicas.usable({"service": "s"}, "decode"),
    "endpoint": lambda replicas: [replicas.endpoint(name) for name in list(replicas.rows) if name == "d2"],
}


# Guards against "internal fault" (a KeyError) for requests that are placed just while a replica is listed.
@pytest.mark.parametrize("reader", READERS)
def test_a_replica_that_is_being_listed_is_seen_with_its_condition_or_not_at_all(monkeypatch, reader):
    placement, _pool = placing.make_placement(["d1"])
    replicas, failures, threads = placement.replicas, [], []
    usual_update = known_replicas.Replicas.update_list

    def read():
        try:
            READERS[reader](replicas)
        except KeyError as error:
            failures.append(error)

    def update_and_read(self, rows):
        usual_update(self, rows)
        threads.append(threading.Thread(target=read))
        threads[0].start()
        threads[0].join(0.2)  # the reader either runs now, or waits until the update is done

    monkeypatch.setattr(known_replicas.Replicas, "update_list", update_and_read)
    replicas.update_list({**replicas.rows, "d2": replicas.rows["d1"]})
    threads[0].join(5)
    assert failures == [] and replicas.endpoint("d2").name == "d2"


class RowsWithSuccesses(dict):
    """Rows of a list during whose use a request at a replica succeeds, in another thread."""

    def __init__(self, rows, replicas):
        super().__init__(rows)
        self.replicas, self.threads = replicas, []

    def __contains__(self, name):
        if self.replicas.consecutive_failures and not self.threads:
            self.threads.append(threading.Thread(target=self.replicas.mark_succeeded, args=("d1",)))
            self.threads[0].start()
            self.threads[0].join(0.2)  # it either runs now, or waits until the update is done
        return super().__contains__(name)


# Guards against a list update that ends with RuntimeError because a request succeeds meanwhile.
def test_a_request_may_succeed_while_the_list_is_updated():
    placement, _pool = placing.make_placement(["d1", "d2", "d3"])
    replicas = placement.replicas
    for name in ("d1", "d2", "d3"):
        replicas.mark_failed(name)
    replicas.conditions.clear()
    rows = RowsWithSuccesses(replicas.rows, replicas)
    replicas.update_list(rows)
    rows.threads[0].join(5)
    assert sorted(replicas.consecutive_failures) == ["d2", "d3"]
