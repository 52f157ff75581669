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

  Scenario: a storage node's emptying as operators read it
    When an operator asks for the emptying of a node that is under way
    Then the answer's body is {"done": false}
