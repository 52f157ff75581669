Feature: A request runs for the tenant whose key it states, and no key travels on

  Scenario: A runner gets the tenant and not the key
    Given a gateway whose table has tenants
    When a client sends a request with the key of tenant "a"
    Then a runner got it as tenant "a", without any key

  Scenario Outline: What a client says of its tenant is dropped
    Given a gateway whose table has tenants
    When a client states "<fields>" beside the key of tenant "a"
    Then a runner got it as tenant "a", without any key

    Examples:
      | fields                                    |
      | Rainsail-Tenant: b                        |
      | rainsail-tenant: b; RAINSAIL-TENANT: b    |
      | Rainsail-Tenant: a                        |
      | Connection: Rainsail-Tenant               |

  Scenario Outline: A key that is nobody's gets 401 at once and nothing runs
    Given a gateway whose table has tenants
    When a client sends a request with the fields "<fields>"
    Then the client gets 401 at once, and no runner got anything

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

  Scenario: Nobody is refused for a key before a table is known
    Given a gateway that knows no table yet
    When a client sends a request with the fields "Authorization: Bearer nobody"
    And 0.8 seconds pass at the gateway without a table
    Then the client has 503 and never 401, and no runner got anything

  Scenario: A public route wants no key, and passes none on
    Given a gateway whose table has tenants
    When a client sends a request to the public route with the key of tenant "a"
    Then a runner got it as no tenant, without any key

  Scenario: Without tenants a client's credentials are the runner's business
    Given a gateway whose table has no tenants
    When a client sends a request with the fields "Authorization: Basic abc"
    Then a runner got the field "Authorization" as "Basic abc"

  Scenario: A key that is taken away counts for the next request, not for one under way
    Given a gateway whose table has tenants
    When a client sends a request with the key of tenant "a"
    And the keys of tenant "a" are taken away
    And the runner's connection breaks under it
    Then the request went to a second runner as tenant "a"
    And a further request with the key of tenant "a" gets 401

  Scenario: Keys are trusted for a limited time where the operator says so
    Given a gateway whose table has tenants and which trusts keys for 5 seconds
    When a client sends a request with the key of tenant "a"
    Then the client gets 503 at once, and no runner got anything

  Scenario Outline: Tenants that contradict each other are refused, and no key is told
    When an operator sends a table whose tenants are <spoiled>
    Then it is refused naming "<name>", and no key is in the fault

    Examples:
      | spoiled                      | name    |
      | two with one key             | a and b |
      | two of one name              | a       |
      | one without a name           | name    |
      | one with a rate below 0      | rate    |
      | one with a key of two lines  | a       |
      | one whose key is a number    | keys    |

  Scenario: No bytes in the place of a key get in or bring the gateway down
    Given a gateway whose table has tenants
    When 2000 drawn credentials are sent
    Then each got 401, and no runner got anything

  Scenario: A tenant over its quota gets 429 with the time to come back
    Given a gateway whose table has tenants
    When a client sends 3 requests with the key of tenant "b"
    Then the last of them gets 429 and a time to come back, and was not sent
