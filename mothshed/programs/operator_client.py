"""HTTP client of the operator's commands: calls keepers and follows their 307 redirects to the leader."""

import time
import typing
import urllib.parse

import urllib3

import mothshed.constants as constants
import mothshed.http.connection as connection
import mothshed.http.http_client as http_client


def follow_redirects(pool, method, url, body):
    """Send a request to one address, follow its redirects to the leader, and return (status, answer)."""
    for _redirect in range(4):
        status, answer, location = send_once(pool, method, url, body)
        if status != 307:
            return status, answer
        url = location
    return 503, {"error": {"message": "too many redirects between keepers", "verdict": "not_run"}}


def send_once(pool, method, url, body):
    """Send one request; return its status, its answer and the location of a redirect."""
    response = pool.request(
        method,
        url,
        json=body,
        redirect=False,
        retries=False,
        timeout=urllib3.Timeout(connect=1.0, read=constants.QUERY_TIMEOUT_S),
    )
    return response.status, response.json(), response.headers.get("location")


def first_answer(addresses, method, path, body=None):
    """Return (status, answer) of the first address that answers other than 503.

    All addresses are tried in turn until MIN_QUERY_TIME_S has passed and MIN_QUERY_ATTEMPTS calls were made.
    """
    pool, last = connection.AddressPools(), (503, {"error": {"message": "no address answered", "verdict": "not_run"}})
    calls, deadline = 0, time.monotonic() + constants.MIN_QUERY_TIME_S
    while calls < constants.MIN_QUERY_ATTEMPTS or time.monotonic() < deadline:
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
    """Return (status, answer) of one call; 503 and the error if there is no answer."""
    try:
        return follow_redirects(pool, method, url, body)
    except http_client.TRANSPORT_ERRORS as error:
        return 503, {"error": {"message": f"{type(error).__name__}: {error}", "verdict": "may_have_run"}}


def apply_document(keepers, base, document, by, change_id):
    """Apply a whole document; return (exit code, answer)."""
    return send_change(keepers, "PUT", {"base": base, "document": document, "by": by, "id": change_id})


def change_items(
    keepers: list[str], base: int, items: dict[str, typing.Any], by: str, change_id: str
) -> tuple[int, dict[str, typing.Any]]:
    """Change named items; return (exit code, answer). items: `put` and `remove`, see document_change.parse_change."""
    return send_change(keepers, "PATCH", {**items, "base": base, "by": by, "id": change_id})


def send_change(keepers: list[str], method: str, body: dict[str, typing.Any]) -> tuple[int, dict[str, typing.Any]]:
    """Send a change and return (exit code, answer). Repeating it is safe: keepers accept each id once."""
    status, answer, change_id = 0, {}, body["id"]
    for _attempt in range(3):
        status, answer = first_answer(keepers, method, "/configuration", body)
        if status not in (503, 504):
            break
    if status in (503, 504):
        query = urllib.parse.urlencode({"id": change_id})
        history_status, history = first_answer(keepers, "GET", f"/configuration/history?{query}")
        sequence = history["taken"][change_id] if history_status == 200 else None
        if sequence is not None:
            return 0, {"sequence": sequence, "id": change_id}
        return (6 if answer.get("error", {}).get("verdict") == "may_have_run" else 1), answer
    return {200: 0, 409: 5, 400: 2}.get(status, 1), answer


def fetch_each(addresses, path, text=False):
    """Return each address with its current answer, or None if there is none; a 503 response counts as an answer."""
    pool, answers = connection.AddressPools(), {}
    for address in addresses:
        try:
            response = pool.request(
                "GET",
                f"http://{address}{path}",
                redirect=False,
                retries=False,
                timeout=urllib3.Timeout(connect=1.0, read=2.0),
            )
            answers[address] = response.data.decode() if text else response.json()
        except http_client.TRANSPORT_ERRORS:
            answers[address] = None
    return answers
