"""Which part keeps a service."""

import mothshed.constants as constants


def part_of(service, parts=constants.PART_COUNT):
    """The part that keeps a service: never 0, which holds the configuration.

    >>> part_of("shift-notes") in range(1, constants.PART_COUNT)
    True
    """
    total = 0
    for byte in service.encode():
        total = (total * 257 + byte + 1) % 1000003
    return 1 + total % (parts - 1)
