Feature: Many consensus groups share processes, connections and heartbeats

  Scenario: Heartbeats of groups that share peers are merged
    Given 20 consensus groups on the same 3 replicas
    When one replica leads all of those consensus groups
    And those consensus groups run 10 seconds with nothing to do
    Then each replica got at most 8 messages a second for all of those consensus groups
    And no consensus group of those changed its leader

  Scenario: Each of many groups commits its own numbers, through one crash
    Given 20 consensus groups on the same 3 replicas
    When 5 numbers are committed in each of those consensus groups
    And a replica that leads some of those consensus groups loses power
    And 5 numbers are committed in each of those consensus groups
    And that replica of the consensus groups starts again
    Then every replica applies exactly the numbers of each of those consensus groups

  Scenario: A process with one group sends each heartbeat at once, alone
    Given 1 consensus groups on the same 3 replicas
    When those consensus groups run 10 seconds with nothing to do
    Then each replica got at most 16 messages a second for all of those consensus groups
