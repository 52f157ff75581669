Feature: The trials of a held entry go to the waiting request that tells most about it

  Guards against: a sound prompt part that is held for 600 s since all of its trials were used by
  items that crash runners for another reason, while sound items of the part wait.

  Scenario: The trials of a sound part go to items that hold no other suspect
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And its runners crash at the part "dead01" too
    And the parts "dead01" and "shared01" were held and are on trial
    When a job of 4 items with the parts "dead01,shared01" is handed in
    And a job of 4 items with the parts "shared01" is handed in
    And 20 s go by in that fleet
    Then all items of the last job are done
    And at most 3 runs of a fatal part or item began

  Scenario: The trials of a sound part go to items whose runs have met no crash
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And its runners crash at 2 items of the first job
    When a job of 2 items with the parts "shared01" is handed in
    And time goes by until each of them has met a crash
    And the part "shared01" is held and put on trial
    And a job of 4 items with the parts "shared01" is handed in
    And 20 s go by in that fleet
    Then all items of the last job are done

  Scenario: Sound items of a part are done although several fatal items of it crash their runners
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And its runners crash at 7 items of the first job
    When a job of 7 items with the parts "shared01" is handed in
    And a job of 8 items with the parts "shared01" is handed in
    And 40 s go by in that fleet
    Then all items of the last job are done

  Scenario Outline: A request that <state> <turn>
    Then while a request with the entries "<other>" and <other_ends> ends asks, one with "<entries>" and <ends> ends <turn>

    Examples:
      | state                        | other | other_ends | entries | ends | turn           |
      | holds another suspect        | a     | 0          | a b     | 0    | lets it go first |
      | holds two others             | a c   | 0          | a b c   | 0    | lets it go first |
      | has met a crash              | a     | 0          | a       | 1    | lets it go first |
      | has met more crashes         | a     | 1          | a b     | 2    | lets it go first |
      | is alike                     | a     | 1          | a       | 1    | may be tried   |
      | has met fewer crashes        | a     | 2          | a       | 1    | may be tried   |
      | holds fewer suspects         | a b   | 0          | a       | 3    | may be tried   |
      | holds other suspects         | a     | 0          | b       | 3    | may be tried   |
      | shares a suspect             | a b   | 0          | b c     | 3    | may be tried   |

  Scenario: A request that asks no more holds up none
    Then 1.1 s after a request with the entries "a" has asked, one with "a b" may be tried
