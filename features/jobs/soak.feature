Feature: A relayed fleet keeps its promises under random faults within what it is meant to bear

  Scenario Outline: Crashes, lost disks, freezes and cuts of controllers and storage nodes, seed <seed>
    When a relayed fleet runs <seconds> seconds under random faults with seed <seed>
    Then its users have seen no promise broken, and it has done some work

    Examples:
      | seed | seconds |
      | 1    | 60      |
      | 2    | 60      |
      | 3    | 60      |
      | 4    | 60      |

  Scenario Outline: The soak catches a fleet in which <defect>
    Given a relayed fleet in which <defect>
    When relayed fleets run under random faults with seeds 1 to 16
    Then some promise was seen broken

    Examples:
      | defect                                        |
      | any table replaces the one held               |
      | an event that comes twice is taken twice      |
      | a leader answers reads without its lease      |
      | nodes send to drained zones                   |
      | an order on a zone is acknowledged and not kept |
      | the last word at an address ends the runner before it |
