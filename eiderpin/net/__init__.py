"""Sockets: the loop, the fronts, the worker pools and discovery."""
