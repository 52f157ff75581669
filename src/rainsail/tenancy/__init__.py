"""Tenants: authentication by API key, request quotas, and fair queueing between tenants."""
