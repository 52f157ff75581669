Feature: A web site sends its last answers before its process ends

  Scenario: An answer that is written but not yet sent is sent
    Given a followed web site that answers with 8000000 bytes
    When a slow reader asks the followed web site and reads nothing yet
    And the followed web site is finished with a limit of 10 s
    Then the followed web site is not finished yet
    When the slow reader reads to the end
    Then the slow reader has 8000000 bytes
    And the followed web site is finished

  Scenario: A request in progress is finished
    Given a followed web site that answers when it is told to
    When a slow reader asks the followed web site and reads nothing yet
    And the followed web site is finished with a limit of 10 s
    Then the followed web site is not finished yet
    When the followed web site is told to answer
    And the slow reader reads to the end
    Then the slow reader has 5 bytes
    And the followed web site is finished

  Scenario: The connection of a reader that never reads is closed at the limit
    Given a followed web site that answers with 8000000 bytes
    When a slow reader asks the followed web site and reads nothing yet
    And the followed web site is finished with a limit of 10 s
    And 11 s pass for the followed web site
    Then the followed web site is finished

  Scenario: Without connections there is no wait
    Given a followed web site that answers with 10 bytes
    When the followed web site is finished with a limit of 10 s
    Then the followed web site is finished

  Scenario Outline: An answer that is cut at the limit doesn't look complete when the process ends
    Given a process with a followed web site that never ends its answers
    When a client of HTTP <version> asks for "/"
    And the first bytes of the answer have come
    And the process finishes its followed web site and ends
    Then the client finds the answer broken

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  Scenario Outline: An answer that is under way when its process is killed doesn't look complete
    # HTTP/1.0 has no chunks: closing the connection ends the answer, and the kernel closes the
    # connections of a killed process normally.
    Given a process with a followed web site that never ends its answers
    When a client of HTTP <version> asks for "/"
    And the first bytes of the answer have come
    And the process that serves HTTP is killed
    Then the client finds the answer broken

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  Scenario Outline: A finished answer without a length arrives complete
    Given a process with a followed web site that ends its answers after <count> bytes
    When a client of HTTP 1.0 asks for "/"
    Then the client finds the answer whole with <count> bytes

    Examples:
      | count    |
      | 11       |
      | 8000000  |

  Scenario: An answer that is finished and has not left when its process is killed doesn't look complete
    # Guards against a slow HTTP/1.0 reader that takes the first part of an answer for all of it.
    Given a process with a followed web site that ends its answers after 8000000 bytes
    When a client of HTTP 1.0 asks for "/"
    And the first bytes of the answer have come
    And the process that serves HTTP is killed
    Then the client finds the answer broken
