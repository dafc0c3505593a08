"""What dispatchers do together: kept outcomes, orders, hints, who owns a ledger, who is speaking, the stages
of a start. Each decision is a pure module: events and time in, actions out; one file ties it to the store."""
