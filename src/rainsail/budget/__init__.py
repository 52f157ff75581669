"""Bounds what all clients, and answers of runners, hold together: memory and connections.

Nothing here does I/O: times are passed in, and a client's connection gives way when it is told to.
``client_budget`` is the account, ``eviction`` decides who gives way, ``sizing`` derives the limits
from those of the process. Every listener of a process uses the same ``ClientBudget``, so that there
is no way around it.
"""
