"""Consensus: a replicated log per group. Decisions are pure; ``driver`` does the I/O."""
