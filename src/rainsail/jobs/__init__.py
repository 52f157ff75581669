"""Batch jobs of relayed items: replicated to a quorum, run on idle runners, each item listed once.

A job is a list of items, each an opaque request. The nodes of the ledger group replicate the jobs.
The group's leader runs the items on runner slots that online work leaves free. It commits the
outcome of each item, which appends it to the job's list of results: the item is then *listed*, and
its position never changes.

Start with ``job_state``, the replicated state; all other state here is in memory only and lost when
the leadership changes. Then read ``dispatcher``, whose ``_run_periodically`` calls each part in
turn:

* ``open_jobs`` enqueues the unlisted items of open jobs (``open_item``);
* ``item_planner`` plans the order of items (``item_order`` by ``feasibility``, ``run_lengths``,
  ``slot_meter`` and ``due_times``) and the concurrency limit (``reserve``);
* ``preemptor`` closes runs whose slots online work needs (``slot_use.items_to_preempt``);
* ``item_runs`` sends items, times out idle runs, and acts on the end of each run as ``after_run``
  decides; ``item_run`` is one run, ``item_recorder`` logs, counts and lists;
* ``item_starter`` starts waiting items by urgency (``slot_use.choose_runner``);
* ``failure_notes`` commits the failures of items (``failure_counts``), before runs where needed;
* ``progress_committer`` commits the progress of running items, from which the next leader resumes.

Who owns which state:

* ``job_state.JobState``: jobs, their items, results, committed progress and failures (replicated,
  on disk);
* ``waiting_items`` and ``running_items``: each open item is in one of the two;
* ``runner_slots``: online work, load from other callers, failed runs and pauses, by runner;
* ``relay.stream_beginnings``: the number of the first event of streams, by service and route;
* ``item_routes``: the routing table by which items run;
* ``item_planner``: estimates of lengths and slots, due times, the last plan, the reserve;
* ``queue_limits`` and ``held_reads``: pending proposals and reads;
* ``placement_service``: what gateways report, and which services are busy.

Calls from gateways arrive at ``ledger_service`` (jobs) and ``placement_service`` (online requests);
``client`` is the gateways' side. ``retention`` finds the jobs that may be deleted.
"""
