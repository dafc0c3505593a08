"""One append-only log of records on disk, for all state that has to outlive the process.

`frames` is the format (pure), `files` the seam that all file calls go through, `reading` reads a directory of
segments and checkpoints, `flusher` is the thread that commits in groups, `log` what an owner uses. The format
is described in `docs/formats/log.md`.
"""
