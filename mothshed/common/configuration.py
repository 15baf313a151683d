"""The operators' configuration document: its shape and its checking.

A document is whole: it names the model, the kinds of request, the tenants, the
pools (selectors over replica labels, with split bounds) and the pairings (which
requests go to which pool under which policy). `check` returns every fault with
its path, so that an operator mends all of them at once.

>>> faults({"model": 3})[0]
'kinds: required key not provided'
>>> faults(EXAMPLE)
[]
"""

import voluptuous

POLICIES = ("least_usage", "prefix_affinity")
NAME = voluptuous.All(str, voluptuous.Length(min=1, max=100))
WHOLE = voluptuous.All(int, voluptuous.Range(min=0, max=10000))
SECONDS = voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0.05, max=60))
LABELS = voluptuous.Any({}, {NAME: NAME})

KIND = {"cutoff_s": SECONDS, voluptuous.Optional("first_token_s"): SECONDS}
TENANT = {"share": voluptuous.All(int, voluptuous.Range(min=1, max=100))}
POOL = {
    "selector": LABELS,
    voluptuous.Optional("least_prefill", default=1): WHOLE,
    voluptuous.Optional("least_decode", default=1): WHOLE,
    voluptuous.Optional("shift", default=True): bool,
    voluptuous.Optional("prefill_share", default=0.4): voluptuous.All(
        voluptuous.Any(int, float), voluptuous.Range(min=0, max=1)),
}
PAIRING = {
    voluptuous.Optional("kinds"): [NAME],
    voluptuous.Optional("tenants"): [NAME],
    "pool": NAME,
    "policy": voluptuous.In(POLICIES),
    voluptuous.Optional("prefill"): LABELS,
    voluptuous.Optional("decode"): LABELS,
}
DOCUMENT = voluptuous.Schema({
    "model": NAME,
    "kinds": voluptuous.All({NAME: KIND}, voluptuous.Length(min=1)),
    "tenants": voluptuous.All({NAME: TENANT}, voluptuous.Length(min=1)),
    "pools": voluptuous.All({NAME: POOL}, voluptuous.Length(min=1)),
    "pairings": voluptuous.All([PAIRING], voluptuous.Length(min=1)),
    voluptuous.Optional("note"): str,
}, required=True)

EXAMPLE = {
    "model": "shift-notes",
    "kinds": {"summary": {"cutoff_s": 8, "first_token_s": 1}, "question": {"cutoff_s": 8},
              "flag": {"cutoff_s": 2.5}},
    "tenants": {"dispatch": {"share": 1}, "repair": {"share": 1}, "riders": {"share": 1}},
    "pools": {"main": {"selector": {"app": "shift-notes"}, "least_prefill": 1, "least_decode": 1}},
    "pairings": [{"pool": "main", "policy": "prefix_affinity"}],
}


def path_of(error):
    return ".".join(str(p) for p in error.path) or "document"


def faults(document):
    """Every fault as 'path: what is wrong'; an empty list means valid."""
    try:
        DOCUMENT(document)
    except voluptuous.MultipleInvalid as many:
        return sorted(f"{path_of(e)}: {e.error_message}" for e in many.errors)
    found = []
    for at, row in enumerate(document["pairings"]):
        if row["pool"] not in document["pools"]:
            found.append(f"pairings.{at}.pool: no pool is named {row['pool']!r}")
        for word, table in (("kinds", "kinds"), ("tenants", "tenants")):
            for name in row.get(word, []):
                if name not in document[table]:
                    found.append(f"pairings.{at}.{word}: {table} has no {name!r}")
    return found


def full(document):
    """The document with defaults filled in."""
    return DOCUMENT(document)
