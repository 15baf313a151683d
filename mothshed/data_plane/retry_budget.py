"""The retry budget: limits extra sends to a ratio of the requests in a sliding window.

The first prefill and the first decode of a request cost nothing; every other send
written to a replica is an extra send. Each router earns a fraction of an extra send with
each request that it starts, and spends within one window no more than it earned. The
budgets of all routers therefore add up to the fleet's, however many routers there are
and whichever start or die. If operators allow the fleet a slack in addition, each router
takes its part by the number of routers that it knows, once it has run long enough to know
them. A router may borrow what another does not need: the lender counts a loan as spent
when it sends it, so no agreement is needed and a lost reply only loses the loan.
"""

import collections
import threading

import mothshed.constants as constants


class RetryBudget:
    """One router's part of the fleet's retry budget."""

    def __init__(self, environment, list_neighbours=lambda: [], slack=0.0, count_routers=lambda: 1):
        """list_neighbours: returns addresses. slack: extra sends per window allowed to the fleet in addition."""
        self.slack, self.count_routers, self.started_at = slack, count_routers, environment.now()
        self.environment, self.list_neighbours = environment, list_neighbours
        self.request_times = collections.deque()  # when the requests in the window started
        self.spent = collections.deque()  # (time, extra sends spent or lent)
        self.loans = collections.deque()  # (time, extra sends borrowed)
        self.borrow_sent_at, self.loan_number, self.needed = -1e9, 0, 0.0
        self.lock, self.event = threading.RLock(), environment.new_event()
        environment.subscribe("borrow", self.on_borrow)
        environment.subscribe("lend", self.on_lend)

    def record_request(self):
        """Count a request, at its first send."""
        with self.lock:
            self.request_times.append(self.environment.now())

    def drop_expired(self):
        """Forget requests and sends that have left the window, and loans that have expired."""
        now = self.environment.now()
        while self.request_times and self.request_times[0] <= now - constants.RETRY_BUDGET_WINDOW_S:
            self.request_times.popleft()
        for entries, lifetime in ((self.spent, constants.RETRY_BUDGET_WINDOW_S), (self.loans, constants.LOAN_TTL_S)):
            while entries and entries[0][0] <= now - lifetime:
                entries.popleft()

    def unspent(self):
        """Extra sends earned and not spent or lent in the window; may be negative after earnings have expired."""
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
        """Extra sends that may be made now, including borrowed ones."""
        return max(0.0, self.unspent()) + sum(amount for moment, amount in self.loans)

    def rounded_available(self):
        """The available extra sends, for the condition page."""
        with self.lock:
            return round(self.available(), 2)

    def take(self, count):
        """Take extra sends, borrowed ones first; False, and nothing is taken, if there are too few."""
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
        """Take extra sends, borrowing the missing ones from neighbours; False if there are too few."""
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
        """Lend a neighbour what it needs, up to what is unspent here."""
        with self.lock:
            amount = min(self.unspent(), body["need"])
            # A router that is borrowing at this moment needs its extra sends itself.
            if amount <= 0 or self.environment.now() - self.borrow_sent_at < constants.BORROW_TIMEOUT_S:
                return
            self.spent.append((self.environment.now(), amount))
        self.environment.send(sender, "lend", mark=body["mark"], amount=amount)

    def on_lend(self, sender, body):
        """Accept a loan if it answers the latest request."""
        with self.lock:
            if body["mark"] != self.loan_number or body["amount"] <= 0:
                return
            self.loans.append((self.environment.now(), body["amount"]))
            if self.available() + 1e-9 >= self.needed:
                self.event.set()
