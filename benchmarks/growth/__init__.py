"""Whether memory grows with the jobs that have ended: see `benchmarks.growth.__main__`."""
