"""The protections, each with a way to take it out, the day that needs it and its rule."""

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
        weakened.put(request_execution.RequestExecution, check_may_repeat=weakened.repeat_unsafe),
        "replica_crash",
        "never twice",
    ),
    "a bounce needs proof that nothing ran": (
        weakened.put(
            request_execution.RequestExecution, record_failure=lambda self, failure: self.failures.append(failure)
        ),
        "replica_answers_broken",
        "never twice",
    ),
    "a held handle belongs to one request": (
        weakened.put(replica_adapter, prefill=weakened.any_handle),
        "calm",
        "own memory",
    ),
    "a stream ends only when whole": (
        weakened.put(replica_adapter.Stream, __iter__=weakened.loose_ends),
        "replica_answers_broken",
        "whole and own",
    ),
    "the lease is checked before a send": (
        weakened.put(
            lease.Lease,
            sequence=lambda self: self.published[0] if self.published[2] else None,
            current=lambda self: (self.published[0], self.published[2]) if self.published[2] else (None, None),
        ),
        "core_cut",
        "new after ack",
    ),
    "the lease is checked once the connection stands": (
        weakened.put(request_execution.RequestExecution, make_last_check=lambda self, sequence, role: lambda: True),
        "freeze_in_connect",
        "new after ack",
    ),
    "leases are short during a change": (
        weakened.put(constants, SHORT_LEASE_S=constants.LONG_LEASE_S),
        "cut_after_staging",
        "no fall back",
    ),
    "activation waits for the leaseholders": (
        weakened.put(config_leader_task.ConfigLeaderTask, try_activate=weakened.activate_at_once),
        "router_loses_keepers",
        "no fall back",
    ),
    "a lease answer needs a majority": (
        weakened.put(replication.Replication, confirm_leadership=weakened.confirm_alone),
        "frozen_owner_with_company",
        "new after ack",
    ),
    "a write needs a majority": (
        weakened.put(replication.Replication, advance_commit_index=weakened.count_alone),
        "owner_cut_off",
        "writes kept",
    ),
    "a write is synced before it counts": (
        weakened.put(environment.SimDisk, sync=weakened.sync_nothing),
        "kill_all",
        "writes kept",
    ),
    "compare-and-set on the sequence": (
        weakened.put(config_machine.ConfigMachine, stage=weakened.stage_anyway),
        "configuration_race",
        "writes kept",
    ),
    "a wiped member is somebody new": (
        weakened.put(keeper, load_member_id=lambda disk, name, token_hex: f"{name}/same"),
        "wiped_and_cut",
        "writes kept",
    ),
    "a standing only rises": (
        weakened.put(service_part.ServiceMachine, apply=weakened.take_level),
        "order_owner_killed",
        "orders fenced",
    ),
    "a new holder waits its turn": (
        weakened.put(constants, FIRST_ORDER_DELAY_S=0.1),
        "order_owner_killed",
        "orders fenced",
    ),
    "a leaving replica is left alone": (
        weakened.put(replicas.Replicas, update_list=weakened.deaf_to_leaving),
        "leaving",
        "leaving",
    ),
    "extra sends have a budget": (
        weakened.put(retry_budget.RetryBudget, take_or_borrow=lambda self, count=1: True),
        "replicas_bounce",
        "few extras",
    ),
    "every handle is freed": (
        weakened.put(handle_releases.HandleReleases, enqueue=lambda self, handle: None),
        "calm",
        "freed",
    ),
    "a neighbour keeps a lost router's frees": (
        weakened.put(backup_releases.BackupReleases, register=lambda self, request, replica, time_left: None),
        "kill_router",
        "freed",
    ),
    "a polite stop waits for what is in flight": (
        weakened.put(router.Router, drain=weakened.stop_at_once),
        "polite_stops",
        "nothing dropped",
    ),
    "tenants are queued fairly": (weakened.first_come_first_served, "tenant_rush", "none starved"),
    "a free place is not refused": (
        weakened.put(request_execution.RequestExecution, admit=weakened.reject_some),
        "calm",
        "in time",
    ),
    "given-up requests are answered at once": (
        weakened.put(admission.Admission, admit=weakened.reject_late),
        "calm",
        "answered at once",
    ),
    "newcomers are admitted": (
        weakened.put(reconfiguration.Reconfiguration, on_join_ask=lambda self, sender, body: None),
        "keepers_swapped",
        "service returns",
    ),
    "a failed sync ends a member's part": (
        weakened.write_on_after_fault,
        "disk_sync_fails",
        "no crash inside",
    ),
    "a neighbour's newer reading outlasts an older own one": (
        weakened.put(constants, LEAVING_MARK_TTL_S=0.0),
        "lists_lag_apart",
        "leaving",
    ),
    "keepers call whom they remember": (
        weakened.put(known_addresses.KnownAddresses, addresses_to_contact=lambda self, near: []),
        "all_restart_after_swap",
        "service returns",
    ),
    "replicas refuse older sends": (
        weakened.put(replica_memory.Memory, is_older_sequence=lambda self, sequence: False),
        "freeze_in_write",
        "new after ack",
    ),
    "a pool's bounds hold over its parts": (
        weakened.put(orders.OrderLeaderTask, pool_replicas=weakened.alone),
        "small_pool_renamed",
        "pool whole",
    ),
}
