Feature: clients' and operators' programs go on working over HTTP

  Each interface is asked at running processes, call by call: status, header names, content type,
  and each field of a JSON answer with its type (with its value where programs compare it). The
  shapes are in features/compatibility/data/http_*.json; a call that is added must be added there.
  What a request may say is pinned by sending it: the interfaces refuse fields that they don't know,
  or the answer shows that a field was read.

  Scenario: the native control plane's status page, operator API and caller API
    Given a fleet that rainsail up runs
    When every call of the native interfaces is made
    Then each answer has its pinned shape

  Scenario: a relaying fleet's own interfaces, and what its runners get
    Given the nodes of examples/relaying run in one process
    When every call of a relaying fleet's own interfaces is made
    Then each answer has its pinned shape

  Scenario: held requests as operators read them
    When an operator reads a list of one held request
    Then the answer's body is {"requests": [{"fingerprint": "000102030405060708090a0b0c0d0e0f", "held": true, "times": 2}]}

  Scenario: held prompt parts as operators read them
    When an operator reads a list of one held prompt part, whose name the controller knows
    Then the answer's body is {"requests": [{"fingerprint": "000102030405060708090a0b0c0d0e0f10", "held": true, "times": 2, "service": "model", "part": "dead01"}]}

  Scenario: a storage node's emptying as operators read it
    When an operator asks for the emptying of a node that is under way
    Then the answer's body is {"done": false}

  Scenario: the platform's interfaces, and what its runners get
    Given the platform's stand-in with 3 controllers, 3 storage nodes, 1 gateways and 0 runners
    When every call of the platform's interfaces is made
    Then each answer has its pinned shape

  Scenario Outline: a node's retirement as the platform reads it
    When the platform asks for the retirement of a node that is <progress>
    Then the answer's body is {"state": "<state>"}

    Examples:
      | progress  | state   |
      | under way | running |
      | over      | done    |

  Scenario: each field of the platform's configuration is read
    When a configuration of the platform with every field is read
    Then this was read of it
      """
      version 3
      route split at a.example/split/: stream to first 90, second 10, times 5 0.4 0.6 7 8 s, attempts 3, priority 2, resumable True, queued tokens 900, public True, regions ['south']
      route safe at a.example/safe/: safe to second 1, times 1 1 0 0 0 s, attempts 1, priority 0, resumable False, queued tokens 0, public False, regions []
      route unsafe at a.example/unsafe/: unsafe to second 1, times 1 1 0 0 0 s, attempts 1, priority 0, resumable False, queued tokens 0, public False, regions []
      route batch at a.example/batch/: batch to second 1, times 1 1 0 0 0 s, attempts 1, priority 0, resumable False, queued tokens 0, public False, regions []
      route of another kind at a.example/of another kind/: unsafe to second 1, times 1 1 0 0 0 s, attempts 1, priority 0, resumable False, queued tokens 0, public False, regions []
      service first: connections 20, generates True, warms up 1.5/s 30 s
      service second: connections 0, generates False, warms up 0/s 0 s
      limits 1000 2000 bytes, 3 4 s
      tenant shop: rate 11, burst 12, priority 4, regions ['north'], has its key True
      """

  Scenario: the names of headers that are read, and not only passed on
    Then the headers between a relaying fleet, its clients and its runners are called
      """
      Bearer
      Last-Event-ID
      Rainsail-Deadline-S
      Rainsail-Load
      Rainsail-Model
      Rainsail-Not-Run
      Rainsail-Prompt
      Rainsail-Request
      Rainsail-Resumes
      Rainsail-Runner
      Rainsail-Tenant
      Rainsail-Tokens
      """
    And the headers between the platform, its clients and its runners are called
      """
      Deadline-Ms
      Expect-Instance
      Last-Event-Id
      Model
      Not-Run
      Prompt-Prefix
      Request-Id
      Resumes
      Server-Load
      Tenant
      Token
      Token-Usage
      """

  Scenario: names of the platform that no answer shows
    Then the platform's adapter still writes out the names
      """
      wait-ms
      after
      id
      coldLeftMs
      born
      dead_letter
      """
