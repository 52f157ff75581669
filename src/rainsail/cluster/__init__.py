"""Membership of a fleet: node discovery, the registry of runners and the routing table.

Start with ``controller``, which assembles a controller's parts, and with ``follower``, the part
that every node runs. Which module owns which state:

* ``fleet_state.FleetState``: the routing table, the founders of the ledger group, zone drains, held
  requests, storage nodes to be emptied (replicated by the root group, on disk);
* ``registry`` and ``warm_up``: the runners, from their own reports (in memory; ``runner_journal``
  stores on a controller's disk what must survive a restart);
* ``directory``: the nodes that send heartbeats to a controller;
* ``known_controllers``: the controllers that a node has learned of;
* ``committed_copy``: the committed state that a controller had applied before its restart.

``leader_calls`` forwards operators' orders to the root group's leader; ``table_service``,
``zone_drain_orders`` and ``emptying`` use it.
"""
