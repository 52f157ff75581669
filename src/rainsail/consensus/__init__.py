"""Raft-style consensus: one replicated log per group.

The decision modules are free of I/O; ``driver`` carries out their effects.
"""
