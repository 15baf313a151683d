"""Counts the events that each rule judged in one scenario; a rule that judged none shows nothing."""

import tools.deployments as deployments
import tools.judge as judge
import tools.recorded as recorded


def count_by_rule(fleet, recovered_at=None):
    """Return the number of judged events per rule.

    recovered_at is the time from which requests must be served in full again.
    """
    arrivals = recorded.arrivals(fleet.ledger)
    first_seen = {}
    for row in sorted(arrivals, key=lambda r: r["at"]):
        first_seen.setdefault(row["sequence"], row["at"])
    document_times = sorted(first_seen.values())
    ack_times = [w["acked"] for w in fleet.writes[1:]]
    repeatable = {r["id"]: r["safe"] for r in fleet.rows}
    request_ids = {r["id"] for r in fleet.rows}
    return {
        "never twice": len(
            {r["request"] for r in recorded.runs(fleet.ledger) if not repeatable.get(r["request"], False)}
        ),
        "bounced never ran": sum(recorded.rejected(r) for r in fleet.rows),
        "whole and own": sum(bool(r["text"]) for r in fleet.rows),
        "own memory": len(recorded.runs(fleet.ledger, "decode")),
        "new after ack": sum(any(r["at"] > at + judge.OLD_SEQUENCE_AFTER_ACK_S for at in ack_times) for r in arrivals),
        "no fall back": sum(
            any(r["at"] > at + judge.OLD_SEQUENCE_AFTER_SEEN_S for at in document_times[1:]) for r in arrivals
        ),
        "writes kept": len(fleet.writes) + len(fleet.refused),
        "read back": 1,
        "leaving": sum(
            any(
                r["at"] > since + judge.SENDS_AFTER_LEAVING_S
                for spans in fleet.list.history().values()
                for since, until in spans
            )
            for r in arrivals
        ),
        "nothing dropped": len(request_ids),
        "few extras": len(arrivals),
        "orders fenced": sum(r["kind"] == "order" for r in fleet.ledger),
        "plain left alone": sum(
            r["kind"] == "start" and r["replica"] == deployments.PLAIN_REPLICA for r in fleet.ledger
        ),
        "service returns": len({r["id"] for r in fleet.rows if recovered_at is not None and r["sent"] >= recovered_at}),
        "in time": len(request_ids),
        "freed": sum(r["kind"] == "export" for r in fleet.ledger),
        "answered at once": sum(r["status"] == 503 for r in fleet.rows),
        "none starved": len(request_ids),
    }
