Feature: Pure decisions: retry, backoff, choice of runner and preemption of items

  Scenario Outline: After a run that ended <end> with <failures> of <most> attempts failed
    When the run of an item ends <end> with <failures> of <most> attempts failed
    Then the item is <outcome>

    Examples:
      | end        | failures | most | outcome                                            |
      | whole      | 0        | 1    | done: whole                                        |
      | impossible | 0        | 9    | given up: the runner says that it can never be done |
      | failed     | 1        | 2    | run again                                          |
      | failed     | 2        | 2    | given up: failed at every attempt                  |
      | not_run    | 5        | 1    | run again                                          |
      | unreached  | 5        | 1    | run again                                          |
      | broken     | 5        | 1    | run again                                          |

  Scenario Outline: A runner's backoff grows with its consecutive failed runs: <end>, <failed>
    When the run of an item ends <end> as the last of <failed> in a row that failed
    Then its runner takes no item for <pause> s

    Examples:
      | end        | failed | pause |
      | whole      | 0      | 0     |
      | impossible | 0      | 0     |
      | broken     | 1      | 0.1   |
      | broken     | 2      | 0.2   |
      | broken     | 4      | 0.8   |
      | broken     | 5      | 1.5   |
      | broken     | 99     | 1.5   |
      | failed     | 1      | 0     |
      | failed     | 2      | 0.1   |
      | failed     | 99     | 1.5   |
      | unreached  | 1      | 0.25  |
      | unreached  | 4      | 0.8   |
      | not_run    | 0      | 0.25  |
      | not_run    | 9      | 0.25  |

  Scenario Outline: An item's backoff grows with its consecutive runs without an event
    Then an item waits <pause> s after <runs> runs in a row that brought no event

    Examples:
      | runs | pause |
      | 0    | 0     |
      | 2    | 0     |
      | 3    | 0.5   |
      | 4    | 1     |
      | 7    | 8     |
      | 99   | 8     |

  Scenario Outline: As many items are preempted as requests wait for slots
    Given a runner of 8 slots with <online> online requests, <items> items and <others> of other callers
    Then <preempted> items are preempted, and <free> slots are free

    Examples:
      | online | items | others | preempted | free |
      | 0      | 8     | 0      | 0         | 0    |
      | 3      | 8     | 0      | 3         | -3   |
      | 9      | 2     | 0      | 2         | -3   |
      | 9      | 0     | 0      | 0         | -1   |
      | 4      | 3     | 2      | 1         | -1   |
      | 1      | 2     | 1      | 0         | 4    |

  Scenario Outline: An item runs where most slots are free, in the local zone if any is free there
    Given runners with these free slots
      | runner | zone | free   |
      | a-1    | a    | <a-1>  |
      | a-2    | a    | <a-2>  |
      | b-1    | b    | <b-1>  |
    Then an item of zone a runs at "<chosen>"

    Examples:
      | a-1 | a-2 | b-1 | chosen |
      | 1   | 2   | 8   | a-2    |
      | 2   | 2   | 8   | a-1    |
      | 0   | -1  | 1   | b-1    |
      | 0   | 0   | 0   |        |

  Scenario Outline: Before a run of an item that failed <failed>, <broken_off>, <impossible> and <unknown> times
    Given an item with <failed> answers of 500, <broken_off> broken off, <impossible> of 422 broken off and <unknown> unknown runs
    Then with <most> attempts the decision before its next run is to <decision>

    Examples:
      | failed | broken_off | impossible | unknown | most | decision   |
      | 0      | 0          | 0          | 0       | 1    | send       |
      | 2      | 0          | 0          | 0       | 3    | send       |
      | 3      | 0          | 0          | 0       | 3    | give_up    |
      | 3      | 9          | 0          | 0       | 3    | give_up    |
      | 2      | 6          | 0          | 0       | 3    | send       |
      | 2      | 7          | 0          | 0       | 3    | hold       |
      | 2      | 5          | 0          | 1       | 3    | send_alone |
      | 2      | 5          | 0          | 2       | 3    | hold       |
      | 0      | 0          | 2          | 0       | 3    | send       |
      | 0      | 0          | 3          | 0       | 3    | hold       |
      | 0      | 0          | 0          | 1       | 3    | send       |
      | 0      | 0          | 0          | 2       | 3    | send_alone |
      | 0      | 0          | 1          | 2       | 3    | hold       |
      | 0      | 0          | 0          | 3       | 9    | hold       |
      | 0      | 0          | 0          | 2       | 1    | send_alone |

  Scenario Outline: A run that ends <end> with status <status> leaves an item with these failures
    Given an item with 1 answers of 500, 1 broken off, 1 of 422 broken off and 1 unknown runs
    When its run ends <end> with status <status>
    Then it has <failed> answers of 500, <broken_off> broken off, <impossible> of 422 broken off and <unknown> unknown runs

    Examples:
      | end        | status | failed | broken_off | impossible | unknown |
      | failed     | 500    | 2      | 1          | 1          | 1       |
      | broken     | 500    | 1      | 2          | 1          | 1       |
      | broken     | 422    | 1      | 1          | 2          | 1       |
      | broken     | 0      | 1      | 1          | 1          | 1       |
      | broken     | 200    | 1      | 1          | 1          | 1       |
      | broken     | 502    | 1      | 1          | 1          | 1       |
      | not_run    | 0      | 1      | 1          | 1          | 1       |
      | unreached  | 0      | 1      | 1          | 1          | 1       |
