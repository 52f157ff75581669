"""Nodes of a fleet that relays, put together from their parts: gateway, controller, storage."""
