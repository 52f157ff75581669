Feature: Real processes keep their promises under random faults

  Scenario Outline: A history in which <what> is seen as broken
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

  Scenario: A history in which everything was kept is clean
    Given a history of a soak in which nothing went wrong
    Then the checks find nothing

  Scenario: Kills, freezes, stops and lost disks of real processes break no promise
    Given the platform's stand-in with 3 controllers, 3 storage nodes, 2 gateways and 0 runners
    When 6 faults drawn from seed 1 strike while clients, runners and an operator work
    Then no promise was broken, and requests, jobs and configurations were served
