"""Assembly: how the parts of a replica and of a gateway are put together.

A node takes its dependencies as arguments, so a daemon and a simulated fleet assemble the same
parts.
"""
