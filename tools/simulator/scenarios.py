"""The table of all scenarios."""

import tools.simulator.scenario_base as scenario_base
import tools.simulator.scenarios_cuts as scenarios_cuts
import tools.simulator.scenarios_disks as scenarios_disks
import tools.simulator.scenarios_final_faults as scenarios_final_faults
import tools.simulator.scenarios_processes as scenarios_processes
import tools.simulator.scenarios_quorum as scenarios_quorum
import tools.simulator.scenarios_releases as scenarios_releases
import tools.simulator.scenarios_replicas as scenarios_replicas
import tools.simulator.scenarios_rollouts as scenarios_rollouts

# Each module registers its scenarios when it is imported.
MODULES = (
    scenarios_cuts,
    scenarios_disks,
    scenarios_final_faults,
    scenarios_processes,
    scenarios_quorum,
    scenarios_releases,
    scenarios_replicas,
    scenarios_rollouts,
)
SCENARIOS = scenario_base.SCENARIOS
