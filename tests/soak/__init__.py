"""Soaks: real dispatchers under seeded random faults, judged from outside by what clients and engines saw."""
