"""The dispatcher's core: requests, attempts and deadlines, independent of any network protocol."""
