"""Fleet rig: real daemons of a whole site on loopback, under load and failures, then judged.

The rig starts the processes, so it may kill them; it is no part of any daemon.
"""
