Feature: One account bounds what all clients of a process hold

  Scenario: What does not fit is refused, and fits again once room was given back
    Given a client budget of 1000 bytes
    When client "a" asks for 700 bytes of a large body
    Then it gets them
    When client "b" asks for 200 bytes of a large body
    Then it does not get them
    When client "a" leaves
    And client "b" asks for 200 bytes of a large body
    Then it gets them

  Scenario: Large bodies leave room for small requests
    Given a client budget of 1000 bytes
    When client "a" asks for 750 bytes of a large body
    And client "b" asks for 200 bytes of a small body
    Then it gets them
    When client "c" asks for 100 bytes of a small body
    Then it does not get them

  Scenario: What is held is counted by kind, and nothing is left after all have gone
    Given a client budget of 1000 bytes
    When client "a" asks for 300 bytes of a large body
    And the body of client "a" is complete
    Then the budget holds 0 bytes for "body" and 300 for "request"
    When client "a" leaves
    Then the budget holds nothing

  Scenario Outline: The limits follow from the process's own
    Given a process with <memory> MB, of which <own> are its own, and <descriptors> descriptors
    Then its clients may hold <held> MB together, on <connections> connections

    Examples:
      | memory | own | descriptors | held | connections |
      | 88     | 64  | 4100        | 14.4 | 1816        |
      | 260    | 64  | 4200        | 117  | 1861        |
      | 60     | 64  | 400         | 8    | 151         |
      | 0      | 64  | 0           | 256  | 4096        |
      | 88     | 64  | 40          | 14.4 | 16          |

  Scenario: The operator's limits go before the derived ones
    Given a process with 88 MB, of which 64 are its own, and 4100 descriptors
    When its operator sets 20 MB and 100 connections
    Then its clients may hold 20 MB together, on 100 connections
