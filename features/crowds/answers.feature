Feature: Clients that read slowly or send ahead end no process of small machines

  Scenario Outline: Clients that <kind>
    Given a platform of small machines with 2 runners
    When <count> clients <kind> at the gateway
    And the crowd has done what it came for
    And ordinary requests are answered beside it
    And the crowd leaves
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory

    Examples:
      | count | kind                                       |
      | 30    | read nothing of large answers              |
      | 30    | read large answers slowly                  |
      | 150   | send ahead of the answers to their streams |
