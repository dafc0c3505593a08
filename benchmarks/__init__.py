"""Measurements, run by hand: `python -m benchmarks.NAME`.

The last line is one JSON object; exit code 1 where a promise broke.
"""
