"""Stand-ins and process control for the cases 6 to 10 of the second review."""
