Feature: A trial runs where a crash of its runner is most likely its own

  Guards against: sound items that wait for 600 s, as their trials were sent to runners that had just
  crashed, had just started again or ran another suspect, since such runners look like the emptiest.

  Scenario Outline: The <sender> sends trials while two runners at a time crash every 3 s
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And answers to its items have 20 events
    And the fleet's log is kept
    And sound clients send 30 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 8 s go by in that fleet
    And 8 parts are held and put on trial, and the <sender> gets requests with each
    And two of its runners crash every 3 s for 24 s
    Then trials were sent, and none to a runner that had crashed 0.2 s to 3.5 s before

    Examples:
      | sender           |
      | leader of jobs   |
      | first gateway    |

  Scenario Outline: Of a runner that <state> and another one
    Then a trial is sent to the other one, not to a runner that <state>

    Examples:
      | state                                   |
      | was found crashed                       |
      | may have been replaced                  |
      | crashed 4 s ago                         |
      | is known for 2 s                        |
      | runs another suspect                    |
      | runs another request                    |
      | is in a zone in which another one crashed |

  Scenario: No trial is sent while all runners were found crashed
    Then a trial is sent to no runner if all were found crashed

  Scenario: A trial beside another request is better than one beside another suspect
    Then a trial is sent beside 2 requests rather than beside a suspect

  Scenario Outline: <item> with slots at a runner that crashed, at one with a suspect and at another one
    # Guards against: items whose runs are refused one after the other, and suspects that are all hit
    # by one crash.
    Then <item> may start at "<may start>" of the free runners "<free>"

    Examples:
      | item          | free                    | may start       |
      | a plain item  | crashed,suspected,other | suspected,other |
      | a plain item  | crashed                 | crashed         |
      | a suspect     | crashed,suspected,other | other           |
      | a suspect     | crashed,suspected       | suspected       |

  Scenario: Running items are examined only if a suspect is to be started
    # Guards against: rounds of the dispatcher that examine thousands of running items for nothing.
    Given 1000 items run, of which some are suspects
    When 20 plain items are placed in a round
    Then no running item was examined
    When 20 suspects are placed in a round
    Then each running item was examined once
