"""The keeper process: for every part one member of its consensus group, each with a mailbox of its own."""

import secrets
import typing

import mothshed.configuration.lease as lease_module
import mothshed.configuration.packed_document as packed_document
import mothshed.constants as constants
import mothshed.control_plane.config_leader_task as config_leader_task
import mothshed.control_plane.config_machine as config_machine
import mothshed.control_plane.document_server as document_server
import mothshed.control_plane.earlier_documents as earlier_documents
import mothshed.control_plane.first_start as first_start
import mothshed.control_plane.lease_bounds as lease_bounds
import mothshed.control_plane.limit_bounds as limit_bounds
import mothshed.control_plane.list_leader_task as list_leader_task
import mothshed.control_plane.member as member_module
import mothshed.control_plane.operator_api as operator_api
import mothshed.control_plane.orders as orders
import mothshed.control_plane.permit_duty as permit_duty
import mothshed.control_plane.reconfiguration as reconfiguration
import mothshed.control_plane.service_part as service_part
import mothshed.http.http_server as http_server
import mothshed.replicas.known_replicas as replicas_module
import mothshed.replicas.listed_replicas as listed_replicas
import mothshed.runtime.counters as counters
import mothshed.runtime.journal as journal_module
import mothshed.runtime.log_buffer as log_buffer
import mothshed.runtime.stop_schedule as stop_schedule
import mothshed.storage.disk as disk_module
import mothshed.storage.document_store as document_store
import mothshed.transport.gossip as gossip
import mothshed.transport.known_addresses as known_addresses

LeaderTask = config_leader_task.ConfigLeaderTask | orders.OrderLeaderTask


def load_member_id(disk, name, token_hex):
    """Reads or creates this member's id: its name and a random suffix that is lost when the data folder is wiped."""
    suffix = disk.read("incarnation").decode()
    if not suffix:
        if any(file_name.startswith("part-") for file_name in disk.names()):
            raise disk_module.DiskError("the data folder holds logs but no incarnation file; wipe the folder")
        suffix = token_hex(6)
        disk.put("incarnation", suffix.encode())
    else:
        disk.sync_directory()  # a process killed during creation may not have synced the file name
    return f"{name}/{suffix}"


class Keeper:
    def __init__(
        self, environment, settings, new_environment, disk, token_hex=secrets.token_hex, replica_protocol=None
    ):
        self.environment, self.settings, self.disk = environment, settings, disk
        self.waiting_for_disk = False  # whether a thread is retrying the failed disk
        self.stop_progress: typing.Callable[[], dict[str, float] | None] = lambda: None
        self.journal = journal_module.Journal(environment.now)
        self.totals = self.journal.view(journal_module.Totals())
        self.counters_report = counters.CountersReport(environment, self.totals, environment.figures)
        # recorded before there is an id under which anything could be said
        self.first_start = first_start.FirstStart(disk, settings["first_keepers"])
        self.member_id = load_member_id(disk, settings["name"], token_hex)
        self.replicas = (
            listed_replicas.ListedReplicas(
                environment, settings["list_url"], self.journal, replica_protocol, lambda: self.lease_destinations()
            )
            if replica_protocol
            else replicas_module.Replicas(environment, settings["list_url"], self.journal)
        )
        self.gossip = gossip.Gossip(
            environment,
            settings["name"],
            "keep",
            settings["cell"],
            settings["seeds"],
            self.replicas,
            known_addresses.KnownAddresses(environment, disk),
        )
        self.lease = lease_module.Lease(environment, self.lease_destinations)
        self.new_environment, self.replica_protocol = new_environment, replica_protocol
        self.documents = document_store.DocumentStore(disk, packed_document.digest_of)
        opened = [self.open_part(part) for part in range(constants.PART_COUNT)]
        self.members = [member for member, _ in opened]
        self.leader_tasks = [leader_task for _, leader_task in opened]
        self.forget_first_start()

    def forget_first_start(self) -> None:
        """Forgets the first start once every group of this keeper is on its disk."""
        if not any(member.log.is_empty for member in self.members):
            self.first_start.forget()

    def open_part(self, part: int) -> tuple[member_module.Member, LeaderTask]:
        """Creates this keeper's member of a part from the disk, and the leader task of the part."""
        settings = self.settings
        failure_tolerance = reconfiguration.FailureTolerance(
            settings.get("losses", constants.DEFAULT_TOLERATED_FAILURES),
            settings.get("catch_up_s", constants.DEFAULT_CATCH_UP_S),
        )
        member = member_module.Member(
            self.new_environment(),
            self.disk,
            part,
            self.member_id,
            settings["http"],
            self.first_start.addresses,
            service_part.ServiceMachine() if part else config_machine.ConfigMachine(self.documents),
            self.gossip.keeper_addresses,
            failure_tolerance,
            None if part else self.documents,
        )
        member.disk_fault_callback = self.disk_failed
        member.bootstrap_callback = self.forget_first_start
        if not part:
            self.open_documents(member)
            in_force = settings.get("in_force_s", constants.DEFAULT_ACTIVATION_DELAY_S)
            return member, config_leader_task.ConfigLeaderTask(member, lease_bounds.LeaseBounds(in_force))
        tenure = settings.get("tenure_s")
        leader_task = orders.OrderLeaderTask(
            member, self.replicas, self.lease, self.journal, self.replica_protocol, tenure
        )
        permit_duty.PermitLeaderTask(member, self.lease, self.journal, limit_bounds.from_settings(settings))
        if self.replica_protocol and part == constants.LIST_READER_PART:
            list_leader_task.ListLeaderTask(member, self.replicas)
        return member, leader_task

    def open_documents(self, member: member_module.Member) -> None:
        """Makes the large documents of the configuration's part ready for its member."""
        document_server.DocumentServer(member.environment, self.documents)
        count = earlier_documents.convert(member, self.documents)
        if count:
            log_buffer.report("large_documents_converted", part=member.part, count=count)

    def disk_failed(self):
        """Called when a disk fault has stopped a member: starts to retry the disk, unless that is running."""
        if not self.waiting_for_disk:
            self.waiting_for_disk = True
            self.environment.spawn(self.wait_for_disk)

    def wait_for_disk(self):
        """Retries the disk until it accepts writes and every member stopped by the fault is reopened."""
        while any(member.stopped_by_disk_fault for member in self.members):
            self.environment.sleep(constants.DISK_RETRY_INTERVAL_S)
            try:
                self.disk.put("probe", b".")
                self.reopen_parts()
            except disk_module.DiskCorruptionError as error:
                # not recoverable by waiting: an operator must wipe the folder
                log_buffer.failure("disk_damaged", error)
                return
            except disk_module.DiskError as error:
                log_buffer.note("disk_refuses", reason=str(error))
        self.waiting_for_disk = False
        if any(member.stopped_by_disk_fault for member in self.members):  # a member failed while this thread was ending
            self.disk_failed()

    def reopen_parts(self) -> None:
        """Reopens the members stopped by a disk fault, as a process start would; raises DiskError."""
        for part, stopped_member in enumerate(self.members):
            if stopped_member.stopped_by_disk_fault:
                if not part:
                    self.documents.load()
                member, leader_task = self.open_part(part)
                stopped_member.environment.stop()
                self.members[part], self.leader_tasks[part] = member, leader_task
                log_buffer.report("part_opened_again", part=part, term=member.log.term, last=member.log.last)
                member.start()

    def lease_destinations(self):
        return [self.environment.address] + self.gossip.keeper_addresses()

    def run(self):
        self.replicas.run()
        for member in self.members:
            member.start()
        self.counters_report.run()

    def front(self, handler_class=operator_api.OperatorApi):
        return http_server.Server(
            self.settings["http"],
            handler_class(self),
            constants.OPERATOR_SERVER_THREADS,
            lambda: self.stop_progress() is not None,
        )

    def call_in_mailbox(self, member, callback):
        """Runs callback() in a member's mailbox and returns its result, or None after a timeout."""
        event, results = self.environment.new_event(), []
        member.environment.post(lambda: (results.append(callback()), event.set()))
        return results[0] if event.wait(constants.MAILBOX_CALL_TIMEOUT_S) else None

    def begin_stop(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> None:
        """Tell of the stop; the groups are left by `drain`."""
        self.stop_progress = lambda: schedule.progress(self.environment.now() - begun_at)

    def drain(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> bool:
        """Leaves all groups and transfers every leadership; returns whether no member leads any more."""
        self.begin_stop(schedule, begun_at)
        for member in self.members:
            self.call_in_mailbox(member, member.leave)
        self.environment.sleep(2 * constants.HEARTBEAT_INTERVAL_S)
        deadline = self.environment.now() + schedule.leave_s
        while self.environment.now() < deadline and not all(member.may_stop for member in self.members):
            self.environment.sleep(constants.HEARTBEAT_INTERVAL_S)
        return not any(member.is_leader for member in self.members)

    def condition(self):
        parts = [member.condition() for member in self.members]
        for row, leader_task, member in zip(parts, self.leader_tasks, self.members, strict=True):
            row.update(leader_task.report())
            for other_task in member.leader_tasks:
                if isinstance(other_task, permit_duty.PermitLeaderTask):
                    row.update(other_task.report())
        return {
            "name": self.settings["name"],
            "who": self.member_id,
            "parts": parts,
            "keepers": self.gossip.keeper_addresses(),
            "process": self.environment.figures(),
            "releases": self.environment.releases(),
            "neighbours": sorted(self.gossip.view),
            "stop": self.stop_progress(),
            "serving": all(p["state"] in ("leader", "follower") and p["leader"] for p in parts),
        }
