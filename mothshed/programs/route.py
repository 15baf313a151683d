"""mothshed-route: the router daemon, on every machine."""

import dataclasses
import functools
import typing

import cappa

import mothshed.data_plane.router as router_module
import mothshed.programs.daemon_flags as daemon_flags
import mothshed.programs.daemon_signals as daemon_signals
import mothshed.programs.daemon_stop as daemon_stop
import mothshed.programs.serving as serving
import mothshed.runtime.log_buffer as log_buffer


@cappa.command(
    name="mothshed-route",
    help="Routes requests: prefill, decode, handle release, response relay. "
    "Example: mothshed-route --settings route.json",
)
@dataclasses.dataclass
class Route(daemon_flags.DaemonFlags):
    """Flags of the router daemon; calling the instance runs the daemon."""

    def __call__(self):
        settings = daemon_flags.load_settings(self)
        daemon_flags.run_daemon(lambda: route(settings))


def route(settings: dict[str, typing.Any]) -> None:
    """Run a router until a signal stops it; raises serving.DaemonExit."""
    router = router_module.Router(serving.environment_factory(settings)(), settings)
    log_buffer.attach_journal(router.journal)
    daemon_signals.DAEMON_SIGNALS.install_stop(functools.partial(daemon_stop.begin, router))
    router.run()
    serving.serve(router.front(), router)


def main():
    """Run the command."""
    daemon_signals.DAEMON_SIGNALS.install_reload()
    cappa.invoke(Route)


if __name__ == "__main__":
    main()
