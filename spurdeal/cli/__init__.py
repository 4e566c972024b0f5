"""The command line. `run` without a sub-command needs nothing of this."""
