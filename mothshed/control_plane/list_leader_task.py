"""Reads the platform's list of replicas in one process and distributes it to all others.

The leader of the list's part reads the list every LIST_POLL_INTERVAL_S, numbers the changes and pushes them to its
subscribers. A process that asks gets the changes since the number it has, or the whole list. The age of the reading
is sent along, so that processes read the list themselves if the leader is cut off from the platform.
"""

import collections

import mothshed.constants as constants
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.http.http_client as http_client
import mothshed.runtime.log_buffer as log_buffer


class ListLeaderTask:
    """Reads the list while this member leads, and sends it and its changes to subscribers."""

    def __init__(self, member, listed):
        self.member, self.environment, self.listed = member, member.environment, listed
        self.active = False
        self.rows, self.number, self.read_at = {}, 0, -1e9
        self.changes = collections.deque(maxlen=constants.MAX_LIST_CHANGES)  # (number, rows, gone)
        self.subscribers = {}  # address -> [number that it has, when it asked last]
        member.leader_tasks.append(self)
        self.environment.subscribe("list_ask", self.on_list_ask, member.part)

    def start(self):
        self.active = True
        self.rows, self.read_at, self.subscribers = {}, -1e9, {}
        self.number = self.first_number = self.member.log.term * 1000000
        self.changes.clear()
        self.environment.spawn(lambda number=self.number: self.read(number))

    def stop(self):
        self.active = False

    def read(self, first_number):
        """Read the list periodically until this term of leadership ends."""
        while self.active and self.first_number == first_number:
            started_at = self.environment.now()
            try:
                rows = self.listed.speech.rows(self.environment, self.listed.list_url)
                self.environment.post(lambda rows=rows, at=started_at: self.store_list(rows, at))
            except http_client.ExchangeError as e:
                self.listed.journal.add("list", outcome="failed", reason=str(e))
            except Exception as error:  # one unreadable page must not end the readings of this term
                log_buffer.failure("list_not_read", error)
            self.environment.sleep(constants.LIST_POLL_INTERVAL_S)

    def store_list(self, rows, at):
        if not self.active:
            return
        new = {n: row for n, row in rows.items() if self.rows.get(n) != row}
        gone = [n for n in self.rows if n not in rows]
        self.rows, self.read_at = rows, at
        if new or gone:
            self.number += 1
            self.changes.append((self.number, new, gone))
            oldest = self.environment.now() - constants.LIST_SUBSCRIPTION_TTL_S
            self.subscribers = {a: h for a, h in self.subscribers.items() if h[1] > oldest}
            for address in self.subscribers:
                self.send_changes(address)

    def send_changes(self, address):
        known_number = self.subscribers[address][0]
        newer = [c for c in self.changes if c[0] > known_number]
        whole = (
            known_number <= self.first_number or known_number > self.number or len(newer) < self.number - known_number
        )
        rows, gone = (self.rows, []) if whole else ({}, [])
        if not whole:
            for number, new, removed in newer:
                for name in removed:
                    rows.pop(name, None)
                rows.update(new)
                gone = [n for n in gone if n not in new] + removed
        self.environment.send(
            address,
            "list_news",
            part=self.member.part,
            number=self.number,
            held=known_number,
            age=self.environment.now() - self.read_at,
            whole=whole,
            rows=rows,
            gone=gone,
        )
        self.subscribers[address][0] = self.number

    def on_list_ask(self, sender, body):
        member = self.member
        if not (self.active and member.is_leader):
            leader = leader_hint.leader_address(member)
            self.environment.send(sender, "look_elsewhere", part=member.part, mark=0, leader=leader)
            return
        self.subscribers[sender] = [body["number"], self.environment.now()]
        if self.rows:
            self.send_changes(sender)
