"""How the nodes of a fleet find each other, and what all of them know: runners and the table.

Read first ``controller``, which puts a controller's parts together, and ``follower``, every node's
side. Who owns which state:

* ``fleet_state.FleetState``: routing table, ledger's founders, zone drains, held requests, nodes to
  be emptied (replicated by the root group, on disk);
* ``registry`` and ``warm_up``: runners, as they report themselves (memory; ``runner_journal`` keeps
  on a controller's disk what must outlive a restart);
* ``directory``: the nodes that send heartbeats to a controller;
* ``known_controllers``: the controllers that a node knows;
* ``committed_copy``: what a controller had applied before it was restarted.

Operators' orders go to the root group's leader by ``leader_calls``: ``table_service``,
``zone_drain_orders``, ``emptying``.
"""
