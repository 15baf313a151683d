"""What a runbook's steps can check, do and ask for.

A check returns None when it holds and a text that says what is wrong otherwise;
it only reads. A deed changes something through the system's own HTTP fronts and
returns what it did. Hands are things no HTTP front does, such as starting a
process: they are asked of a person, or of the caller's own function.
"""

import re

import mothshed.configuration.document as configuration
import mothshed.programs.document_file as document_file
import mothshed.programs.operator_client as operator_client

CHECKS, DEEDS = {}, {}


def check(call):
    CHECKS[call.__name__] = call
    return call


def deed(call):
    DEEDS[call.__name__] = call
    return call


def condition(address):
    return operator_client.fetch_each([address], "/condition").get(address)


def keepers(book):
    return {a: c for a, c in operator_client.fetch_each(book.keepers, "/condition").items() if c}


@check
def keepers_agree(book):
    """Every part has one leader that its members agree on."""
    found = keepers(book)
    if not found:
        return "no keeper answers"
    for part in range(len(next(iter(found.values()))["parts"])):
        leaders = {c["parts"][part]["leader"] for c in found.values() if c["parts"][part]["state"] != "stopped"}
        if len(leaders) != 1 or "" in leaders:
            return f"part {part}: its members name {sorted(leaders) or 'no'} as leader"
    return None


def seats(book):
    """Map each part to the names of its members, as the leader has them."""
    found = {}
    for c in keepers(book).values():
        for row in c["parts"]:
            if row["state"] == "leader":
                found[row["part"]] = sorted(m.split("/")[0] for m in row["members"])
    return found


@check
def keeper_is_member(book, name):
    missing = [p for p, names in sorted(seats(book).items()) if name not in names] or (not seats(book) and ["any"])
    return f"{name} is not a member of part {missing}" if missing else None


@check
def keeper_is_not_member(book, name):
    present = [p for p, names in sorted(seats(book).items()) if name in names] or (not seats(book) and ["unknown"])
    return f"{name} is still a member of part {present}" if present else None


@check
def members_count(book, count):
    wrong = {p: names for p, names in seats(book).items() if len(names) != int(count)}
    return f"expected {count} members: {wrong or 'no leader answers'}" if wrong or not seats(book) else None


@check
def members_answer(book):
    """Every member of every part answers, under the id the leader knows, with a vote."""
    found = keepers(book)
    rows = [row for c in found.values() for row in c["parts"] if row["state"] == "leader"]
    parts = {row["part"] for c in found.values() for row in c["parts"]}
    if not parts or parts != {row["part"] for row in rows}:
        return "not every part has a leader that answers"
    pages = operator_client.fetch_each(sorted({http for row in rows for http in row["seats"].values()}), "/condition")
    for row in rows:
        for who, http in row["seats"].items():
            page = pages[http]
            if not page or page["who"] != who or page["parts"][row["part"]]["state"] not in ("leader", "follower"):
                return f"part {row['part']}: member {who} does not answer at {http}"
    return None


@check
def no_change_under_way(book):
    status, said = operator_client.first_answer(book.keepers, "GET", "/configuration")
    if status != 200:
        return f"the configuration cannot be read: {said}"
    if said["active"] != said["latest"]:
        return f"sequence {said['latest']} is accepted but {said['active']} is active"
    book.facts["active"] = said["active"]
    return None


@check
def sequence_known(book, sequence):
    status, said = operator_client.first_answer(book.keepers, "GET", "/configuration/history")
    known = [r["sequence"] for r in said.get("rows", [])]
    return None if int(sequence) in known else f"sequence {sequence} is not in the history {known}"


@check
def document_valid(book, file):
    found = configuration.validation_errors(document_file.read(file))
    return "; ".join(found) or None


@check
def all_routers_serve(book):
    """Every router serves, under the active sequence, with both roles in sight."""
    if not book.routers:
        return "no --router was given"
    status, said = operator_client.first_answer(book.keepers, "GET", "/configuration")
    for address, c in operator_client.fetch_each(book.routers, "/condition").items():
        if not c or not c["serving"]:
            return f"{address} does not serve"
        if c["sequence"] != said.get("active"):
            return f"{address} serves under {c['sequence']}, active is {said.get('active')}"
        if len(c["replicas"]) < 2:
            return f"{address} sees only the replicas {c['replicas']}"
    return None


@check
def router_serves(book, address):
    c = condition(address)
    return None if c and c["serving"] else f"{address} does not serve"


@check
def router_gone(book, address):
    return f"{address} still answers" if condition(address) else None


@check
def replica_seen(book, name):
    """Every router would place requests upon it."""
    blind = [
        a
        for a, c in operator_client.fetch_each(book.routers, "/condition").items()
        if not c or name not in c["replicas"]
    ]
    return f"{name} is not usable at {blind}" if blind or not book.routers else None


@check
def replica_left_alone(book, name):
    """No router places requests upon it."""
    using = [
        a for a, c in operator_client.fetch_each(book.routers, "/condition").items() if c and name in c["replicas"]
    ]
    return f"{name} is still placed upon at {using}" if using or not book.routers else None


@deed
def apply_document(book, file):
    return applied(book, document_file.read(file))


@deed
def apply_again(book, sequence):
    """Applies an earlier document anew, as the newest sequence."""
    status, said = operator_client.first_answer(book.keepers, "GET", "/configuration/history")
    row = next(r for r in said["rows"] if r["sequence"] == int(sequence))
    return applied(book, row["document"])


def applied(book, document):
    code, said = operator_client.apply_document(book.keepers, book.facts["active"], document, "runbook", book.mark())
    if code:
        raise RuntimeError(f"not applied (exit {code}): {said}")
    return f"accepted as sequence {said['sequence']}"


@deed
def count_bounces(book):
    """Says why requests were bounced, per router, and what each cause means."""
    lines = []
    for address, text in operator_client.fetch_each(book.routers, "/metrics", text=True).items():
        rows = dict(re.findall(r"mothshed_bounce_(\w+)_total (\d+)", text or ""))
        lines += [f"{address}: {n} x {cause}: {MEANING.get(cause, '')}" for cause, n in sorted(rows.items())]
    return "\n".join(lines) or "no router has bounced a request"


MEANING = {
    "no_lease": "no lease on the configuration: look at the keepers (majority, disks, cuts)",
    "no_configuration": "no configuration has reached this router: apply one, or look at its way to the keepers",
    "no_pair": "no reader and writer with a free place: too little capacity, a wrong selector, or replicas in doubt",
    "queue_full": "more arrived than the queues hold: a crowd; look at tenants' shares and capacity",
    "sends_failed": "replicas refused or were unreachable: look at the replicas",
}
