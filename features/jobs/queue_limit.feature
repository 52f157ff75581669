Feature: A route's limit of waiting tokens is never exceeded, and jobs that fit are never refused

  Background:
    Given a relayed fleet with a table and a runner of 8 slots
    And the runner takes no items for now
    And at most 100 tokens may wait, 10 for each item

  Scenario: A job that does not fit is refused as over the limit, one that fits is accepted
    When a gateway hands in job "first" of 8 items
    Then job "first" is accepted
    When a gateway hands in job "large" of 3 items
    Then job "large" is refused as over the limit and was not taken
    When a gateway hands in job "small" of 2 items
    Then job "small" is accepted

  Scenario: A job that is submitted again is accepted although the limit is reached
    When a gateway hands in job "first" of 10 items
    And the other gateway hands in job "first" of 10 items
    Then job "first" is accepted

  Scenario: Of two concurrent jobs that only fit one by one, one is refused
    When both gateways hand in jobs of 6 items at the same time
    Then one of them is accepted and the other refused as over the limit

  Scenario: Completed items free their tokens
    When a gateway hands in job "first" of 10 items
    And the runner takes items again and one item is done
    And a gateway hands in job "next" of 1 items
    Then job "next" is accepted
    When a gateway hands in job "more" of 1 items
    Then job "more" is refused as over the limit and was not taken

  Scenario: An ended job frees its tokens
    When a gateway hands in job "first" of 10 items
    And a gateway ends job "first"
    And a gateway hands in job "next" of 10 items
    Then job "next" is accepted

  Scenario: The limit holds after a power loss of all storage nodes
    When a gateway hands in job "first" of 8 items
    And all storage nodes lose power and start again
    And a gateway hands in job "next" of 3 items
    Then job "next" is refused as over the limit and was not taken
    When a gateway hands in job "small" of 2 items
    Then job "small" is accepted

  Scenario Outline: A refusal guarantees that the job was not accepted, unless an earlier attempt timed out
    When a call to the leader <first> and then meets a full queue
    Then the client is answered <status>

    Examples:
      | first                     | status                          |
      | is refused as not leading | 429 with a Retry-After field    |
      | gets no answer            | 504 without a Retry-After field |
