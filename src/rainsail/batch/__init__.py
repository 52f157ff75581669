"""Batch jobs on native engines: intake, leases, the dispatcher and its policies."""
