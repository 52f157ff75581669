Feature: A relayed fleet keeps its guarantees under random faults that it is designed to tolerate

  Scenario Outline: Crashes, lost disks, suspensions and partitions of controllers and storage nodes, seed <seed>
    When a relayed fleet runs <seconds> seconds under random faults with seed <seed>
    Then its users have seen no guarantee violated, and it has done some work

    Examples:
      | seed | seconds |
      | 1    | 60      |
      | 2    | 60      |
      | 3    | 60      |
      | 4    | 60      |

  Scenario Outline: Positions, texts and versions stay consistent while leaders change, seed <seed>
    When a relayed fleet with long items changes its leaders for 60 seconds with seed <seed>
    Then its users have seen no guarantee violated, and it has done some work
    And some texts are put together from several runs

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario Outline: The guarantees hold when nodes catch up from snapshots, seed <seed>
    Given groups whose logs are compacted after a few entries
    When a relayed fleet runs 60 seconds under random faults with seed <seed>
    Then its users have seen no guarantee violated, and it has done some work

    Examples:
      | seed |
      | 21   |
      | 22   |

  Scenario Outline: The soak of long items catches a fleet in which <defect>
    Given a relayed fleet in which <defect>
    When relayed fleets with long items change their leaders with seeds 1 to 16
    Then some guarantee was seen violated

    Examples:
      | defect                                                   |
      | a progress note is applied wherever it begins            |
      | a resumed item restarts after its old text               |
      | results are listed in the order of the items             |
      | every storage node answers reads from its local state    |

  Scenario Outline: The soak catches a fleet in which <defect>
    Given a relayed fleet in which <defect>
    When relayed fleets run under random faults with seeds 1 to 16
    Then some guarantee was seen violated

    Examples:
      | defect                                        |
      | any routing table replaces the current one    |
      | a duplicate event is applied twice            |
      | a leader answers reads without its lease      |
      | nodes send to drained zones                   |
      | a zone drain order is acknowledged but not stored |
      | the last report at an address ends the previous runner there |
