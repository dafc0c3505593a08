"""A small replicated store: Raft as a pure machine, the documents that it keeps, and what carries both.

`messages`, `log`, `raft` are the consensus (no clock, no disk, no wire); `state` is what it keeps; `records`
is what a member writes to `eiderpin.durable`; `member` puts these together; `transport` carries messages on
the program's loop. The design is `docs/design/store.md`.
"""
