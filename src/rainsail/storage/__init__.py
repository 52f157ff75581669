"""Durable storage: the file seam, the segment log, snapshots and a replica's identity."""
