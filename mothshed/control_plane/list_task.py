"""The platform's list is read by one process and told to all.

The leader of the list's part reads it every beat and pushes what changed, numbered,
down the held connections; whoever asks is told the changes since the number it has,
or the whole. The age of the reading goes along, so that a leader cut off from the
platform keeps nobody from reading for itself.
"""

import collections

import mothshed.constants as constants
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.http.web as web


class ListTask:
    def __init__(self, member, listed):
        self.member, self.environment, self.listed = member, member.environment, listed
        self.on = False
        self.rows, self.number, self.at = {}, 0, -1e9
        self.changes = collections.deque(maxlen=constants.MAX_LIST_CHANGES)  # (number, rows, gone)
        self.holders = {}  # address -> [number it has, when it asked]
        member.leader_tasks.append(self)
        self.environment.subscribe("list_ask", self.on_ask, member.part)

    def start(self):
        self.on = True
        self.rows, self.at, self.holders = {}, -1e9, {}
        self.number = self.first = self.member.log.term * 1000000
        self.changes.clear()
        self.environment.spawn(lambda number=self.number: self.read(number))

    def stop(self):
        self.on = False

    def read(self, first):
        """Reads the list every beat for as long as this ownership lasts."""
        while self.on and self.first == first:
            began = self.environment.now()
            try:
                rows = self.listed.speech.rows(self.environment, self.listed.list_url)
                self.environment.post(lambda rows=rows, at=began: self.took(rows, at))
            except web.WebFault as e:
                self.listed.journal.add("list", outcome="failed", reason=str(e))
            self.environment.sleep(constants.LIST_POLL_INTERVAL_S)

    def took(self, rows, at):
        if not self.on:
            return
        new = {n: row for n, row in rows.items() if self.rows.get(n) != row}
        gone = [n for n in self.rows if n not in rows]
        self.rows, self.at = rows, at
        if new or gone:
            self.number += 1
            self.changes.append((self.number, new, gone))
            old = self.environment.now() - constants.LIST_SUBSCRIPTION_TTL_S
            self.holders = {a: h for a, h in self.holders.items() if h[1] > old}
            for address in self.holders:
                self.send(address)

    def send(self, address):
        held = self.holders[address][0]
        since = [c for c in self.changes if c[0] > held]
        whole = held <= self.first or held > self.number or len(since) < self.number - held
        rows, gone = (self.rows, []) if whole else ({}, [])
        if not whole:
            for number, new, lost in since:
                for name in lost:
                    rows.pop(name, None)
                rows.update(new)
                gone = [n for n in gone if n not in new] + lost
        self.environment.send(
            address,
            "list_news",
            part=self.member.part,
            number=self.number,
            held=held,
            age=self.environment.now() - self.at,
            whole=whole,
            rows=rows,
            gone=gone,
        )
        self.holders[address][0] = self.number

    def on_ask(self, sender, body):
        member = self.member
        if not (self.on and member.is_leader):
            leader = leader_hint.leader_address(member)
            self.environment.send(sender, "look_elsewhere", part=member.part, mark=0, leader=leader)
            return
        self.holders[sender] = [body["number"], self.environment.now()]
        if self.rows:
            self.send(sender)
