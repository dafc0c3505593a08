"""Hostile peers of a dispatcher: they send too much or too slowly, stop halfway, or never read."""
