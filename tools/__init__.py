"""Tools beside the daemons: fleet runner, stand-ins, checkers, simulator, load model, runbooks."""
