"""Tools beside the daemons: fleet, stand-ins, checker, simulator, runbooks."""
