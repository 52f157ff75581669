"""Assembly of replicas, gateways and emulated engines from their components.

A node takes its dependencies as arguments, so a daemon and a simulated fleet assemble the same
parts.
"""
