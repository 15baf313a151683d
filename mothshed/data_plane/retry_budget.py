"""The one retry budget: extra sends against requests over a sliding window.

A request's first prefill and first decode are its own; every other send written
to a replica is extra. Each router earns a share of a send with each request it
begins and spends, within one window, no more than it earned: the shares of all
routers then add up to the fleet's, however many there are, whoever starts or dies.
Where operators allow the fleet a slack beside the share, each router takes a part of
it by its count of routers, once it is old enough to have one. What one router does not need another may borrow:
the lender counts it as spent the moment it gives it away, so nothing has to be
agreed and a lost answer only loses the loan.
"""

import collections
import threading

import mothshed.constants as constants


class RetryBudget:
    def __init__(self, environment, list_neighbours=lambda: [], slack=0.0, count_routers=lambda: 1):
        """slack: extra sends a window that operators allow the whole fleet beside the share."""
        self.slack, self.count_routers, self.started_at = slack, count_routers, environment.now()
        self.environment, self.list_neighbours = environment, list_neighbours  # routers() -> addresses of neighbours
        self.request_times = collections.deque()  # moments of requests
        self.spent = collections.deque()  # (moment, extra sends spent or lent)
        self.loans = collections.deque()  # (moment, extra sends borrowed)
        self.borrow_sent_at, self.loan_number, self.needed = -1e9, 0, 0.0
        self.lock, self.event = threading.RLock(), environment.new_event()
        environment.subscribe("borrow", self.on_borrow)
        environment.subscribe("lend", self.on_lend)

    def record_request(self):
        """A request's first send."""
        with self.lock:
            self.request_times.append(self.environment.now())

    def drop_expired(self):
        now = self.environment.now()
        while self.request_times and self.request_times[0] <= now - constants.RETRY_BUDGET_WINDOW_S:
            self.request_times.popleft()
        for entries, lifetime in ((self.spent, constants.RETRY_BUDGET_WINDOW_S), (self.loans, constants.LOAN_TTL_S)):
            while entries and entries[0][0] <= now - lifetime:
                entries.popleft()

    def unspent(self):
        self.drop_expired()
        old_enough = self.environment.now() - self.started_at > constants.RETRY_SLACK_MIN_AGE_S
        slack = (
            constants.RETRY_SLACK_RATIO * self.slack / max(constants.MIN_SLACK_ROUTERS, self.count_routers())
            if old_enough
            else 0.0
        )
        return (
            constants.RETRY_BUDGET_RATIO * len(self.request_times)
            + slack
            - sum(amount for moment, amount in self.spent)
        )

    def available(self):
        """Extra sends that may be done now, loans included."""
        return max(0.0, self.unspent()) + sum(amount for moment, amount in self.loans)

    def rounded_available(self):
        with self.lock:
            return round(self.available(), 2)

    def take(self, count):
        with self.lock:
            if self.available() + 1e-9 < count:
                return False
            while count > 1e-9 and self.loans:
                moment, amount = self.loans.popleft()
                if amount > count:
                    self.loans.appendleft((moment, amount - count))
                count -= min(amount, count)
            if count > 1e-9:
                self.spent.append((self.environment.now(), count))
            return True

    def take_or_borrow(self, count=1):
        """Takes so many extra sends at once, borrowing what is missing; False if there is no room."""
        if not count or self.take(count):
            return True
        with self.lock:
            now, neighbours = self.environment.now(), self.list_neighbours()
            if now - self.borrow_sent_at < constants.BORROW_INTERVAL_S or not neighbours:
                return False
            self.borrow_sent_at, self.needed = now, count
            need = (count - self.available()) / max(1, min(constants.MAX_LENDERS, len(neighbours) // 2))
            self.loan_number += 1
            self.event.clear()
        for neighbour in neighbours:
            self.environment.send(neighbour, "borrow", mark=self.loan_number, need=need)
        self.event.wait(constants.BORROW_TIMEOUT_S)
        return self.take(count)

    def on_borrow(self, sender, body):
        with self.lock:
            amount = min(self.unspent(), body["need"])
            if (
                amount <= 0 or self.environment.now() - self.borrow_sent_at < constants.BORROW_TIMEOUT_S
            ):  # short of it itself
                return
            self.spent.append((self.environment.now(), amount))
        self.environment.send(sender, "lend", mark=body["mark"], amount=amount)

    def on_lend(self, sender, body):
        with self.lock:
            if body["mark"] != self.loan_number or body["amount"] <= 0:
                return
            self.loans.append((self.environment.now(), body["amount"]))
            if self.available() + 1e-9 >= self.needed:
                self.event.set()
