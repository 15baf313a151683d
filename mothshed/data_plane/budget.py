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


class Budget:
    def __init__(self, environment, routers=lambda: [], slack=0.0, sharers=lambda: 1):
        """slack: extra sends a window that operators allow the whole fleet beside the share."""
        self.slack, self.sharers, self.born = slack, sharers, environment.now()
        self.environment, self.routers = environment, routers  # routers() -> addresses of neighbours
        self.first = collections.deque()  # moments of requests
        self.more = collections.deque()  # (moment, extra sends spent or lent)
        self.loans = collections.deque()  # (moment, extra sends borrowed)
        self.asked_at, self.mark, self.need = -1e9, 0, 0.0
        self.lock, self.event = threading.RLock(), environment.new_event()
        environment.subscribe("borrow", self.on_borrow)
        environment.subscribe("lend", self.on_lend)

    def sent(self):
        """A request's first send."""
        with self.lock:
            self.first.append(self.environment.now())

    def trim(self):
        now = self.environment.now()
        while self.first and self.first[0] <= now - constants.RETRY_BUDGET_WINDOW_S:
            self.first.popleft()
        for rows, span in ((self.more, constants.RETRY_BUDGET_WINDOW_S), (self.loans, constants.LOAN_TTL_S)):
            while rows and rows[0][0] <= now - span:
                rows.popleft()

    def own(self):
        self.trim()
        grown = self.environment.now() - self.born > constants.RETRY_SLACK_MIN_AGE_S
        slack = (
            constants.RETRY_SLACK_RATIO * self.slack / max(constants.MIN_SLACK_ROUTERS, self.sharers())
            if grown
            else 0.0
        )
        return constants.RETRY_BUDGET_RATIO * len(self.first) + slack - sum(n for at, n in self.more)

    def room(self):
        """Extra sends that may be done now, loans included."""
        return max(0.0, self.own()) + sum(n for at, n in self.loans)

    def left(self):
        with self.lock:
            return round(self.room(), 2)

    def take(self, count):
        with self.lock:
            if self.room() + 1e-9 < count:
                return False
            while count > 1e-9 and self.loans:
                at, n = self.loans.popleft()
                if n > count:
                    self.loans.appendleft((at, n - count))
                count -= min(n, count)
            if count > 1e-9:
                self.more.append((self.environment.now(), count))
            return True

    def extra(self, count=1):
        """Takes so many extra sends at once, borrowing what is missing; False if there is no room."""
        if not count or self.take(count):
            return True
        with self.lock:
            now, goals = self.environment.now(), self.routers()
            if now - self.asked_at < constants.BORROW_INTERVAL_S or not goals:
                return False
            self.asked_at, self.need = now, count
            need = (count - self.room()) / max(1, min(constants.MAX_LENDERS, len(goals) // 2))
            self.mark += 1
            self.event.clear()
        for goal in goals:
            self.environment.send(goal, "borrow", mark=self.mark, need=need)
        self.event.wait(constants.BORROW_TIMEOUT_S)
        return self.take(count)

    def on_borrow(self, sender, body):
        with self.lock:
            give = min(self.own(), body["need"])
            if give <= 0 or self.environment.now() - self.asked_at < constants.BORROW_TIMEOUT_S:  # short of it itself
                return
            self.more.append((self.environment.now(), give))
        self.environment.send(sender, "lend", mark=body["mark"], amount=give)

    def on_lend(self, sender, body):
        with self.lock:
            if body["mark"] != self.mark or body["amount"] <= 0:
                return
            self.loans.append((self.environment.now(), body["amount"]))
            if self.room() + 1e-9 >= self.need:
                self.event.set()
