"""Admission: a fair queue per tenant in front of the replicas' places.

A request is planned at once when nobody waits; else it waits in its tenant's
queue. The next to be served is the waiting tenant with the least service for its
share, so one tenant's rush waits behind its own. The wait is short and bounded;
past it, or past the queue's bounds, the request is bounced at once.
"""

import collections
import threading

import mothshed.constants as constants
import mothshed.replicas.verdict as verdict


class Ticket:
    def __init__(self, tenant, share, event):
        self.tenant, self.share, self.event = tenant, share, event


class Admission:
    def __init__(self, environment):
        self.environment = environment
        self.lock = threading.RLock()
        self.queues = collections.OrderedDict()  # tenant -> deque of tickets
        self.spent = {}  # tenant -> service taken per share
        self.floor = 0.0

    def waiting(self):
        return sum(len(q) for q in self.queues.values())

    def enter(self, request, share, make_plan, again=False):
        """Waits for make_plan() to give a plan while at the head. Raises Rejection.

        again: it was admitted before and its first send was bounced; it waits anew, first
        of its tenant and past the bounds.
        """
        until = min((self.environment.now() if again else request.born) + constants.MAX_QUEUE_WAIT_S, request.cutoff)
        with self.lock:
            if not self.waiting():
                plan = self.take(request.tenant, share, make_plan)
                if plan:
                    return plan
            queue = self.queues.setdefault(request.tenant, collections.deque())
            if not again and (
                self.waiting() >= constants.MAX_QUEUED_REQUESTS or len(queue) >= constants.MAX_TENANT_QUEUED_REQUESTS
            ):
                raise verdict.Rejection(503, "queue is full", constants.RETRY_AFTER_S, "queue_full")
            ticket = Ticket(request.tenant, share, self.environment.new_event())
            queue.insert(0 if again else len(queue), ticket)
        try:
            return self.wait(until, ticket, make_plan)
        finally:
            with self.lock:
                queue = self.queues.get(request.tenant, ())
                if ticket in queue:
                    queue.remove(ticket)
                if not queue:
                    self.queues.pop(request.tenant, None)
            self.nudge()

    def wait(self, until, ticket, make_plan):
        while True:
            with self.lock:
                if self.head() is ticket:
                    plan = self.take(ticket.tenant, ticket.share, make_plan)
                    if plan:
                        return plan
            if self.environment.now() >= until:
                raise verdict.Rejection(503, "no free pair of replicas", constants.RETRY_AFTER_S, "no_pair")
            ticket.event.clear()
            ticket.event.wait(min(constants.PLACEMENT_INTERVAL_S, max(0.001, until - self.environment.now())))

    def head(self):
        tenants = [t for t, q in self.queues.items() if q]
        if not tenants:
            return None
        return self.queues[min(tenants, key=lambda t: (max(self.floor, self.spent.get(t, 0.0)), t))][0]

    def take(self, tenant, share, make_plan):
        plan = make_plan()
        if plan:
            start = max(self.floor, self.spent.get(tenant, 0.0))
            self.spent[tenant] = start + 1.0 / share
            self.floor = start if self.waiting() else max(self.spent.values())
        return plan

    def nudge(self):
        """Something became free: the head may look again."""
        with self.lock:
            ticket = self.head()
            if ticket:
                ticket.event.set()
