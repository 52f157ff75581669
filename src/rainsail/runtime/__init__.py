"""The process's environment: clock, sockets, files.

Components get the clock, the network and randomness injected, and never look them up.
"""
