Feature: Real processes keep their guarantees under random faults

  Scenario Outline: The checks find a violation in a history in which <what>
    Given a history of a soak in which <what>
    Then the checks find "<words>"

    Examples:
      | what                                        | words                |
      | an unsafe request ran at two runners        | ran twice            |
      | a refused request ran                       | refused and run      |
      | a stream ended as complete without its end  | not whole            |
      | a stream goes on with a failure             | not whole            |
      | a failure has half its body                 | not whole            |
      | a refused stream ran                        | refused and run      |
      | an item's text lacks its end                | not whole            |
      | an answer has no runner's signature         | unsigned             |
      | an acknowledged configuration is read older | old configuration    |
      | a result changed between two reads          | changed result       |
      | an item is listed at two positions          | listed twice         |
      | an accepted job is answered 404             | lost job             |
      | a planned stop cuts a request that was sent | cut by a planned     |
      | a planned stop ends with a failure          | failed stop          |

  Scenario Outline: The checks find no violation in a history in which <what>
    Given a history of a soak in which <what>
    Then the checks find nothing

    Examples:
      | what                                                          |
      | a killed process cuts a request that was sent                 |
      | a runner breaks off a stream during a planned stop            |
      | another gateway's planned stop goes on while a request is cut |

  Scenario: The checks find no violation in a history without faults
    Given a history of a soak in which nothing went wrong
    Then the checks find nothing

  Scenario: Kills, freezes, stops and lost disks of real processes violate no guarantee
    Given the platform's stand-in with 3 controllers, 3 storage nodes, 2 gateways and 0 runners
    When 6 faults drawn from seed 1 strike while clients, runners and an operator work
    Then no promise was broken, and requests, jobs and configurations were served

  # Guards against: planned stops that abort requests while other roles restart and the configuration changes.
  Scenario: Overlapping faults of all roles and planned stops violate no guarantee
    When 1 faults a role overlap by seed 10 while clients keep their connections
    Then no promise was broken, and requests, jobs and configurations were served

  # Guards against: a soak that does not detect a port which accepts connections and then resets them.
  Scenario: The soak detects gateways whose ports close in a later reactor turn than their accept queues are emptied
    Given gateways whose ports close in a later turn than their queues are emptied
    When each gateway is restarted 1 time while clients keep their connections
    Then the soak finds requests that were cut by a planned stop
