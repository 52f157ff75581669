"""Validated settings: one TOML file per process."""
