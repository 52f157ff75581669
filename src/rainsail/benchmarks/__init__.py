"""Benches of the product's own parts, run by ``rainsail bench``."""
