"""A small replicated store of documents, based on Raft.

`messages`, `log`, `progress` and `raft` implement consensus without I/O. `state` is the replicated state
machine, and `records` is what a member writes to `eiderpin.durable`. `member` combines these, and `transport`
carries messages on the event loop. The design is described in `docs/design/store.md`.
"""
