"""Jobs of relayed items: accepted whole by a quorum, run on idle runners, listed once each.

A job is a list of items, each an opaque request. The nodes of the ledger group replicate the jobs;
the group's leader runs the items on slots of runners that online work leaves free, and commits the
outcome of each item, whose position in the list of results then never changes.

Read first ``job_state``, the replicated state: every other state here is soft and lost with the
leadership. Then ``dispatcher``, whose ``_run_periodically`` calls each part in turn:

* ``open_jobs`` takes up the items of jobs that are not listed yet (``open_item``);
* ``item_planner`` plans the order of items (``item_order`` by ``feasibility``, ``run_lengths``,
  ``slot_meter`` and ``due_times``) and how many may run at once (``reserve``);
* ``preemptor`` closes runs whose slots online work needs (``slot_use.items_to_preempt``);
* ``item_runs`` sends items, ends runs that bring nothing, and acts on the end of each run as
  ``after_run`` decides; ``item_run`` is one run, ``item_recorder`` logs, counts and lists;
* ``item_starter`` starts waiting items by urgency (``slot_use.choose_runner``);
* ``progress_committer`` commits how far items have come, for the next leader.

Who owns which state:

* ``job_state.JobState``: jobs, their items, results and kept progress (replicated, on disk);
* ``waiting_items`` and ``running_items``: each open item is in one of the two;
* ``runner_slots``: online work, load from other callers, failed runs and pauses, by runner;
* ``relay.stream_beginnings``: with which number the streams of items begin, by service and route;
* ``item_routes``: the routing table by which items run;
* ``item_planner``: what was learnt of lengths, slots and due times, the last plan, the reserve;
* ``queue_limits`` and ``held_reads``: proposals and reads that are under way;
* ``placement_service``: what gateways report, and which services are busy.

Calls of gateways arrive at ``ledger_service`` (jobs) and ``placement_service`` (online requests);
``client`` is the gateways' side. ``retention`` finds the jobs that may be forgotten.
"""
