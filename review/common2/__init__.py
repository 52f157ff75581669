"""Parts that the cases 4 to 8 share: a fleet of real processes, runners, clients, an operator."""
