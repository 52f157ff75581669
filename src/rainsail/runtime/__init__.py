"""The seams: clock, network and randomness are handed to every component, never looked up."""
