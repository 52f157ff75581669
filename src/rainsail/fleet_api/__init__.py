"""The native HTTP API of a relaying fleet: runners, operators, jobs, readiness checks."""
