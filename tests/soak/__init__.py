"""Soak tests: real dispatchers under seeded fault injection, checked by what clients and engines observed."""
