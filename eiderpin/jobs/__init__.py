"""Durable jobs: `records` what is written, `ledger` the rules (pure), `keeper` ties them to the core and a
log."""
