"""Each protection taken out: its rule must be seen to break, or its day proves nothing."""

import pytest

import tools.protections as protections


@pytest.mark.parametrize("name", list(protections.ROWS))
def test_without_it_the_rule_breaks(name):
    assert protections.find_breaking_seed(name) is not None
