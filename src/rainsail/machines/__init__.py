"""Clients of the platform around rainsail: the list of machines."""
