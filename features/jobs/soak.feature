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

  Scenario Outline: <course>: no item is done with a part of its text
    # Guards against: items that were done for ever though the last events of their texts were missing.
    When items of jobs meet runners <faults>, drawn from each of the seeds 1 to 4
    Then <least> answers to items or more have met the fault "<fault>"
    And no guarantee to the clients of these jobs was violated

    Examples: crashes
      | course           | faults              | fault       | least |
      | Items at crashes | whose processes end | crashed_run | 100   |

    Examples: runs that go on with a text
      | course              | faults                                    | fault     | least |
      | Items at empty runs | that go on with streams and bring nothing | empty_run | 50    |

    Examples: damaged framing
      | course                   | faults                   | fault           | least |
      | Items at damaged framing | whose framing is damaged | damaged_framing | 50    |

    Examples: statuses
      | course            | faults                      | fault          | least |
      | Items at statuses | whose statuses mean nothing | invalid_status | 100   |

    Examples: lone closes
      | course               | faults                        | fault      | least |
      | Items at lone closes | whose connections close alone | lone_close | 10    |

    Examples: all of them, beside lone closes
      | course              | faults                   | fault       | least |
      | Items at all faults | with all of these faults | crashed_run | 50    |

  Scenario Outline: A history of items in which <what> is reported as a violation
    Given a history of items in which <what>
    Then the judge of items finds "<words>"

    Examples:
      | what                                              | words                                |
      | an item is not listed                             | not listed                           |
      | an item was given up after two failures           | given up without enough failures     |
      | a text has another item's event                   | done with another text               |
      | a text in chunks lacks its last event             | its last events missing              |
      | a text lacks its last event behind a crash        | its last events missing, behind a crash |
      | a text lacks its last event, as one runner said   | its last events missing              |
      | a text lacks its last event, as one runner said twice | its last events missing          |
      | a run that went on brought nothing                | its last events missing              |

  Scenario Outline: A history of items in which <what> is accepted
    Given a history of items in which <what>
    Then the judge of items finds nothing, and <unclear> texts whose end is unclear

    Examples:
      | what                                             | unclear |
      | all went well                                    | 0       |
      | an item was given up after three failures        | 0       |
      | a text lacks its last event, as two runners said | 1       |
