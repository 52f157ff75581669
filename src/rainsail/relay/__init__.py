"""Relaying of opaque requests: match a route, choose a runner, send, retry, resume, answer.

Read first ``run``: one client's request from its beginning to its one answer. What follows each
attempt is decided in ``continuation``, which is pure. Around them:

* ``gateway`` takes requests and starts a ``RelayRun`` for each; ``early_requests`` holds those that
  come before the first routing table; ``fleet_updates`` takes up what nodes report;
* ``table``, ``table_reader`` and ``split``: the routing table, the service of a split route;
* ``runner_finder`` and ``placement``: which runner gets the request (``rainsail.routing`` decides);
* ``sender`` and ``attempt``: one attempt after the other; ``response_timeout`` and
  ``idle_runners``: runners that send nothing;
* ``events`` and ``client_answer``: whole events of a stream, and what the client has of its answer;
  ``stream_beginnings``: whether what has come begins at the beginning; ``held_end``: the end of a
  stream that waits until that is known;
* ``recorder`` and ``load_reports``: log lines, metrics, and what is under way;
* ``protocol`` and ``header_protocol``: what a platform's adapter translates.

All state here is soft and ends with the gateway's process.
"""
