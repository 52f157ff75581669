Feature: Whatever runners do, a client's answer is whole or is seen to be broken

  Scenario Outline: Runners that refuse, fail, break off, fall silent and spoil events, seed <seed>
    When clients of a relay meet such runners, drawn from seed <seed>
    Then no promise of the relay was broken
    And streams were served, taken up at other runners, and met failures there

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario Outline: The soak catches a relay that <defect>
    Given a relay that <defect>
    When clients of a relay meet such runners, drawn from seed 1
    Then the check on this defect has found it broken

    Examples:
      | defect                                     |
      | appends a failure to a stream that goes on |
      | ends half an event as complete             |
      | lets a hole through                        |
      | tells 503 after a run                      |
