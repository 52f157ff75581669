"""Routing decisions: which runner gets a request or a batch item, or whether it is refused.

Both gateway kinds (relaying and native) call these functions. They do no I/O.
"""
