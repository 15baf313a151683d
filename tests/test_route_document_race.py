"""A request is routed by one document, also if another thread applies the next one between two of its steps."""

import pytest

import tests.platform_site as platform_site


class OvertakenLease(platform_site.Lease):
    """Once armed, the next document comes into force after the lease was read a given number of times."""

    reads_left = 0

    def arm(self, reads, change):
        self.reads_left, self.overtake = reads, change

    def count_read(self):
        if self.reads_left:
            self.reads_left -= 1
            if not self.reads_left:
                self.overtake()

    def sequence(self):
        found = super().sequence()
        self.count_read()
        return found

    def current(self):
        found = self.form  # a consistent pair, as of the real lease
        self.count_read()
        return found


@pytest.fixture
def site():
    found = platform_site.Site()
    found.lease.__class__ = OvertakenLease
    yield found
    found.stop()


@pytest.mark.parametrize("reads", [1, 2, 3])
def test_a_request_overtaken_by_a_new_document_goes_to_the_new_service(site, reads):
    host, old_replicas = site.service("pd")
    other_host, new_replicas = site.service("pd")
    old_name, new_name = host.partition(".")[0], other_host.partition(".")[0]
    assert site.ask(host)[1].status == 200  # the route table of this document is now cached
    served = platform_site.request_count(old_replicas)
    row = next(row for row in site.lease.said["itineraries"] if row["host"] == host)

    def move_route():
        """Move the route to the other service, and remove its former pool."""
        depots = [row for row in site.lease.said["depots"] if row["name"] != old_name]
        site.lease.said = {**site.lease.said, "depots": depots}
        site.lease.change([{**row, "depot": new_name}], without=[row["name"]])

    site.lease.arm(reads, move_route)
    assert site.ask(host)[1].status == 200
    assert site.lease.reads_left == 0
    assert (platform_site.request_count(old_replicas), platform_site.request_count(new_replicas)) == (served, 2)
