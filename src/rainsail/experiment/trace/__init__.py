"""Traces: what arrived at a site, recorded or generated, to be replayed."""
