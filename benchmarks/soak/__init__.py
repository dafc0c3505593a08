"""Soak test of real dispatchers under seeded faults of the clock, system calls, signals, workers and clients.

The rules are checked from outside, by what the simulated clients and workers observe.
"""
