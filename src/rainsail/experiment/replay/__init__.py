"""Replay of a trace against stated outcomes, on the virtual clock or over HTTP."""
