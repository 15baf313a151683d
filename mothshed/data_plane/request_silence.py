"""What a request of the completions interface does while its replica is silent.

A silence proves nothing: the replica may go on at any moment. So its exchange lasts until the cutoff, unless the whole
request can start over: it is safe to repeat, nothing of it was delivered, and a further attempt, an extra send, the
slots of another pair of replicas and a connection to both of them are secured.
"""

import socket
import typing

import mothshed.constants as constants
import mothshed.data_plane.plan as planning
import mothshed.http.http_client as http_client
import mothshed.replicas.replica_adapter as replica_adapter


class RequestSilence:
    """The part of RequestExecution that decides whether a silent exchange goes on."""

    def on_silence(self, _sock: socket.socket | None) -> float:
        """Return the timeout with which a silent exchange goes on; raises TimeoutError if it is given up."""
        remaining_s = self.request.cutoff - self.environment.now()
        if remaining_s <= 0:
            raise TimeoutError("silent until the cutoff")
        self.router.journal.add("silence", outcome=self.chart.state, request=self.request.id)
        if self.secure_restart():
            raise TimeoutError("silent, and another pair is reserved")
        return min(remaining_s, constants.STREAM_IDLE_TIMEOUT_S)

    def secure_restart(self) -> bool:
        """Reserve all that is needed to start over, and return whether that was possible."""
        request, admission = self.request, self.router.admission
        if not request.safe_to_repeat or self.chart.state == "relaying" or self.secured_plan:
            return False
        if self.prefill_attempts >= constants.MAX_PREFILL_ATTEMPTS:
            return False
        silent = {name for name in (self.reserved_prefill, self.reserved_decode) if name}
        with admission.lock:
            if admission.queued_count():  # they wait for the same slots
                return False
            plan = admission.try_plan(request.tenant, self.share(), lambda: self.make_plan(self.excluded | silent))
        if plan is None:
            return False
        cost = self.restart_cost()
        if not self.connects(plan) or not self.router.retry_budget.take_or_borrow(cost):
            self.release_slots(plan)
            return False
        self.secured_plan = plan
        return True

    def make_plan(self, excluded: set[str]) -> planning.Plan | None:
        """Return a plan without the excluded replicas, with its slots reserved; None if there is none now."""
        router = self.router
        sequence, document = router.lease.current()
        if sequence is None or router.handles_waiting:  # waiting handles come first
            return None
        plan = planning.make(router.replicas, sequence, document, self.request, router.zone, excluded)
        if plan:
            router.replicas.request_started(plan.prefill_replica.name)
            router.replicas.request_started(plan.decode_replica.name)
        return plan

    def release_slots(self, plan: planning.Plan) -> None:
        """Release the slots of a plan that is not executed."""
        self.router.replicas.request_ended(plan.prefill_replica.name)
        self.router.replicas.request_ended(plan.decode_replica.name)
        self.router.admission.wake_head()

    def release_secured_plan(self) -> None:
        """Release the slots of a secured plan, if there is one."""
        if self.secured_plan:
            plan, self.secured_plan = self.secured_plan, None
            self.release_slots(plan)

    def connects(self, plan: planning.Plan) -> bool:
        """Whether both replicas of a plan respond now."""
        try:
            for replica in (plan.prefill_replica, plan.decode_replica):
                replica_adapter.condition(self.environment, replica.url)
        except http_client.ExchangeError:
            return False
        return True

    def restart_cost(self) -> int:
        """Extra sends that starting over costs."""
        return sum(1 for count in self.sends_written.values() if count)

    def share(self) -> typing.Any:
        """The share of the request's tenant."""
        tenants = (self.router.lease.document() or {}).get("tenants", {})
        return tenants.get(self.request.tenant, {"share": 1})["share"]
