"""Proxying of opaque requests: match a route, choose a runner, send, retry, resume, answer.

Start with ``run``, which handles one client's request from arrival to its single answer. What
happens after each attempt is decided in ``continuation``, which is pure. Around them:

* ``gateway`` accepts requests and starts a ``RelayRun`` for each; ``early_requests`` holds those
  that arrive before the first routing table; ``fleet_updates`` applies what nodes report;
* ``table``, ``table_reader`` and ``split``: the routing table, and traffic splitting among the
  services of a route;
* ``runner_finder`` and ``placement``: which runner gets the request (the policy is in
  ``rainsail.routing``);
* ``sender`` and ``attempt``: the attempts of a request; ``response_timeout`` and ``idle_runners``:
  time-outs of unresponsive runners;
* ``events`` and ``client_answer``: parsing of event streams, and the answer as sent to the client;
  ``stream_beginnings``: detects streams whose first events were lost; ``held_end``: delays the end
  of a stream while that is undecided;
* ``recorder`` and ``load_reports``: log lines, metrics, and load reports;
* ``protocol`` and ``header_protocol``: the headers that a platform's adapter translates.

All state here is in memory and ends with the gateway's process.
"""
