"""Once a protection is removed, its rule must break; otherwise its scenario proves nothing."""

import pytest

import tools.protections as protections


@pytest.mark.parametrize("name", list(protections.ROWS))
def test_removing_a_protection_breaks_its_rule(name):
    assert protections.find_breaking_seed(name) is not None
