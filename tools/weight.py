"""How much each rule had to judge on one day: a rule with nothing to judge proves nothing."""

import tools.deployments as deployments
import tools.judge as judge
import tools.recorded as recorded


def weights(f, back=None):
    """Count the things that each rule judged. back: the moment from which service must be whole again."""
    arrived = recorded.arrivals(f.ledger)
    first_seen = {}
    for row in sorted(arrived, key=lambda r: r["at"]):
        first_seen.setdefault(row["sequence"], row["at"])
    latest = sorted(first_seen.values())
    acked = [w["acked"] for w in f.writes[1:]]
    safe = {r["id"]: r["safe"] for r in f.rows}
    asked = {r["id"] for r in f.rows}
    return {
        "never twice": len({r["request"] for r in recorded.runs(f.ledger) if not safe.get(r["request"], False)}),
        "bounced never ran": sum(recorded.rejected(r) for r in f.rows),
        "whole and own": sum(bool(r["text"]) for r in f.rows),
        "own memory": len(recorded.runs(f.ledger, "decode")),
        "new after ack": sum(any(r["at"] > at + judge.OLD_SEQUENCE_AFTER_ACK_S for at in acked) for r in arrived),
        "no fall back": sum(any(r["at"] > at + judge.OLD_SEQUENCE_AFTER_SEEN_S for at in latest[1:]) for r in arrived),
        "writes kept": len(f.writes) + len(f.refused),
        "read back": 1,
        "leaving": sum(
            any(
                r["at"] > since + judge.SENDS_AFTER_LEAVING_S
                for spans in f.list.history().values()
                for since, until in spans
            )
            for r in arrived
        ),
        "nothing dropped": len(asked),
        "few extras": len(arrived),
        "orders fenced": sum(r["kind"] == "order" for r in f.ledger),
        "plain left alone": sum(r["kind"] == "start" and r["replica"] == deployments.PLAIN_REPLICA for r in f.ledger),
        "service returns": len({r["id"] for r in f.rows if back is not None and r["sent"] >= back}),
        "in time": len(asked),
        "freed": sum(r["kind"] == "export" for r in f.ledger),
        "answered at once": sum(r["status"] == 503 for r in f.rows),
        "none starved": len(asked),
    }
