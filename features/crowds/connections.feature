Feature: Clients that hold many connections leave room for others

  Scenario Outline: Clients that <kind>
    Given a platform of small machines with 2 runners and 200 descriptors
    When <count> clients <kind> at the gateway
    And ordinary requests are answered beside it
    And the crowd leaves
    Then an ordinary request is answered afterwards
    And the gateway has stayed under its descriptors
    And every process lives within its machine's memory

    Examples:
      | count | kind             |
      | 400   | send nothing     |
      | 400   | send half a head |

  Scenario: Clients of every kind at once
    Given a platform of small machines with 2 runners
    When clients of every kind come to the gateway, 10 of each
    And ordinary requests are answered beside it
    And the crowd leaves
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory
