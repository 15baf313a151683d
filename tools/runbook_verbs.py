"""The checks and actions of runbook steps.

A check only reads; it returns None if it holds and otherwise a text that says what
is wrong. An action changes something through the HTTP interfaces of the system and
returns what it did. Steps without an HTTP interface, such as starting a process,
are asked of a person or of a function of the caller.
"""

import re

import mothshed.configuration.document as configuration
import mothshed.programs.document_file as document_file
import mothshed.programs.operator_client as operator_client

CHECKS, ACTIONS = {}, {}


def check(function):
    CHECKS[function.__name__] = function
    return function


def action(function):
    ACTIONS[function.__name__] = function
    return function


def read_condition(address):
    return operator_client.fetch_each([address], "/condition").get(address)


def read_keepers(run):
    return {address: page for address, page in operator_client.fetch_each(run.keepers, "/condition").items() if page}


@check
def keepers_agree(run):
    """Every part has one leader, on which its members agree."""
    conditions = read_keepers(run)
    if not conditions:
        return "no keeper answers"
    for part in range(len(next(iter(conditions.values()))["parts"])):
        leaders = {
            page["parts"][part]["leader"] for page in conditions.values() if page["parts"][part]["state"] != "stopped"
        }
        if len(leaders) != 1 or "" in leaders:
            return f"part {part}: its members name {sorted(leaders) or 'no'} as leader"
    return None


def members_by_part(run):
    """Map each part to the names of its members, as its leader reports them."""
    members = {}
    for page in read_keepers(run).values():
        for row in page["parts"]:
            if row["state"] == "leader":
                members[row["part"]] = sorted(member_id.split("/")[0] for member_id in row["members"])
    return members


@check
def keeper_is_member(run, name):
    missing = [part for part, names in sorted(members_by_part(run).items()) if name not in names] or (
        not members_by_part(run) and ["any"]
    )
    return f"{name} is not a member of part {missing}" if missing else None


@check
def keeper_is_not_member(run, name):
    present = [part for part, names in sorted(members_by_part(run).items()) if name in names] or (
        not members_by_part(run) and ["unknown"]
    )
    return f"{name} is still a member of part {present}" if present else None


@check
def members_count(run, count):
    invalid = {part: names for part, names in members_by_part(run).items() if len(names) != int(count)}
    return (
        f"expected {count} members: {invalid or 'no leader answers'}" if invalid or not members_by_part(run) else None
    )


@check
def members_answer(run):
    """Every member of every part responds as a voter under the id that the leader knows."""
    conditions = read_keepers(run)
    rows = [row for page in conditions.values() for row in page["parts"] if row["state"] == "leader"]
    parts = {row["part"] for page in conditions.values() for row in page["parts"]}
    if not parts or parts != {row["part"] for row in rows}:
        return "not every part has a leader that answers"
    pages = operator_client.fetch_each(sorted({http for row in rows for http in row["seats"].values()}), "/condition")
    for row in rows:
        for member_id, http in row["seats"].items():
            page = pages[http]
            if (
                not page
                or page["who"] != member_id
                or page["parts"][row["part"]]["state"] not in ("leader", "follower")
            ):
                return f"part {row['part']}: member {member_id} does not answer at {http}"
    return None


@check
def no_change_under_way(run):
    status, response = operator_client.first_answer(run.keepers, "GET", "/configuration")
    if status != 200:
        return f"the configuration cannot be read: {response}"
    if response["active"] != response["latest"]:
        return f"sequence {response['latest']} is accepted but {response['active']} is active"
    run.facts["active"] = response["active"]
    return None


@check
def sequence_known(run, sequence):
    status, response = operator_client.first_answer(run.keepers, "GET", "/configuration/history")
    known = [row["sequence"] for row in response.get("rows", [])]
    return None if int(sequence) in known else f"sequence {sequence} is not in the history {known}"


@check
def document_valid(run, file):
    errors = configuration.validation_errors(document_file.read(file))
    return "; ".join(errors) or None


@check
def all_routers_serve(run):
    """Every router serves under the active sequence and sees replicas of both roles."""
    if not run.routers:
        return "no --router was given"
    status, response = operator_client.first_answer(run.keepers, "GET", "/configuration")
    for address, page in operator_client.fetch_each(run.routers, "/condition").items():
        if not page or not page["serving"]:
            return f"{address} does not serve"
        if page["sequence"] != response.get("active"):
            return f"{address} serves under {page['sequence']}, active is {response.get('active')}"
        if len(page["replicas"]) < 2:
            return f"{address} sees only the replicas {page['replicas']}"
    return None


@check
def router_serves(run, address):
    page = read_condition(address)
    return None if page and page["serving"] else f"{address} does not serve"


@check
def router_gone(run, address):
    page = read_condition(address)
    if not page:
        return None
    return f"{address} still answers; its stop: {page.get('stop')}, {page.get('flight')} requests under way"


@check
def replica_seen(run, name):
    """Every router would send requests to it."""
    unaware = [
        address
        for address, page in operator_client.fetch_each(run.routers, "/condition").items()
        if not page or name not in page["replicas"]
    ]
    return f"{name} is not usable at {unaware}" if unaware or not run.routers else None


@check
def replica_left_alone(run, name):
    """No router sends requests to it."""
    using = [
        address
        for address, page in operator_client.fetch_each(run.routers, "/condition").items()
        if page and name in page["replicas"]
    ]
    return f"{name} still gets requests from {using}" if using or not run.routers else None


@action
def apply_document(run, file):
    return apply_over_active(run, document_file.read(file))


@action
def apply_again(run, sequence):
    """Apply an earlier document again, as the newest sequence."""
    status, response = operator_client.first_answer(run.keepers, "GET", "/configuration/history")
    row = next(row for row in response["rows"] if row["sequence"] == int(sequence))
    return apply_over_active(run, row["document"])


def apply_over_active(run, document):
    code, response = operator_client.apply_document(
        run.keepers, run.facts["active"], document, "runbook", run.new_request_id()
    )
    if code:
        raise RuntimeError(f"not applied (exit {code}): {response}")
    return f"accepted as sequence {response['sequence']}"


@action
def count_bounces(run):
    """Report why requests were rejected, per router, and what each cause means."""
    lines = []
    for address, text in operator_client.fetch_each(run.routers, "/metrics", text=True).items():
        rows = dict(re.findall(r"mothshed_bounce_(\w+)_total (\d+)", text or ""))
        lines += [f"{address}: {count} x {cause}: {MEANING.get(cause, '')}" for cause, count in sorted(rows.items())]
    return "\n".join(lines) or "no router has rejected a request"


MEANING = {
    "no_lease": "no lease on the configuration: look at the keepers (majority, disks, cuts)",
    "no_configuration": "no configuration has reached this router: apply one, or check its connection to the keepers",
    "no_pair": "no prefill and decode replica with free slots: low capacity, wrong selector, or suspect replicas",
    "queue_full": "more requests arrived than the queues hold; look at tenants' shares and capacity",
    "sends_failed": "replicas refused or were unreachable: look at the replicas",
}
