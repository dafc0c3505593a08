"""Reads and validates the sections of the file of optional features; imports nothing of the features."""
