"""Admission: start-time fair queueing of tenants for the replicas' free slots.

A request is planned at once if no request is queued; otherwise it waits in its tenant's
queue. The next request comes from the queued tenant that has received the least service
relative to its share, so a burst of one tenant delays only its own requests. The wait is
short and bounded; after it, or if a queue is full, the request is rejected.
"""

import collections
import threading

import mothshed.constants as constants
import mothshed.replicas.verdict as verdict


class QueueEntry:
    """A queued request; event is set when it may try again for a plan."""

    def __init__(self, tenant, share, event):
        self.tenant, self.share, self.event = tenant, share, event


class Admission:
    """The queues of all tenants of one router."""

    def __init__(self, environment):
        self.environment = environment
        self.lock = threading.RLock()
        self.queues = collections.OrderedDict()  # tenant -> deque of QueueEntry
        self.finish_tags = {}  # tenant -> virtual finish time of its last admitted request
        self.virtual_time = 0.0

    def queued_count(self):
        """Number of queued requests of all tenants."""
        return sum(len(q) for q in self.queues.values())

    def admit(self, request, share, make_plan, readmission=False):
        """Wait until make_plan() returns a plan for this request; return the plan. Raises Rejection.

        readmission: the request was admitted before and that attempt failed; it is queued again with a
        new wait, first of its tenant and regardless of the queue limits.
        """
        deadline = min(
            (self.environment.now() if readmission else request.arrived_at) + constants.MAX_QUEUE_WAIT_S, request.cutoff
        )
        with self.lock:
            if not self.queued_count():
                plan = self.try_plan(request.tenant, share, make_plan)
                if plan:
                    return plan
            queue = self.queues.setdefault(request.tenant, collections.deque())
            if not readmission and (
                self.queued_count() >= constants.MAX_QUEUED_REQUESTS
                or len(queue) >= constants.MAX_TENANT_QUEUED_REQUESTS
            ):
                raise verdict.Rejection(503, "queue is full", constants.RETRY_AFTER_S, "queue_full")
            entry = QueueEntry(request.tenant, share, self.environment.new_event())
            queue.insert(0 if readmission else len(queue), entry)
        try:
            return self.wait(deadline, entry, make_plan)
        finally:
            with self.lock:
                queue = self.queues.get(request.tenant, ())
                if entry in queue:
                    queue.remove(entry)
                if not queue:
                    self.queues.pop(request.tenant, None)
            self.wake_head()

    def wait(self, deadline, entry, make_plan):
        """Try for a plan whenever the entry is the next one, until the deadline; raises Rejection."""
        while True:
            with self.lock:
                if self.next_entry() is entry:
                    plan = self.try_plan(entry.tenant, entry.share, make_plan)
                    if plan:
                        return plan
            if self.environment.now() >= deadline:
                raise verdict.Rejection(503, "no free pair of replicas", constants.RETRY_AFTER_S, "no_pair")
            entry.event.clear()
            entry.event.wait(min(constants.PLACEMENT_INTERVAL_S, max(0.001, deadline - self.environment.now())))

    def next_entry(self):
        """The first request of the tenant with the smallest start tag; None if no request is queued."""
        tenants = [t for t, q in self.queues.items() if q]
        if not tenants:
            return None
        return self.queues[min(tenants, key=lambda t: (max(self.virtual_time, self.finish_tags.get(t, 0.0)), t))][0]

    def try_plan(self, tenant, share, make_plan):
        """Call make_plan(); if it returns a plan, charge the tenant for one request."""
        plan = make_plan()
        if plan:
            start_tag = max(self.virtual_time, self.finish_tags.get(tenant, 0.0))
            self.finish_tags[tenant] = start_tag + 1.0 / share
            self.virtual_time = start_tag if self.queued_count() else max(self.finish_tags.values())
        return plan

    def wake_head(self):
        """Let the next request try again for a plan, since a slot may have become free."""
        with self.lock:
            entry = self.next_entry()
            if entry:
                entry.event.set()
