Feature: The command line against a running fleet
  An operator starts a fleet with rainsail up, reads its state and changes its resources.

  Background:
    Given a fleet that rainsail up runs

  Scenario: The status command prints the fleet's health as text and as JSON
    When rainsail status is run against the fleet
    Then the fleet command exits with 0 and prints "Healthy"
    When rainsail status --output json is run against the fleet
    Then the fleet command's JSON has health "Healthy" and leader "replica-1"

  Scenario: The status port serves health, readiness and metrics
    Then the fleet answers /healthz with status 200 and "ok"
    And the fleet answers /readyz with status 200 and "ready"
    And the fleet answers /metrics with status 200 and "rainsail_ready 1.0"
    And the fleet answers /metrics with status 200 and "process_cpu_seconds_total"
    And the fleet answers /metrics with status 200 and "rainsail_group_leader{replica="replica-1"} 1.0"
    And the fleet answers /metrics with status 200 and "rainsail_config_lease_valid{gateway="gateway-1"} 1.0"

  Scenario Outline: The exit code tells success, failure and invalid input apart
    When rainsail <command> is run against the fleet
    Then the fleet command exits with <code> and prints "<words>"

    Examples:
      | command                                              | code | words                                      |
      | resource get Service reports                         | 0    | active_version: reports-v1                 |
      | resource get Service nothing                         | 1    | no Service 'nothing'                       |
      | resource get Thing x                                 | 2    | 'Thing' is none of Service                 |
      | resource list --kind Runner --output yaml            | 2    | --output: expected one of table, json      |
      | resource delete Tenant broker --expected_revision=1  | 1    | current revision                           |
      | resource delete Tenant broker --expected_revision=no | 2    | --expected_revision: expected a whole      |
      | resource list --kin Runner                           | 2    | unknown flag --kin; did you mean --kind?   |
      | resource list Runner json extra more                 | 2    | unexpected argument 'more'                 |
      | job status nothing                                   | 1    | no job 'nothing'                           |
      | job submit README.md                                 | 2    | README.md                                  |
      | drain Tenant broker                                  | 2    | kind: expected one of Runner               |
      | drain Runner nothing                                 | 1    | no Runner 'nothing'                        |
      | status --address localhost:1                         | 2    | --address: expected an IP number           |
      | explain nothing                                      | 1    | 404                                        |

  Scenario: The error for an unknown API key names the variable to set
    When rainsail status is run against the fleet with the key "wrong"
    Then the fleet command exits with 1 and prints "set RAINSAIL_API_KEY"

  Scenario: A routing decision is explained to operators and to its own tenant
    When exporter completes a request with the idempotency key "ask-1" at the fleet
    Then the fleet answers /metrics with status 200 and "rainsail_requests_total{class="default",fault="none",gateway="gateway-1",outcome="completed"} 1.0"
    And the fleet answers /metrics with status 200 and "rainsail_answer_seconds_count{class="default",gateway="gateway-1"} 1.0"
    When rainsail explain ask-1 is run against the fleet's gateway
    Then the fleet command exits with 0 and prints "attempt 0 at gateway-1: reports-"
    And the fleet command's table has a row of each candidate, one of them chosen
    When rainsail explain cmpl-ask-1 --output json is run against the fleet's gateway
    Then the fleet command's JSON explains 1 decision of "ask-1" with scores
    When rainsail explain ask-1 is run against the fleet's gateway with the key of exporter
    Then the fleet command exits with 0 and prints "reports-"
    When rainsail explain ask-1 is run against the fleet's gateway with the key of broker
    Then the fleet command exits with 1 and prints "keeps no decision of request 'ask-1'"

  Scenario: A runner becomes ready again after its drain is undone
    When rainsail drain Runner reports-1 is run against the fleet
    Then the fleet command exits with 0 and prints "drain: true"
    And the fleet's runner reports-1 becomes not ready
    When rainsail drain Runner reports-1 --undo is run against the fleet
    Then the fleet command exits with 0 and prints "drain: false"
    And the fleet's runner reports-1 becomes ready

  Scenario: The in-memory ring of log records is dumped on SIGUSR1
    When the fleet's process is asked for its log ring
    Then the fleet's data folder holds a dump of the log ring with "started"
