"""How the nodes of a fleet find each other, and what all of them know: runners and the table."""
