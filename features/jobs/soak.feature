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

  Scenario Outline: Positions, texts and versions keep what they held while leaders change, seed <seed>
    When a relayed fleet with long items changes its leaders for 60 seconds with seed <seed>
    Then its users have seen no promise broken, and it has done some work
    And some texts are put together from several runs

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario Outline: They keep it too where nodes catch up by snapshots, seed <seed>
    Given groups whose logs are cut short after a few entries
    When a relayed fleet runs 60 seconds under random faults with seed <seed>
    Then its users have seen no promise broken, and it has done some work

    Examples:
      | seed |
      | 21   |
      | 22   |

  Scenario Outline: The soak of long items catches a fleet in which <defect>
    Given a relayed fleet in which <defect>
    When relayed fleets with long items change their leaders with seeds 1 to 16
    Then some promise was seen broken

    Examples:
      | defect                                                   |
      | a note is taken wherever it begins                       |
      | an item that is taken up begins anew behind its old text |
      | results stand in the order of the items                  |
      | every storage node answers reads from what it has        |

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
