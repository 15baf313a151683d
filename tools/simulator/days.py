"""All days, gathered from their files."""

import tools.simulator.day_base as day_base
import tools.simulator.days_of_cuts as days_of_cuts
import tools.simulator.days_of_disks as days_of_disks
import tools.simulator.days_of_ends as days_of_ends
import tools.simulator.days_of_machines as days_of_machines
import tools.simulator.days_of_quorum as days_of_quorum
import tools.simulator.days_of_releases as days_of_releases
import tools.simulator.days_of_replicas as days_of_replicas
import tools.simulator.days_of_roll_outs as days_of_roll_outs

# Each module adds its days to the table when it is imported.
MODULES = (
    days_of_cuts,
    days_of_disks,
    days_of_ends,
    days_of_machines,
    days_of_quorum,
    days_of_releases,
    days_of_replicas,
    days_of_roll_outs,
)
DAYS = day_base.DAYS
