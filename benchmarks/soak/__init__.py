"""Real dispatchers under seeded faults of clock, system calls, signals, servers and clients, judged from
outside."""
