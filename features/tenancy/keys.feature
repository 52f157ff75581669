Feature: A request runs for the tenant of its API key, and no key is forwarded

  Scenario: A runner gets the tenant and not the key
    Given a gateway whose table has tenants
    When a client sends a request with the key of tenant "a"
    Then a runner got it as tenant "a", without any key

  Scenario Outline: Tenant headers of a client are dropped
    Given a gateway whose table has tenants
    When a client sends "<fields>" with the key of tenant "a"
    Then a runner got it as tenant "a", without any key

    Examples:
      | fields                                    |
      | Rainsail-Tenant: b                        |
      | rainsail-tenant: b; RAINSAIL-TENANT: b    |
      | Rainsail-Tenant: a                        |
      | Connection: Rainsail-Tenant               |

  Scenario Outline: An unknown key gets 401 immediately and nothing runs
    Given a gateway whose table has tenants
    When a client sends a request with the fields "<fields>"
    Then the client gets 401 immediately, and no runner got anything

    Examples:
      | fields                                                          |
      | X-Other: 1                                                      |
      | Authorization: Bearer nobody                                    |
      | Authorization: Bearer                                           |
      | Authorization: key-of-a-1                                       |
      | Authorization: Basic key-of-a-1                                 |
      | Authorization: Bearer key-of-a-1x                               |
      | Authorization: Bearer key-of-a-1; Authorization: Bearer nobody  |
      | Authorization: Bearer key-of-a-1; authorization: Bearer key-of-a-1 |

  Scenario: No request is refused for its key before a table is known
    Given a gateway that knows no table yet
    When a client sends a request with the fields "Authorization: Bearer nobody"
    And 0.8 seconds pass at the gateway without a table
    Then the client has 503 and never 401, and no runner got anything

  Scenario: A public route needs no key, and forwards none
    Given a gateway whose table has tenants
    When a client sends a request to the public route with the key of tenant "a"
    Then a runner got it as no tenant, without any key

  Scenario: Without tenants a client's credentials are forwarded to the runner
    Given a gateway whose table has no tenants
    When a client sends a request with the fields "Authorization: Basic abc"
    Then a runner got the field "Authorization" as "Basic abc"

  Scenario: Removing a key affects the next request, not one in flight
    Given a gateway whose table has tenants
    When a client sends a request with the key of tenant "a"
    And the keys of tenant "a" are removed
    And the runner's connection breaks during the request
    Then the request went to a second runner as tenant "a"
    And a further request with the key of tenant "a" gets 401

  Scenario: Keys are trusted for a limited time if the operator sets one
    Given a gateway whose table has tenants and which trusts keys for 5 seconds
    When a client sends a request with the key of tenant "a"
    Then the client gets 503 immediately, and no runner got anything

  Scenario Outline: Conflicting tenants are refused, and no key is disclosed
    When an operator sends a table whose tenants are <defect>
    Then it is refused naming "<name>", and no key is in the fault

    Examples:
      | defect                       | name    |
      | two with one key             | a and b |
      | two of one name              | a       |
      | one without a name           | name    |
      | one with a rate below 0      | rate    |
      | one with a key of two lines  | a       |
      | one whose key is a number    | keys    |

  Scenario: No bytes in place of a key are accepted or crash the gateway
    Given a gateway whose table has tenants
    When 2000 random credentials are sent
    Then each got 401, and no runner got anything

  Scenario: A tenant over its quota gets 429 with a retry time
    Given a gateway whose table has tenants
    When a client sends 3 requests with the key of tenant "b"
    Then the last of them gets 429 and a retry time, and was not sent
