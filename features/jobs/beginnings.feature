Feature: An item whose text lacks its first events is not listed as done

  Guards against truncated results: a run whose stream begins with event 2, or that brings no event or
  only a comment, ends as "whole" if nothing checks its first event, and its text is then listed as done
  permanently, without any error:

    item_ended done=True reason=whole events=6

  Therefore the first event of an item's stream is compared with that of other items of the service, as
  for online requests, and checked again when the answer ends. An item with a suspect beginning runs
  again. Three runs with the same beginning are accepted, so that an item without any output ends.

  Scenario Outline: An item runs again from its start when <what>
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the runs of the first two items bring events 1 to 3 and end
    And the last item's run brings <sent> in chunks and ends
    Then the last item is sent again from its start
    When the last item's run brings events 1 to 3 in chunks and ends
    Then each text of the job has events 1 to 3

    Examples:
      | what                             | sent                       |
      | its first event was lost         | events 2 to 3              |
      | its first event was corrupted    | event 1 corrupted, and 2 to 3 |
      | no event came                    | no event                   |
      | nothing but a comment came       | a comment                  |

  Scenario: A beginning is checked again at the end, when other items' beginnings are known
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the last item's run brings events 2 to 3 in chunks and goes on
    And the runs of the first two items bring events 1 to 3 and end
    And the last item's run ends
    Then the last item is sent again from its start
    When the last item's run brings events 1 to 3 in chunks and ends
    Then each text of the job has events 1 to 3

  Scenario: A new leader checks the beginning of the progress that the previous one committed
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the last item's run brings events 2 to 3 in chunks and goes on
    And 1 second of the fleet passes
    And the ledger's leader loses its disk for good
    And the runs of the first two items bring events 1 to 3 and end
    And the last item's run resumes after event 3, brings nothing more and ends
    Then the last item is sent again from its start
    When the last item's run brings events 1 to 3 in chunks and ends
    Then each text of the job has events 1 to 3

  Scenario: An item without output in any run is done after three runs
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the runs of the first two items bring events 1 to 3 and end
    And three runs of the last item bring no event in chunks and end
    Then the last item is done with an empty text

  Scenario Outline: Items of a service whose streams begin with <first> are served
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the runs of all items bring events <first> to <last> and end
    Then each text of the job has events <first> to <last>

    Examples:
      | first | last |
      | 0     | 2    |
      | 1     | 3    |
      | 2     | 4    |
      | 7     | 9    |

  Scenario: An item that breaks and resumes keeps its beginning
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the runs of the first two items bring events 1 to 3 and end
    And the last item's run brings events 1 to 2 in chunks and breaks
    Then the item is sent again after event 2
    When the last item's run brings events 3 to 3 in chunks and ends
    Then each text of the job has events 1 to 3

  # Guards against: the first results after a change of leader are listed without their first event.
  Scenario Outline: Without any known beginning, a lone item whose first run <what> gets its complete text, numbered from <first>
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 1 item is accepted
    When the lone item's first run <what>, and its later ones bring events <first> to <last> and end
    Then the lone item is done with events <first> to <last>, after at most 3 runs

    Examples:
      | what                               | first | last |
      | is whole                           | 0     | 3    |
      | lacks its first event              | 0     | 3    |
      | has its first event's id corrupted | 0     | 3    |
      | begins with bytes that are no text | 0     | 3    |
      | brings no event                    | 0     | 3    |
      | brings a comment alone             | 0     | 3    |
      | is whole                           | 1     | 4    |
      | lacks its first event              | 1     | 4    |
      | has its first event's id corrupted | 1     | 4    |
      | begins with bytes that are no text | 1     | 4    |
      | brings no event                    | 1     | 4    |
      | brings a comment alone             | 1     | 4    |
      | is whole                           | 7     | 9    |
      | lacks its first event              | 7     | 9    |
      | has its first event's id corrupted | 7     | 9    |
      | begins with bytes that are no text | 7     | 9    |
      | brings no event                    | 7     | 9    |
      | brings a comment alone             | 7     | 9    |

  # Guards against: a second complete run of every first item, though the next item's first event suffices.
  Scenario: Concurrent items confirm an unconfirmed one
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When the runs of all items bring events 1 to 3 and end
    Then each text of the job has events 1 to 3
    And each item of the job has run once

  # Guards against: an item without any output runs forever if no beginning is known.
  Scenario: Without any known beginning, a lone item without output is done after two runs
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 1 item is accepted
    When the lone item's runs bring no event and end
    Then the lone item is done with an empty text, after 2 runs
