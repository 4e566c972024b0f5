"""An operator's file: YAML, checked against types; what is wrong is told with file, line and key."""
