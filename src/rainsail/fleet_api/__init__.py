"""The product's own HTTP interface to a fleet that relays: runners, operators, jobs, readiness."""
