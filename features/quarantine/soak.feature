Feature: Under random faults fatal bodies are held, and no other body is

  Each run has four gateways, eight runners, one or two fatal bodies, frequent bodies and others, while
  runners, zones, gateways, controllers and the ledger's nodes crash, freeze and are partitioned.

  Scenario Outline: Random run with seed <seed>
    When a random run with seed <seed> is made
    Then no guarantee was broken, and a fatal body was checked

    Examples: each of these holds a frequent body if nodes do not report responses to each suspect
      | seed |
      | 7    |
      | 11   |
      | 38   |

    Examples: two trials of a fatal body were not counted, as their sender or all controllers were lost with them
      | seed |
      | 25   |

  Scenario Outline: Random run with fatal prompt parts, seed <seed>
    When a random run with fatal prompt parts and seed <seed> is made
    Then no guarantee was broken, and a fatal part was checked

    Examples: in each of these a part crashes five runners or more
      | seed |
      | 18   |
      | 21   |
      | 29   |

    Examples: in each of these a part of all requests was held, as five runners ended before any answer came
      | seed |
      | 70   |
      | 81   |

  Scenario Outline: The random runs with fatal prompt parts detect a fleet in which <defect>
    Given a fleet in which <defect>
    When random runs with fatal prompt parts and seeds 18, 21, 29, 2, 81 and 9 are made
    Then a guarantee was broken

    Examples:
      | defect                                 |
      | no node reports crashes to controllers |
      | responses clear no suspect             |
      | held requests are sent nevertheless    |

  Scenario Outline: The random runs detect a fleet in which <defect>
    Given a fleet in which <defect>
    When random runs with seeds 7, 11, 38, 2, 34, 219 and 27 are made
    Then a guarantee was broken

    Examples:
      | defect                                 |
      | no node reports crashes to controllers |
      | responses clear no suspect             |
      | held requests are sent nevertheless    |
