Feature: An item whose text's end is in doubt is done only once another run has confirmed it

  Guards against items that are done with a short text: a run breaks off behind event n, and the next one is
  answered 200 without an event; or a run with neither a length nor chunks is cut between two events by the
  orderly close of its connection.

  Scenario Outline: An empty run behind a break does not end the text: <empty>
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run breaks off behind event 2
    Then the item is sent again after event 2
    When the item's run ends without an event <empty>
    Then the item is sent again after event 1, to another runner
    When the item's run sends events 2 to 3 and goes on in chunks
    Then the item is sent again after event 2
    And no result is listed
    When the item's run sends events 3 to 4 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 4 events

    Examples:
      | empty      |
      | in chunks  |
      | by closing |

  Scenario: The run that repeats the last event completes the text
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run breaks off behind event 2
    Then the item is sent again after event 2
    When the item's run ends without an event in chunks
    Then the item is sent again after event 1, to another runner
    When the item's run sends events 2 to 2 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 2 events

  Scenario: Runs that were to repeat the last event and send nothing don't end the text
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run breaks off behind event 2
    Then the item is sent again after event 2
    When the item's run ends without an event in chunks
    Then the item is sent again after event 1
    When the item's run ends without an event in chunks
    Then the item is sent again after event 1
    When the item's run ends without an event in chunks
    Then the item is sent again after event 1
    And no result is listed
    When the item's run sends events 2 to 2 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 2 events

  Scenario: The only runner has to repeat the last event as well
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 1 item is accepted
    When the item's run breaks off behind event 2
    Then the item is sent again after event 2
    When the item's run ends without an event in chunks
    Then the item is sent again after event 1
    When the item's run sends events 2 to 2 and ends by closing
    And a second run of the item begins with event 1 too
    Then the item's text has 2 events

  Scenario: Half of an event arrived before the break, so no empty run can be right
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run sends 2 events and breaks
    Then the item is sent again after event 2
    When the item's run ends without an event in chunks
    Then the item is sent again after event 2
    When the item's run ends without an event in chunks
    Then the item is sent again after event 2
    And no result is listed

  Scenario: What looked like a part of the next event was damage, so the text is done in the end
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run sends 2 events and breaks
    Then the item is sent again after event 2
    When 3 runs of the item end without an event
    Then the item is sent again after event 1
    When the item's run sends events 2 to 2 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 2 events

  Scenario: A new leader knows the text and no statement
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run sends 3 events and goes on
    And 1 second of the fleet passes
    And the ledger's leader loses its disk for good
    Then the item is sent again after event 3
    When the item's run ends without an event in chunks
    Then the item is sent again after event 2, to another runner
    When the item's run sends events 3 to 3 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 3 events

  # --- an end that only the connection's close tells ---

  Scenario: The orderly close between two events is checked, and the text goes on
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run sends events 1 to 2 and ends by closing
    Then the item is sent again after event 2, to another runner
    And no result is listed
    When the item's run sends events 3 to 4 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 4 events

  Scenario Outline: Items whose runs all end by closing are done after one more run, with <runners>
    Given a relayed fleet with a table and <runners> of 8 slots
    And a job of 1 item is accepted
    When the item's run sends events 1 to 2 and ends by closing
    Then the item is sent again after event 2
    When the item's run ends without an event by closing
    And a second run of the item begins with event 1 too
    Then the item's text has 2 events

    Examples:
      | runners   |
      | 2 runners |
      | a runner  |

  Scenario: A run that was to confirm the end fails, which uses up an attempt and not the text
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run sends events 1 to 2 and ends by closing
    Then the item is sent again after event 2, to another runner
    When the item's run is answered 500 with "sorry", which is no stream
    Then the item is sent again after event 2
    When the item's run sends events 3 to 3 and ends in chunks
    And a second run of the item begins with event 1 too
    Then the item's text has 3 events

  Scenario: Empty runs use up no attempt
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 1 item is accepted
    When the item's run breaks off behind event 2
    And 6 runs of the item end without an event
    Then the item is sent again after event 1
    And no result is listed

  Scenario Outline: Items whose runs break off at random are whole, though <percent> % of the runs that resume one send nothing
    Given a relayed fleet with a table and 2 runners of 8 slots
    And a job of 30 items is accepted
    When each run breaks off at random, and <percent> % of those that resume send nothing, seed <seed>
    Then each item's text is whole, and many runs sent nothing

    Examples:
      | percent | seed |
      | 20      | 1    |
      | 60      | 2    |
      | 60      | 3    |
