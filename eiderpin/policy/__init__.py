"""Parts of the decision logic by concern. They do no I/O: events and a time go in, actions come out."""
