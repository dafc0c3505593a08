"""The dispatcher's core: flows, attempts and deadlines. It knows no wire."""
