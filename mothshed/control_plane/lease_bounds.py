"""Bounds on the duration of configuration leases, derived from the time limit for activating a change."""

import dataclasses

import mothshed.constants as constants


@dataclasses.dataclass(frozen=True)
class LeaseBounds:
    """Bounds on leases. in_force_s: seconds from its acknowledgement by which a configuration must be in force.

    >>> LeaseBounds(2.0).long_lease_s, round(LeaseBounds(2.0).older_lease_window_s, 2)
    (1.4, 1.6)
    >>> round(LeaseBounds(2.5).older_lease_window_s, 2), round(LeaseBounds(1.0).long_lease_s, 2)
    (2.1, 0.78)
    """

    in_force_s: float = constants.DEFAULT_ACTIVATION_DELAY_S

    @property
    def long_lease_s(self) -> float:
        """Duration in seconds of a lease while no change is in progress."""
        return min(constants.LONG_LEASE_S, self.in_force_s - constants.ACTIVATION_MARGIN_S)

    @property
    def older_lease_window_s(self) -> float:
        """Seconds after an acknowledgement during which short leases of an older configuration may be granted."""
        return max(0.0, self.in_force_s - constants.ACTIVATION_MARGIN_S - constants.SHORT_LEASE_S)
