"""A seeded soak test of the relay in virtual time, with real HTTP bytes on both sides."""
