"""Tenants: who asks, how much each may ask, and who goes first when not all can be served."""
