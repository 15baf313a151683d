"""All days, gathered from their files."""

import tools.simulator.day_base as day_base
import tools.simulator.days_of_cuts
import tools.simulator.days_of_ends
import tools.simulator.days_of_roll_outs
import tools.simulator.days_of_disks
import tools.simulator.days_of_machines
import tools.simulator.days_of_quorum
import tools.simulator.days_of_replicas

DAYS = day_base.DAYS
