"""The protections: name -> (patch that removes it, scenario that needs it, rule that then breaks)."""

import mothshed.configuration.lease as lease
import mothshed.constants as constants
import mothshed.control_plane.config_leader_task as config_leader_task
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.keeper as keeper
import mothshed.control_plane.orders as orders
import mothshed.control_plane.reconfiguration as reconfiguration
import mothshed.control_plane.replication as replication
import mothshed.control_plane.service_part as service_part
import mothshed.data_plane.admission as admission
import mothshed.data_plane.backup_releases as backup_releases
import mothshed.data_plane.handle_releases as handle_releases
import mothshed.data_plane.request_execution as request_execution
import mothshed.data_plane.retry_budget as retry_budget
import mothshed.data_plane.router as router
import mothshed.replicas.known_replicas as replicas
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.transport.known_addresses as known_addresses
import tools.replica_memory as replica_memory
import tools.simulator.environment as environment
import tools.weakened as weakened

ROWS = {
    "unsafe requests are not repeated": (
        weakened.patch(request_execution.RequestExecution, check_may_repeat=weakened.allow_unsafe_retries),
        "replica_crash",
        "never twice",
    ),
    "a bounce needs proof that nothing ran": (
        weakened.patch(
            request_execution.RequestExecution, record_failure=lambda self, failure: self.failures.append(failure)
        ),
        "replica_answers_broken",
        "never twice",
    ),
    "a held handle belongs to one request": (
        weakened.patch(replica_adapter, prefill=weakened.mix_up_handles),
        "calm",
        "own memory",
    ),
    "a stream ends only when whole": (
        weakened.patch(replica_adapter.Stream, __iter__=weakened.accept_truncated_streams),
        "replica_answers_broken",
        "whole and own",
    ),
    "the lease is checked before a send": (
        weakened.patch(
            lease.Lease,
            sequence=lambda self: self.published[0] if self.published[2] else None,
            current=lambda self: (self.published[0], self.published[2]) if self.published[2] else (None, None),
        ),
        "core_cut",
        "new after ack",
    ),
    "the lease is checked once the connection stands": (
        weakened.patch(request_execution.RequestExecution, make_last_check=lambda self, sequence, role: lambda: True),
        "freeze_in_connect",
        "new after ack",
    ),
    "leases are short during a change": (
        weakened.patch(constants, SHORT_LEASE_S=constants.LONG_LEASE_S),
        "cut_after_staging",
        "no fall back",
    ),
    "activation waits for the leaseholders": (
        weakened.patch(config_leader_task.ConfigLeaderTask, try_activate=weakened.activate_immediately),
        "router_loses_keepers",
        "no fall back",
    ),
    "a lease answer needs a majority": (
        weakened.patch(replication.Replication, confirm_leadership=weakened.confirm_without_majority),
        "frozen_owner_with_company",
        "new after ack",
    ),
    "a write needs a majority": (
        weakened.patch(replication.Replication, advance_commit_index=weakened.commit_without_majority),
        "owner_cut_off",
        "writes kept",
    ),
    "a write is synced before it counts": (
        weakened.patch(environment.SimDisk, sync=weakened.skip_sync),
        "kill_all",
        "writes kept",
    ),
    "compare-and-set on the sequence": (
        weakened.patch(config_machine.ConfigMachine, stage=weakened.stage_without_comparison),
        "configuration_race",
        "writes kept",
    ),
    "a wiped member is somebody new": (
        weakened.patch(keeper, load_member_id=lambda disk, name, token_hex: f"{name}/same"),
        "wiped_and_cut",
        "writes kept",
    ),
    "a standing only rises": (
        weakened.patch(service_part.ServiceMachine, apply=weakened.repeat_fencing_token),
        "order_owner_killed",
        "orders fenced",
    ),
    "a new holder waits its turn": (
        weakened.patch(constants, FIRST_ORDER_DELAY_S=0.1),
        "order_owner_killed",
        "orders fenced",
    ),
    "a leaving replica is left alone": (
        weakened.patch(replicas.Replicas, update_list=weakened.ignore_leaving),
        "leaving",
        "leaving",
    ),
    "extra sends have a budget": (
        weakened.patch(retry_budget.RetryBudget, take_or_borrow=lambda self, count=1: True),
        "replicas_bounce",
        "few extras",
    ),
    "every handle is freed": (
        weakened.patch(handle_releases.HandleReleases, enqueue=lambda self, handle: None),
        "calm",
        "freed",
    ),
    "a neighbour keeps a lost router's frees": (
        weakened.patch(backup_releases.BackupReleases, register=lambda self, request, replica, time_left: None),
        "kill_router",
        "freed",
    ),
    "a polite stop waits for what is in flight": (
        weakened.patch(router.Router, drain=weakened.stop_immediately),
        "polite_stops",
        "nothing dropped",
    ),
    "tenants are queued fairly": (weakened.serve_in_arrival_order, "tenant_rush", "none starved"),
    "a free place is not refused": (
        weakened.patch(request_execution.RequestExecution, admit=weakened.reject_every_third),
        "calm",
        "in time",
    ),
    "given-up requests are answered at once": (
        weakened.patch(admission.Admission, admit=weakened.reject_late),
        "calm",
        "answered at once",
    ),
    "newcomers are admitted": (
        weakened.patch(reconfiguration.Reconfiguration, on_join_ask=lambda self, sender, body: None),
        "keepers_swapped",
        "service returns",
    ),
    "a failed sync ends a member's part": (
        weakened.write_after_error,
        "disk_sync_fails",
        "no crash inside",
    ),
    "a neighbour's newer reading outlasts an older own one": (
        weakened.patch(constants, LEAVING_MARK_TTL_S=0.0),
        "lists_lag_apart",
        "leaving",
    ),
    "keepers call whom they remember": (
        weakened.patch(known_addresses.KnownAddresses, addresses_to_contact=lambda self, near: []),
        "all_restart_after_swap",
        "service returns",
    ),
    "replicas refuse older sends": (
        weakened.patch(replica_memory.Memory, is_older_sequence=lambda self, sequence: False),
        "freeze_in_write",
        "new after ack",
    ),
    "a pool's bounds hold over its parts": (
        weakened.patch(orders.OrderLeaderTask, pool_replicas=weakened.ignore_other_parts),
        "small_pool_renamed",
        "pool whole",
    ),
}
