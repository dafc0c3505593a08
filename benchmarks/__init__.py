"""Measurements, run by hand: `python -m benchmarks.NAME`.

The last line of output is one JSON object; the exit code is 1 where a check failed.
"""
