Feature: An answer is told as complete only when it is whole

  Scenario: The line of a request says what each runner answered and what marked its end
    Given a relay with 3 runners and a resumable "stream" route
    When a client sends a request to the relay
    And the runner sends events 1 to 2 in chunks
    And the runner's connection breaks
    And the runner sends events 3 to 4 in chunks
    And the runner ends its stream
    Then the line "request_completed" of the request has "answers" = "200 chunked,200 chunked"
    And the line "request_completed" of the request has "last_event" = "4"
