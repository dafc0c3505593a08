"""The dispatcher's core: flows, schedulings and deadlines. It knows no wire."""
