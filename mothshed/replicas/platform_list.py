"""The format of the platform's list of replicas; no other module knows it.

The platform answers GET with {"items": [...]}; an item has a replica's name, address, zone, service, labels and
whether it is leaving. The list lags and reading it may fail; callers keep the last good one.
"""

import mothshed.constants as constants
import mothshed.http.http_client as http_client


def read(environment, url):
    status, response = environment.web.poll("GET", url, read=constants.LIST_READ_TIMEOUT_S)
    if status != 200:
        raise http_client.ExchangeError(f"list status {status}", True)
    return parse(response)


def parse(response):
    """Return the rows of a list response by replica name.

    >>> parse({"items": [{"name": "r1", "address": "127.0.0.1:1", "zone": "a", "service": "s",
    ...     "labels": {"app": "x"}, "state": "leaving"}]})["r1"]["leaving"]
    True
    """
    rows = {}
    try:
        for item in response["items"]:
            rows[str(item["name"])] = {
                "url": "http://" + item["address"],
                "cell": str(item["zone"]),
                "service": str(item["service"]),
                "labels": dict(item["labels"]),
                "leaving": item["state"] != "ready",
            }
    except (KeyError, TypeError, ValueError) as e:
        raise http_client.ExchangeError(f"list: {e!r}", True) from e
    return rows
