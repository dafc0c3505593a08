"""Stand-ins and helpers that the cases of the review share. They need the standard library only."""
