Feature: Sound items are done although other items of their part crash runners

  Guards against: accepted sound items that are held for 600 s, since fatal items of the same prompt
  part crash runners by turns, and fatal items that run on after they were known. Each job has a part
  of its own, and short streams run beside the jobs. A runner is back 2 s after its crash.

  Scenario Outline: Two fatal items in each of four jobs, crash after <after> s, seed <seed>
    When 4 jobs of 6 items with 2 fatal ones each are handed in, crash after <after> s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | after | seed |
      | 0.05  | 2    |
      | 0.05  | 3    |
      | 0.05  | 4    |
      | 0.05  | 9    |
      | 0.3   | 2    |

  Scenario Outline: Two fatal items in each of four jobs beside other crashes, crash after <after> s, seed <seed>
    # Five runners crash at once, then two at random every 2 s for 10 s.
    When 4 jobs of 6 items with 2 fatal ones each are handed in beside other crashes, crash after <after> s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | after | seed |
      | 0.05  | 1    |
      | 0.05  | 9    |
      | 0.05  | 11   |
      | 0.3   | 7    |
      | 0.3   | 9    |
      | 0.3   | 12   |

  Scenario Outline: One fatal item in each of four jobs beside other crashes, crash after <after> s, seed <seed>
    When 4 jobs of 6 items with 1 fatal ones each are handed in beside other crashes, crash after <after> s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | after | seed |
      | 0.3   | 4    |
      | 0.3   | 5    |
      | 0.3   | 12   |

  Scenario Outline: Two of eight items of one job are fatal, crash after 0.05 s, seed <seed>
    When 1 jobs of 8 items with 2 fatal ones each are handed in, crash after 0.05 s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | seed |
      | 5    |
      | 12   |

  Scenario Outline: Two of eight items of one job are fatal, beside answers of 4 s, seed <seed>
    When 1 jobs of 8 items of 40 events with 2 fatal ones each are handed in, crash after 0.05 s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | seed |
      | 6    |
      | 10   |

  Scenario Outline: One fatal item in each of four jobs beside other crashes and answers of 2 s, seed <seed>
    When 4 jobs of 6 items of 20 events with 1 fatal ones each are handed in beside other crashes, crash after 0.05 s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: Fatal items get two events further with each run, beside other crashes, seed <seed>
    When 2 jobs of 6 items with 2 fatal ones each that get 2 events further are handed in beside other crashes, crash after 0.05 s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | seed |
      | 3    |
      | 12   |

  Scenario Outline: Preempted runs of fatal items crash their runners as well, beside other crashes, seed <seed>
    When 4 jobs of 6 items with 1 fatal ones each, preempted ones too, are handed in beside other crashes, crash after 0.3 s, seed <seed>
    Then all sound items were done 18 s after the streams had ended
    And each fatal item ran at most 3 times later than 3 s after its third crash

    Examples:
      | seed |
      | 6    |
      | 7    |

  Scenario Outline: A runner crashes for another reason, and a fatal item <state>
    # Guards against: a count of late runs that begins before the item has crashed three runners.
    When a runner has begun to run a fatal item that <state>, and crashes for another reason
    Then <count> crash of that item is counted

    Examples:
      | state                       | count |
      | is still under way          | 1     |
      | its sender has given up     | 0     |
      | has crashed its runner      | 1     |
