Feature: A node knows when it may have missed that a runner started again

  # Guards against: a stream of two versions, as a runner started again while no controller ran.

  Scenario Outline: Controllers answer heartbeats at times, and <what>
    Given a node whose controllers have answered at <answers>
    Then reports may have been missed at <moment>: <missed>

    Examples:
      | what                                          | answers                            | moment | missed |
      | all is covered                                | a1@0 b1@0 a1@1 b1@1 a1@2 b1@2      | 1.5    | no     |
      | one of two has started again                  | a1@0 b1@0 a2@1 b1@1 a2@2 b1@2      | 0.5    | no     |
      | both have started again                       | a1@0 b1@0 a2@1 b2@1 a2@2 b2@2      | 0.5    | yes    |
      | one after the other, with one always there    | a1@0 b1@0 a2@1 b1@1 a2@2 b2@3 a2@3 | 1.5    | no     |
      | the node was suspended or cut off             | a1@0 b1@0 a1@5 b1@5 a1@6 b1@6      | 2      | no     |
      | their answers arrive in another order         | a1@0 b1@0.4 b1@1.4 a1@1.5 a1@2     | 0.2    | no     |
      | both have started again a moment ago          | a1@0 b1@0 a1@1 b1@1 a2@2 b2@2      | 2.3    | yes    |
      | one of two has started again a moment ago     | a1@0 b1@0 a1@1 b1@1 a2@2 b1@2      | 2.3    | no     |
      | nothing has followed the last answer yet      | a1@0 a1@1                          | 1.8    | no     |
      | nothing has followed the last answer for long | a1@0 a1@1 now@5                    | 4      | yes    |

  Scenario: A node that no controller answers knows at once that it may miss reports
    Given a node whose controllers have answered at a1@0 b1@0 a1@1 b1@1
    When both controllers do not answer its next heartbeats
    Then reports may have been missed at 1.5: yes

  Scenario: A run that was sent in a gap is of a known version once the same process has reported again
    Given a registry with a runner of version v1, and a gap in what controllers passed on
    Then the version of a run that was sent in the gap is not known
    When the same process of the runner has reported again
    Then the version of a run that was sent in the gap is known

  Scenario: A run that was sent in a gap stays of an unknown version if another process has reported
    Given a registry with a runner of version v1, and a gap in what controllers passed on
    When another process of the runner has reported
    Then the version of a run that was sent in the gap is not known
