"""An append-only log of records on disk, for all state that must survive the process.

`frames` is the file format (pure), `files` makes all file calls, `reading` reads a directory of segments and
checkpoints, `flusher` is the thread that commits records in groups, and `log` is the interface for the owner
of a log. The format is described in `docs/formats/log.md`.
"""
