"""A seeded soak of relaying in virtual time, over real HTTP bytes on both sides of a gateway."""
