"""Responses of the operators' interface to orders that were not applied, or may not have been."""

import mothshed.constants as constants
import mothshed.http.http_server as http_server

StartResponse = http_server.StartResponse


def respond_not_confirmed(start_response: StartResponse) -> list[bytes]:
    """Respond that nothing was written, as no majority confirms the leader."""
    message = "no majority confirms this leader now; nothing was written"
    return http_server.error_response(start_response, 503, message, retry_after_s=constants.RETRY_AFTER_S)


def respond_outcome_unknown(start_response: StartResponse, order_id: str) -> list[bytes]:
    """Respond that the order may have been accepted."""
    text = "not known whether it was accepted: send it again with its id, or read the history"
    return http_server.error_response(start_response, 504, text, verdict="may_have_run", id=order_id)


def respond_not_applied(start_response: StartResponse, faults: list[str]) -> list[bytes]:
    """Respond that the order is invalid, with all its faults."""
    return http_server.error_response(start_response, 400, "nothing was applied", faults=faults)


def respond_busy(start_response: StartResponse) -> list[bytes]:
    """Respond that nothing was done, as another large order is being handled."""
    message = "another large document is being handled; nothing was written"
    return http_server.error_response(start_response, 503, message, retry_after_s=constants.RETRY_AFTER_S)
