"""Random framings, lengths and breaks of replicas under concurrent clients: only what is whole looks complete.

More seeds: MOTHSHED_FRAMING_SEEDS=200 python -m pytest tests/test_framing_walks.py
"""

import concurrent.futures
import dataclasses
import os
import random

import pytest

import tests.framed_replicas as framed
import tests.platform_site as platform_site

SEEDS = int(os.environ.get("MOTHSHED_FRAMING_SEEDS", "6"))
CLIENTS, REQUESTS = 6, 8  # clients at the same time, and requests of each
TRIES = 3
Framing, Run = framed.Framing, framed.Run
UNFIT = (  # what can't follow the head of a run
    {"content_type": "application/json"},
    {"status": 404},
    {"status": 206},
    {"headers": (("Content-Encoding", "gzip"),)},
)


def random_run(rng, number, may_be_unfit):
    """Return a run that may break off at any byte, and one that can't follow another run if that is allowed."""
    run = Run(rng.choice(list(Framing)), f"{number}{'w' * rng.randrange(30)}", split=rng.random() < 0.5)
    if may_be_unfit and rng.random() < 0.2:
        return dataclasses.replace(run, **rng.choice(UNFIT))
    if rng.random() < 0.6:
        whole = len(framed.body_of(run.words))
        event = len(framed.events_of(run.words)[0])
        run.break_after = rng.choice([rng.randrange(whole + 1), event * rng.randrange(framed.LAST_EVENT + 1)])
        run.reset = rng.random() < 0.3
    return run


def random_runs(rng):
    """Return the runs of one request, in turn; unfit ones only once the head of a stream is surely sent."""
    first = random_run(rng, 0, False)
    sends_event = first.break_after is None or first.break_after >= len(framed.events_of(first.words)[0])
    return [first, *(random_run(rng, n, sends_event and not first.reset) for n in range(1, TRIES))]


def is_unfit(run):
    """Whether a run can't follow a head that was sent."""
    return run.status != 200 or bool(run.headers) or run.content_type != "text/event-stream"


def shows_its_break(run, after):
    """Whether a router can tell that a run was broken off."""
    if run.break_after is None:
        return False
    if run.framing is Framing.CHUNKS or run.framing is Framing.CONNECTION and run.reset:
        return True
    is_cut = run.break_after < len(framed.body_of(run.words, after + 1))
    if run.framing is Framing.LENGTH:
        return is_cut
    return is_cut and run.break_after % len(framed.events_of(run.words)[0]) != 0


def check_stream(response, runs, starts, is_resumable):
    """Check one response. runs: that were sent, in turn; starts: for each the event after which it began."""
    if response.head.split()[1] != b"200":
        assert b"may_have_run" in response.body and shows_its_break(runs[len(starts) - 1], starts[-1])
        return
    parts, last = [], len(starts) - 1
    for number, after in enumerate(starts[:-1]):
        parts.append(framed.body_of(runs[number].words, after + 1, starts[number + 1]))
    begun = b"".join(parts)
    assert response.body.startswith(begun)
    rest = response.body.removeprefix(begun)
    possible = [
        framed.body_of(runs[last].words, starts[last] + 1, event)
        for event in range(starts[last], framed.LAST_EVENT + 1)
    ]
    is_broken = is_unfit(runs[last]) or shows_its_break(runs[last], starts[last])
    assert rest in possible and response.is_complete != is_broken
    if is_broken:  # it was not given up before its tries were used
        assert not is_resumable or len(starts) == TRIES
    elif runs[last].break_after is None:
        assert rest == possible[-1]


def check_response(response, runs, starts, is_resumable):
    """Check one response and that nothing follows it on its connection."""
    assert response.surplus == b""
    assert len(starts) <= (TRIES if is_resumable else 1)
    check_stream(response, runs, starts, is_resumable)
    if is_resumable:
        assert response.field("content-length") is None or response.head.split()[1] != b"200"


@pytest.mark.parametrize("seed", range(SEEDS))
def test_only_whole_streams_look_complete_in_a_random_walk_of_framings(seed):
    rng, site = random.Random(seed), platform_site.Site()
    try:
        is_resumable = rng.random() < 0.8
        host, replicas = site.service(
            "dddd", engine=False, kind="stream", resumable=is_resumable, tries=TRIES, facts={"berths": 64}
        )
        site.router.replicas.mark_failed = lambda name: None  # all breaks are the walk's; replicas stay in use
        scripts = {}
        framed.give_runs(replicas, lambda request_id, number: scripts[request_id][number])

        def use_client(client_seed):
            client_rng, client, seen = random.Random(f"{seed}/{client_seed}"), None, []
            for _request in range(REQUESTS):
                if client is None or not client.is_open:
                    client = framed.RawClient(site.address, client_rng.choice(["1.1", "1.1", "1.0"]))
                request_id = framed.new_request_id()
                scripts[request_id] = random_runs(client_rng)
                seen.append((request_id, client.ask(host, request_id)))
                if client.version == "1.0":
                    assert not client.is_open
            client.close()
            return seen

        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
            seen = [row for rows in pool.map(use_client, range(CLIENTS)) for row in rows]
        platform_site.wait_until(lambda: site.router.in_flight == 0)
        for request_id, response in seen:
            starts = [run["after"] for run in site.platform.ran(request_id)]
            try:
                check_response(response, scripts[request_id], starts, is_resumable)
            except AssertionError as error:
                raise AssertionError(f"{request_id}: {scripts[request_id]} began after {starts}: {response}") from error
    finally:
        site.stop()
