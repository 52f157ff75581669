"""Clients of the hosting platform: the machine list."""
