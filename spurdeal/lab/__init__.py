"""The laboratory: simulated peers of dispatchers, on loopback, and experiments with real processes."""
