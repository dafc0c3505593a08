"""Durable jobs.

`records` defines the stored records, `ledger` the rules (pure), `keeper` the job manager that connects the
ledger to the core and to a log, `recovery` the restart, `elsewhere` the job manager while another process
owns the ledger.
"""
