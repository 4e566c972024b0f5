"""The command line. A dispatcher that runs without a sub-command imports nothing from here."""
