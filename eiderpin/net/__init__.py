"""Networking: the event loop, the listeners for clients, the links to workers, and discovery."""
