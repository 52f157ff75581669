"""Fleet test rig: runs a whole site's daemons on loopback under load and failures, and checks them.

The rig signals and kills only processes that it started. No daemon imports it.
"""
