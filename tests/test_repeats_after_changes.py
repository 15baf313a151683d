"""Requests that may have run when their route changes: the newest document decides whether they are sent again."""

import pytest

import tests.framed_replicas as framed
import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def change_route_at_first_run(site, host, replicas, run, **changes):
    """Have the first run break off as given, once the route of its host was changed."""
    framed.give_runs(replicas, lambda request_id, number: run if not number else framed.Run(words="again"))
    (route,) = [row for row in site.lease.said["itineraries"] if row["host"] == host]

    for replica in replicas:

        def change_and_run(conn, request, fault, headers, usual_run=replica.run):
            if platform_site.request_count(replicas) == 1:
                site.lease.change([{**route, **changes}], without=[route["name"]])
            return usual_run(conn, request, fault, headers)

        replica.run = change_and_run


# Guards against a second run of a request whose route allowed repeats when it was sent, and no longer does.
@pytest.mark.parametrize("changes", [{"resumable": False}, {"kind": "once_only", "resumable": False}], ids=str)
@pytest.mark.parametrize("delivered", [0, 1])
def test_a_stream_is_not_sent_again_once_its_route_allows_no_repeat(site, changes, delivered):
    host, replicas = site.service("ddd", engine=False, kind="stream", resumable=True, tries=3)
    run = framed.Run(break_after=delivered * len(framed.events_of("word")[0]))
    change_route_at_first_run(site, host, replicas, run, **changes)
    request_id, response = framed.ask(site, host)
    assert len(site.platform.ran(request_id)) == 1
    if delivered:
        assert response.body == framed.body_of("word", last=1) and not response.is_complete
    else:
        assert response.head.split()[1] == b"502" and b"may_have_run" in response.body


def test_a_safe_request_is_not_sent_again_once_its_route_allows_no_repeat(site):
    host, replicas = site.service("dd", engine=False, kind="repeatable", tries=2)
    change_route_at_first_run(site, host, replicas, framed.Run(break_after=0), kind="once_only")
    request_id, response = framed.ask(site, host)
    assert len(site.platform.ran(request_id)) == 1 and response.head.split()[1] == b"502"


def test_a_stream_goes_on_if_its_route_still_allows_repeats(site):
    host, replicas = site.service("dd", engine=False, kind="stream", resumable=True, tries=2)
    run = framed.Run(break_after=len(framed.events_of("word")[0]))
    change_route_at_first_run(site, host, replicas, run, deadline_ms=3000)
    _id, response = framed.ask(site, host)
    assert response.is_complete
    assert response.body == framed.body_of("word", last=1) + framed.body_of("again", first=2)
