Feature: The operator API over HTTP

  Background:
    Given a control fleet of 3 replicas with gateways g1
    And an operator's HTTP connection to replica r2 of the control fleet

  Scenario: Create, read, patch, list and delete a resource
    When the operator PUTs /v1/resources/Service/assistant with {"spec": {"runners": 2}, "expected_revision": 0, "change_id": "a"}
    Then the operator API answers 200 with resource.spec.runners = 2
    When the operator PATCHes /v1/resources/service/assistant with {"spec": {"active_version": "v1"}, "change_id": "b"}
    Then the operator API answers 200 with resource.spec.active_version = "v1"
    When the operator GETs /v1/resources/Service/assistant
    Then the operator API answers 200 with spec.runners = 2
    When the operator GETs /v1/resources/Service
    Then the operator API answers 200 with resources.0.name = "assistant"
    When the operator DELETEs /v1/resources/Service/assistant with {"change_id": "c"}
    Then the operator API answers 200 with resource.name = "assistant"
    When the operator GETs /v1/resources/Service/assistant
    Then the operator API answers 404 with error.code = "not_found"

  Scenario Outline: An invalid request is answered with its fault code and the name of the invalid key
    When the operator <method>s <path> with <body>
    Then the operator API answers <status> with error.code = "<code>"
    And the operator API's error names "<detail>"

    Examples:
      | method | path                            | body                                              | status | code      | detail                   |
      | PUT    | /v1/resources/Service/assistant | {"spec": {"runnerz": 2}}                          | 400    | invalid   | spec.runnerz             |
      | PUT    | /v1/resources/Service/assistant | {"spec": {"runners": "two"}}                      | 400    | invalid   | spec.runners             |
      | PUT    | /v1/resources/Service/assistant | {"spec": {"runners": -1}}                         | 400    | invalid   | spec.runners             |
      | PUT    | /v1/resources/Tenant/north      | {"spec": {"tokens_per_second": -1, "burst_tokens": 1}} | 400 | invalid  | spec.tokens_per_second   |
      | PUT    | /v1/resources/Service/UPPER     | {"spec": {}}                                      | 400    | invalid   | name                     |
      | PUT    | /v1/resources/Service/assistant | {"spec": {}, "expected": 1}                       | 400    | invalid   | expected                 |
      | PUT    | /v1/resources/Service/assistant | {"spec": {}, "expected_revision": "1"}            | 400    | invalid   | expected_revision        |
      | PUT    | /v1/resources/Service/assistant | {"spec": {}, "expected_revision": 77}             | 409    | conflict  | not 77                   |
      | PUT    | /v1/resources/Tenant/north      | {"spec": {"tokens_per_second": 1, "burst_tokens": 1, "key_hashes": ["a"]}} | 400 | invalid | spec.key_hashes.0 |
      | PUT    | /v1/resources/Server/assistant  | {"spec": {}}                                      | 400    | invalid   | kind                     |
      | PUT    | /v1/resources/Service/assistant | not JSON                                          | 400    | invalid   | not JSON                 |
      | PATCH  | /v1/resources/Service/nothing   | {"spec": {"runners": 2}}                          | 404    | not_found | nothing                  |
      | GET    | /v1/watch?revision=x            | {}                                                | 400    | invalid   | revision                 |
      | GET    | /v1/jobs/nothing                | {}                                                | 404    | not_found | nothing                  |
      | POST   | /v1/jobs                        | {"job_key": "a"}                                  | 400    | invalid   | service                  |

  Scenario: A body over the size limit is refused
    When the operator PUTs a body over the size limit to the operator API
    Then the operator API answers 413 with error.code = "too_large"

  Scenario: Unknown API keys are refused, tenants' keys give access to their own jobs only
    When the operator's key is "wrong" and the operator GETs /v1/resources
    Then the operator API answers 401 with error.code = "unauthenticated"
    When the operator's key is "north-key" and the operator GETs /v1/resources
    Then the operator API answers 403 with error.code = "forbidden"
    When the operator's key is "north-key" and a job of tenant "south" is posted to the operator API
    Then the operator API answers 403 with error.code = "forbidden"

  Scenario: A job is submitted, sent again, read, paged and cancelled
    When a job of tenant "north" is posted to the operator API
    Then the operator API answers 201 with phase = "sealed"
    When a job of tenant "north" is posted to the operator API
    Then the operator API answers 201 with pending = 3
    When the operator GETs /v1/jobs
    Then the operator API answers 200 with jobs.0.item_count = 3
    When the job is cancelled over the operator API
    Then the operator API answers 200 with phase = "cancelled"
    When the job's results are read from the operator API 2 at a time
    Then the operator API has given 3 rows in index order

  Scenario: A watch streams lines, and a client that stops reading gets an error line and is disconnected
    When the operator watches over the operator API
    And 10 services are put in the control fleet
    Then the operator API's watch has 10 changes in order
    When the operator's connection stops reading and 40 services are put in the control fleet
    Then the operator API's watch ends with a "too_slow" line and the connection is closed

  Scenario: A client that disconnects leaves no watcher behind
    When the operator watches over the operator API
    And the operator's connection is lost
    Then the operator API has no watcher

  Scenario: Health, readiness, status and metrics
    When the operator GETs /healthz
    Then the operator API answers 200 with status = "ok"
    When the operator GETs /readyz
    Then the operator API answers 200 with leader = "r1"
    When the operator GETs /v1/status
    Then the operator API answers 200 with health = "Healthy"
    When the operator GETs /metrics
    Then the operator API's answer contains "rainsail_up 1"

  Scenario: A request to a replica that has lost its leader has an unknown outcome
    When every replica of the control fleet but r2 is cut off
    And the operator PUTs /v1/resources/Service/assistant with {"spec": {}}
    Then the operator API answers 503 or 504 with an unknown outcome
