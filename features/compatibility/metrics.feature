Feature: metrics that operators' dashboards and alarms rely on keep their names and labels

  features/compatibility/data/metrics.json has them. The native roles are asked on the page of a
  running fleet that has served a request. The roles of a relaying fleet are asked for the gauges
  that each shows from its start; their counters and times, which appear with the first event, are
  read from the calls in the code. The values of labels are not pinned.

  Scenario: replica, gateway and emulator of the native control plane
    Given a fleet that rainsail up runs
    When exporter completes a request with the idempotency key "metrics-1" at the fleet
    Then the fleet's metrics page has the pinned metrics with their labels

  Scenario: the roles of a relaying fleet
    Given the nodes of examples/relaying run in one process
    Then the metrics page of a controller has the pinned gauges
    And the metrics page of a storage has the pinned gauges
    And the metrics page of a gateway has the pinned gauges

  Scenario: what a relaying fleet counts
    Then the code of a relaying fleet counts the pinned metrics with their labels

  Scenario: how a node shows what it counted
    When a node has counted, timed and shown a value
    Then its metrics page has the lines
      """
      rainsail_requests_total{kind="safe",outcome="completed"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.01"} 0.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.025"} 0.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.05"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.1"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.2"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.3"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="0.5"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="1.0"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="2.0"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="5.0"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="10.0"} 1.0
      rainsail_request_first_seconds_bucket{kind="safe",le="+Inf"} 1.0
      rainsail_request_first_seconds_count{kind="safe"} 1.0
      rainsail_request_first_seconds_sum{kind="safe"} 0.04
      rainsail_table_version 7.0
      """
