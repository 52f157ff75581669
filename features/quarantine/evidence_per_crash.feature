Feature: Which crashes count against a suspect is decided anew from all crashes and answers

  Names that begin with "part" are prompt parts, all others whole requests. Each crash is its time in
  seconds and what ran at the runner; each answer likewise. The controller looks every 0.1 s.

  Scenario: Two fatal items of one part crash by turns, and nothing else
    # Guards against: a sound part that is held for 600 s without a trial, with all items of it.
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1, part, other |
      | 0.1  | crash  | item-2, part, other |
      | 0.2  | answer | other               |
      | 7.1  | crash  | item-1, part, more  |
      | 7.2  | answer | more                |
      | 9.4  | crash  | item-2, part, last  |
      | 9.5  | answer | last                |
    And time goes on to 13 s
    Then nothing is held without a trial

  Scenario: A part that was cleared is beside crashes of the same two items again
    # Guards against: a sound part that is held although an answer has shown that the items beside it
    # crash runners without it being the cause.
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1, part, other |
      | 0.5  | crash  | item-2, part        |
      | 1.0  | answer | other               |
      | 2.0  | answer | part                |
      | 5.0  | crash  | item-1, part, more  |
      | 6.0  | crash  | item-2, part, more  |
      | 6.1  | answer | more                |
      | 7.0  | crash  | item-1, part, last  |
      | 7.1  | answer | last                |
      | 8.0  | crash  | item-2, part, last  |
      | 9.0  | crash  | item-1, part, last  |
    And time goes on to 13 s
    Then item-1, item-2 are in the list
    And part is not in the list

  Scenario: The crashes of an item of a part that is cleared still count
    # Guards against: a fatal item that runs on, as its part was put on trial for its crashes.
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1, part, other |
      | 0.1  | answer | other               |
      | 2.2  | crash  | item-1, part, more  |
      | 2.3  | answer | more                |
      | 3.5  | crash  | item-1, part, last  |
      | 3.6  | answer | last                |
    And time goes on to 6.4 s
    Then item-1 is in the list
    When these happen:
      | s    | event  | suspects            |
      | 6.5  | answer | part                |
    And time goes on to 7 s
    Then item-1 is in the list
    And part is not in the list

  Scenario: Crashes that a held request has explained count again once it is cleared
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1, item-2      |
      | 1.0  | crash  | item-1, item-2      |
      | 2.0  | crash  | item-1              |
      | 5.0  | crash  | item-1              |
      | 9.0  | crash  | item-1              |
      | 15.0 | crash  | item-1              |
    And time goes on to 20 s
    Then item-1 is held without a trial
    When these happen:
      | s    | event  | suspects            |
      | 21.0 | crash  | item-2              |
    And time goes on to 30 s
    Then item-2 is not in the list
    When these happen:
      | s    | event  | suspects            |
      | 31.0 | answer | item-1              |
    And time goes on to 33 s
    Then item-2 is in the list

  Scenario: A request that alone may have caused one crash has its crashes beside a part on trial counted
    # Guards against: a fatal item that runs three times more without a trial, since a part that was
    # held for crashes of its own explains all crashes of the item but one.
    When these happen:
      | s    | event  | suspects                         |
      | 0.0  | crash  | item-1, part-1                   |
      | 0.0  | crash  | item-2, part-2, other            |
      | 0.0  | crash  | item-3, part-2, other            |
      | 0.1  | crash  | item-4, part-2, other            |
      | 0.3  | answer | other                            |
    And time goes on to 4 s
    Then part-2 is in the list
    When these happen:
      | s    | event  | suspects                         |
      | 4.5  | crash  | item-1, part-1, item-2, part-2   |
      | 5.5  | crash  | item-1, part-1, item-3, part-2   |
    And time goes on to 7 s
    Then item-1 is not in the list
    When these happen:
      | s    | event  | suspects                         |
      | 7.1  | answer | part-1                           |
    And time goes on to 8 s
    Then item-1, part-2 are in the list

  Scenario: A request whose own part may have caused that crash is not held beside a part on trial
    When these happen:
      | s    | event  | suspects                         |
      | 0.0  | crash  | item-1, part-1                   |
      | 0.0  | crash  | item-2, part-2, other            |
      | 0.0  | crash  | item-3, part-2, other            |
      | 0.1  | crash  | item-4, part-2, other            |
      | 0.3  | answer | other                            |
    And time goes on to 4 s
    Then part-2 is in the list
    When these happen:
      | s    | event  | suspects                         |
      | 4.5  | crash  | item-1, part-1, item-2, part-2   |
      | 5.5  | crash  | item-1, part-1, item-3, part-2   |
    And time goes on to 12 s
    Then item-1 is not in the list

  Scenario: A request that alone may have caused one crash is not held for those of a part held for good
    When these happen:
      | s    | event  | suspects                         |
      | 0.0  | crash  | item-1, part-1                   |
      | 0.0  | crash  | item-2, part-2, other            |
      | 0.0  | crash  | item-3, part-2, other            |
      | 0.1  | crash  | item-4, part-2, other            |
      | 0.3  | answer | other                            |
    And time goes on to 4 s
    Then part-2 is in the list
    When these happen:
      | s    | event  | suspects                         |
      | 4.5  | crash  | item-1, part-1, item-2, part-2   |
      | 5.5  | crash  | item-1, part-1, item-3, part-2   |
      | 6.5  | crash  | item-4, part-2                   |
      | 7.1  | answer | part-1                           |
    And time goes on to 12 s
    Then part-2 is held without a trial
    And item-1 is not in the list

  Scenario: A fatal part of requests that come again and again is in the list 3 s after its fifth crash
    # Guards against: a fatal part that goes on, as its requests explain its crashes.
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1, part        |
      | 0.6  | crash  | item-1, part        |
      | 1.2  | crash  | item-2, part        |
      | 1.8  | crash  | item-2, part        |
      | 2.4  | crash  | item-1, part        |
    And time goes on to 5.4 s
    Then item-1, part are in the list
    And nothing is held without a trial

  Scenario Outline: A part at three crashes while answers clear others, <requests>
    # Guards against: a part that is held since one request with it was sent three times.
    When these happen:
      | s    | event  | suspects             |
      | 0.0  | crash  | <first>, part, other |
      | 0.1  | answer | other                |
      | 2.0  | crash  | <second>, part, more |
      | 2.1  | answer | more                 |
      | 4.0  | crash  | <third>, part, last  |
      | 4.1  | answer | last                 |
    And time goes on to 7 s
    Then <listed> in the list
    And nothing is held without a trial

    Examples:
      | requests               | first  | second | third  | listed    |
      | of one request         | item-1 | item-1 | item-1 | item-1 is |
      | of different requests  | item-1 | item-2 | item-3 | part is   |

  Scenario: A fatal request is held for good after its three trials
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1              |
      | 0.6  | crash  | item-1              |
      | 1.2  | crash  | item-1              |
      | 4.0  | crash  | item-1              |
    And time goes on to 6 s
    Then nothing is held without a trial
    And item-1 is in the list
    When these happen:
      | s    | event  | suspects            |
      | 8.0  | crash  | item-1              |
    And time goes on to 10 s
    Then nothing is held without a trial
    And item-1 is in the list
    When these happen:
      | s    | event  | suspects            |
      | 14.0 | crash  | item-1              |
    And time goes on to 16 s
    Then item-1 is held without a trial

  Scenario: A run that a node sends before it has heard of the hold is no trial
    # Guards against: a sound part whose only trial counts as spent before it was permitted.
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1              |
      | 0.6  | crash  | item-1              |
      | 1.2  | crash  | item-1              |
      | 1.6  | crash  | item-1              |
      | 1.7  | crash  | item-1              |
    And time goes on to 3 s
    Then item-1 is in the list
    And nothing is held without a trial

  Scenario: A request on trial explains no crashes of another request
    # Guards against: a fatal item that runs on while another item, beside which it crashed, is tried.
    When these happen:
      | s    | event  | suspects            |
      | 0.0  | crash  | item-1              |
      | 0.5  | crash  | item-1, item-2      |
      | 1.0  | crash  | item-1, item-2      |
    And time goes on to 2 s
    Then item-1 is in the list
    When these happen:
      | s    | event  | suspects            |
      | 2.5  | crash  | item-2              |
    And time goes on to 4 s
    Then item-1, item-2 are in the list
