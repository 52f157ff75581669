"""Checkers: one per invariant, each reads a recorded history and nothing else."""
