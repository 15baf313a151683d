"""The index of prefix caches under the threads of many requests."""

import sys
import threading

import pytest

import mothshed.constants as constants
import mothshed.data_plane.prefix_cache as prefix_cache

ROUNDS = 3000


@pytest.fixture
def frequent_switches():
    usual = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(usual)


# Guards against 502 "internal fault" for a request whose parts are recorded while another one's prefill fails.
def test_parts_may_be_recorded_and_forgotten_at_the_same_time(monkeypatch, frequent_switches):
    monkeypatch.setattr(constants, "MAX_KNOWN_PROMPT_PARTS", 40)
    index, failures = prefix_cache.PrefixCacheIndex(), []

    def run(call):
        try:
            for number in range(ROUNDS):
                call(number)
        except (KeyError, RuntimeError) as error:
            failures.append(error)

    calls = [
        lambda number: index.add(f"r{number % 3}", [(str(number % 50), 10), (str(number % 7), 10)]),
        lambda number: index.forget(f"r{number % 3}"),
        lambda number: index.cached_tokens(f"r{number % 3}", [(str(number % 50), 10)]),
    ]
    threads = [threading.Thread(target=run, args=(call,)) for call in calls * 2]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert failures == []
