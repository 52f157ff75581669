"""Durable storage: file system interface, segment log, snapshots and replica identity."""
