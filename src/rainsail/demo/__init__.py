"""The demonstration: a site's fleet in one process, its users, and what they saw judged."""
