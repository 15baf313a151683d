"""Asking keepers over HTTP on the operator's behalf; follows 307 to the leader."""

import time
import typing
import urllib.parse

import urllib3

import mothshed.constants as constants
import mothshed.http.http_client as http_client


def one(pool, method, url, body):
    """Call one address and follow its redirects to the leader."""
    for _hop in range(4):
        status, said, goal = once(pool, method, url, body)
        if status != 307:
            return status, said
        url = goal
    return 503, {"error": {"message": "sent round in circles", "verdict": "not_run"}}


def once(pool, method, url, body):
    """Call once; give status, answer and where a redirect leads."""
    response = pool.request(
        method,
        url,
        json=body,
        redirect=False,
        retries=False,
        timeout=urllib3.Timeout(connect=1.0, read=constants.QUERY_TIMEOUT_S),
    )
    return response.status, response.json(), response.headers.get("location")


def any_of(addresses, method, path, body=None):
    """(status, answer) of the first address that answers other than 503; rounds go on for MIN_QUERY_TIME_S seconds."""
    pool, last = urllib3.PoolManager(), (503, {"error": {"message": "no address answered", "verdict": "not_run"}})
    calls, end = 0, time.monotonic() + constants.MIN_QUERY_TIME_S
    while calls < constants.MIN_QUERY_ATTEMPTS or time.monotonic() < end:
        for address in addresses:
            last = attempt(pool, method, f"http://{address}{path}", body)
            if last[0] != 503:
                return last
        calls += len(addresses)
        time.sleep(constants.QUERY_RETRY_INTERVAL_S)
    return last


def attempt(
    pool: urllib3.PoolManager, method: str, url: str, body: dict[str, typing.Any] | None
) -> tuple[int, dict[str, typing.Any]]:
    """(status, answer) of one call; 503 and the reason if there is no answer."""
    try:
        return one(pool, method, url, body)
    except http_client.TRANSPORT_ERRORS as e:
        return 503, {"error": {"message": f"{type(e).__name__}: {e}", "verdict": "may_have_run"}}


def apply(keepers, base, document, by, mark):
    """(exit code, answer) of applying a whole document."""
    return send_order(keepers, "PUT", {"base": base, "document": document, "by": by, "id": mark})


def change(
    keepers: list[str], base: int, items: dict[str, typing.Any], by: str, mark: str
) -> tuple[int, dict[str, typing.Any]]:
    """(exit code, answer) of changing named items. items: `put` and `remove`, as for document_change.parse_change."""
    return send_order(keepers, "PATCH", {**items, "base": base, "by": by, "id": mark})


def send_order(keepers: list[str], method: str, body: dict[str, typing.Any]) -> tuple[int, dict[str, typing.Any]]:
    """(exit code, answer). Sending the same id again is safe: it is accepted once."""
    status, said, mark = 0, {}, body["id"]
    for _turn in range(3):
        status, said = any_of(keepers, method, "/configuration", body)
        if status not in (503, 504):
            break
    if status in (503, 504):
        query = urllib.parse.urlencode({"id": mark})
        seen, past = any_of(keepers, "GET", f"/configuration/history?{query}")
        sequence = past["taken"][mark] if seen == 200 else None
        if sequence is not None:
            return 0, {"sequence": sequence, "id": mark}
        return (6 if said.get("error", {}).get("verdict") == "may_have_run" else 1), said
    return {200: 0, 409: 5, 400: 2}.get(status, 1), said


def once_each(addresses, path, text=False):
    """Map each address to what it answers now, or None; a 503 condition is an answer too."""
    pool, found = urllib3.PoolManager(), {}
    for address in addresses:
        try:
            response = pool.request(
                "GET",
                f"http://{address}{path}",
                redirect=False,
                retries=False,
                timeout=urllib3.Timeout(connect=1.0, read=2.0),
            )
            found[address] = response.data.decode() if text else response.json()
        except http_client.TRANSPORT_ERRORS:
            found[address] = None
    return found
