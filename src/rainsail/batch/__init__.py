"""Batch work: job intake, the dispatcher and its policies."""
