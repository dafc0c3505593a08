"""The dispatcher's core: requests, attempts and deadlines. It knows no wire."""
