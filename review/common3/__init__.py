"""Stand-ins of clients, servers and the platform for the cases of this review."""
