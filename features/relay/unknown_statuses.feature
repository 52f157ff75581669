Feature: An answer whose status HTTP gives no meaning to is no answer

  HTTP defines the statuses 100 to 599, and a final answer has one of 200 to 599. What a runner sends with any
  other reaches no client as an answer and no item as its end, however the answer is framed. It counts as an
  ordinary failure of that runner, not as a crash.

  Scenario Outline: No runner answers with a known status: <route>
    Given a relay whose connections are real, with a "<route>" route
    When every runner answers every request with a status that no final answer may have
    Then every client has been told 502 or 504, and none of them anything of an answer
    And no request was sent more often than its route allows

    Examples:
      | route            |
      | resumable stream |
      | run-once stream  |
      | safe             |
      | keyed            |
      | unsafe           |
      | cached           |

  Scenario Outline: Another runner answers with a known status: <route>
    Given a relay whose connections are real, with a "<route>" route
    When the first runner of each request answers with a status that no final answer may have
    Then <result>

    Examples:
      | route            | result                                                                        |
      | resumable stream | every client has the whole answer of the second runner                        |
      | run-once stream  | every client has been told 502 or 504, and none of them anything of an answer |
      | safe             | every client has the whole answer of the second runner                        |
      | keyed            | every client has been told 502 or 504, and none of them anything of an answer |
      | unsafe           | every client has been told 502 or 504, and none of them anything of an answer |
      | cached           | every client has been told 502 or 504, and none of them anything of an answer |

  Scenario: The run that takes a stream up has a status that no final answer may have
    Given a relay whose connections are real, with a "resumable stream" route
    When a stream breaks off after its first event, and the next runner answers with such a status
    Then every client's stream was broken off after its first event

  Scenario: The second of three requests of one client has a status that no final answer may have
    Given a relay whose connections are real, with a "unsafe" route
    When a client sends three requests at once, of which the second is answered with such a status
    Then the first and the third are answered whole, and the second with 502

  Scenario: An item whose answer has a status that no final answer may have is run again
    Given a relay whose connections are real, with a "run-once stream" route
    When the runner of an item answers with a status that no final answer may have
    Then every run of the item has failed without a text, and not by the end of its connection

  Scenario Outline: A request that was held and runs as a trial: <route>
    Given a relay whose connections are real, with a "<route>" route
    And its quarantine holds every request, and permits a trial of each
    When every runner answers every request with a status that no final answer may have
    Then every client has been told 502 or 504, and none of them anything of an answer
    And no request was sent more often than its route allows
    And the quarantine was told of a trial that has run, of no crash and of no answer

    Examples:
      | route            |
      | resumable stream |
      | safe             |
      | unsafe           |

  Scenario: A claim not to have run the request is not believed beside such a status
    Given a relay whose connections are real, with a "unsafe" route
    When a runner answers 600 with the field "Not-Run: 1"
    Then the client has been told 502, and the request was sent once

  Scenario Outline: The log names the status: <status>
    Given a relay whose connections are real, with a "unsafe" route
    When a runner answers <status>, and the lines of the log are kept
    Then the line of the request names the end "<end>", and its answer counts as none

    Examples:
      | status | end                                                                                               |
      | 600    | invalid HTTP response: status 600                                                                 |
      | 999    | invalid HTTP response: status 999                                                                 |
      | 000    | invalid HTTP response: InformationalResponse status_code should be in range [100, 200), not 0     |
      | 2000   | invalid HTTP response: illegal status line: bytearray(b'HTTP/1.1 2000 Odd')                       |

  Scenario Outline: Every status of a final answer passes: <statuses>
    Given a relay whose connections are real, with a "cached" route
    When runners answer each status of <statuses> with a body
    Then each client has the status and the body of its runner

    Examples:
      | statuses |
      | 2xx      |
      | 3xx      |
      | 4xx      |
      | 5xx      |
