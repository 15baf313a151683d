"""Assignment of services to the parts of the control plane."""

import mothshed.constants as constants


def part_of(service, parts=constants.PART_COUNT):
    """The part responsible for a service, by a hash of its name; never part 0, which holds the configuration.

    >>> part_of("shift-notes") in range(1, constants.PART_COUNT)
    True
    """
    hash_value = 0
    for byte in service.encode():
        hash_value = (hash_value * 257 + byte + 1) % 1000003
    return 1 + hash_value % (parts - 1)
