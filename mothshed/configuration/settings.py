"""Settings of a process, read from a JSON file and overridden by flags.

All errors are reported with their paths. A process needs its name,
its peer and HTTP addresses, its zone (`cell`), up to three seed addresses of other
processes, and the URL of the platform's replica list. A keeper also needs its data folder and, unless they
are the seeds, the first members of its consensus groups (an empty list if the groups were bootstrapped earlier).

>>> validation_errors({"name": "r1"})[0]
'address: required key not provided'
"""

import ipaddress
import json
import pathlib

import voluptuous

import mothshed.configuration.document as configuration


class SettingsError(Exception):
    """Invalid settings; `errors` lists all errors, each with its path."""

    def __init__(self, errors):
        super().__init__("\n".join(errors))
        self.errors = errors


def ip_and_port(text):
    if not isinstance(text, str) or ":" not in text:
        raise voluptuous.Invalid("expected ip:port")
    host, port = text.rsplit(":", 1)
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise voluptuous.Invalid(f"expected ip:port, got {text!r}")
    return text


SCHEMA = voluptuous.Schema(
    {
        "name": voluptuous.All(str, voluptuous.Match(r"^[A-Za-z0-9._-]{1,64}$")),
        "address": ip_and_port,
        "http": ip_and_port,
        voluptuous.Optional("listen"): ip_and_port,
        "cell": voluptuous.All(str, voluptuous.Length(min=1)),
        "seeds": voluptuous.All([ip_and_port], voluptuous.Length(min=1, max=3)),
        "list_url": voluptuous.All(str, voluptuous.Match(r"^http://")),
        voluptuous.Optional("first_keepers"): voluptuous.All([ip_and_port], voluptuous.Length(max=7)),
        voluptuous.Optional("data"): voluptuous.All(str, voluptuous.Length(min=1)),
        voluptuous.Optional("ring"): str,
        voluptuous.Optional("ready_http"): ip_and_port,
        voluptuous.Optional("slack"): voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=100000)),
        voluptuous.Optional("losses"): voluptuous.All(int, voluptuous.Range(min=0, max=100)),
        voluptuous.Optional("catch_up_s"): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0.5, max=600)
        ),
        voluptuous.Optional("in_force_s"): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0.5, max=600)
        ),
        voluptuous.Optional("tenure_s"): voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=600)),
        voluptuous.Optional("limit_window_s"): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0.1, max=3600)
        ),
        voluptuous.Optional("limit_excess"): voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=1)),
        voluptuous.Optional("limit_slack"): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0, max=1000000)
        ),
        voluptuous.Optional("grace_s"): voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=1, max=600)),
        voluptuous.Optional("linger_s"): voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=60)),
        voluptuous.Optional("drain_s"): voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=600)),
    },
    required=True,
)


def validation_errors(settings):
    try:
        SCHEMA(settings)
    except voluptuous.MultipleInvalid as invalid:
        return sorted(f"{configuration.error_path(error)}: {error.error_message}" for error in invalid.errors)
    return []


def load(path, flags, keeper=False):
    """Load the settings of a process from a file, overridden by the given flags; raises SettingsError."""
    settings = {}
    if path:
        try:
            settings = json.loads(pathlib.Path(path).read_text())
        except (OSError, ValueError) as error:
            raise SettingsError([f"{path}: {error}"]) from error
        if not isinstance(settings, dict):
            raise SettingsError([f"{path}: must be a JSON object"])
    settings.update({k: v for k, v in flags.items() if v not in (None, [], "")})
    errors = validation_errors(settings)
    if keeper and not settings.get("data"):
        errors.append("data: a keeper needs a data folder")
    if errors:
        raise SettingsError(errors)
    settings.setdefault("first_keepers", settings["seeds"])
    return settings
