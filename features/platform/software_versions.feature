Feature: A stream continues only at the software version that began it

  Scenario Outline: Streams that break off beside runners of two versions, while <course>
    Given the platform's stand-in with 3 controllers, 1 storage nodes, 3 gateways and 0 runners
    And <first> runners of software version v1 and <second> of v1.2 whose streams break off
    When the operator's configuration is taken
    And 6 clients read streams and resume them at any gateway while <course>
    Then at least <least> streams were resumed, and no stream has events of two versions
    And resumed streams continue at least half as often as new ones begin, at gateways in touch

    Examples:
      | first | second | least | course                                   |
      | 3     | 3      | 30    | nothing else happens                     |
      | 3     | 3      | 30    | gateways are killed in turn              |
      | 5     | 2      | 30    | runners of v1 are replaced one by one    |
      | 3     | 3      | 30    | all controllers are killed and restarted |
      | 5     | 5      | 30    | 8 faults strike at random                |
