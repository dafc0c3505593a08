"""What dispatchers do together: stored outcomes, overrides, warm-start hints, ownership of a ledger,
incarnations, the stages of a start. Decisions are in pure modules (events and time in, actions out); other
modules connect them to the store."""
