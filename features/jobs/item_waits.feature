Feature: Operators see why an accepted item waits

  Guards against: items that are neither done nor given up, of which no log says by which entry of
  the quarantine's list they wait, nor what became of their trials.

  Scenario: The log and the metrics have the entry by which items wait, and what became of its trials
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And answers to its items have 80 events
    And the fleet's log is kept
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 5 s go by in that fleet
    And 2 jobs of 4 items with the part "shared01" are handed in
    And 0.5 s go by in that fleet
    And its runners crash as follows, those with items first: 8 at once
    And time goes by until an item waits in quarantine
    Then the log has for each item in quarantine that it waits, and by which entry
    And the ledger's leader shows as many items in quarantine
    And the ledger's leader shows the revision of the list that it applies
    And the story of such an item has the hold of its entry, and ends with why it waits
    When 20 s go by in that fleet
    Then all items of the jobs are done
    And the log has the runner of each item's trial, and what ran beside it
    And the log has at most 1 line on the wait of an item for each change of its entry

  Scenario: A crash names the requests that were running
    Given a fleet of 3 gateways and 10 runners with 3 slots each
    And answers to its items have 80 events
    And the fleet's log is kept
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 5 s go by in that fleet
    And 1 jobs of 4 items with the part "shared01" are handed in
    And 0.5 s go by in that fleet
    And its runners crash as follows, those with items first: 2 at once
    And 1 s go by in that fleet
    Then the log names what was running at each crash

  Scenario Outline: The story of an item that <state> ends with <end>
    Then the story of an item with the events "<events>" ends with "<end>"

    Examples:
      | state              | events                       | end                           |
      | waits for a trial  | item_sent item_waits         | item-1 waits since 2: trial by 0a |
      | is held            | item_sent item_held          | item-1 waits since 2: possible_failures |
      | waits for a slot   | item_sent item_gave_way      | item-1 waits since 2: slot or backoff, after item_gave_way |

  Scenario Outline: The story of an item that <state> names no wait
    Then the story of an item with the events "<events>" names no wait

    Examples:
      | state   | events                        |
      | runs    | item_waits item_sent          |
      | is over | item_waits item_sent item_ended |
