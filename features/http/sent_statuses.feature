Feature: The server sends no status that HTTP gives no meaning to

  Scenario Outline: A handler answers with the status <status>, <how>
    Given a server whose handler answers with the status <status>, <how>
    When a client sends it a request
    Then the client has got no byte of an answer, and its connection is reset
    And the log names the status <status>

    Examples:
      | status | how       |
      | 0      | at once   |
      | 99     | at once   |
      | 199    | at once   |
      | 600    | at once   |
      | 999    | at once   |
      | 600    | in pieces |
      | 0      | in pieces |
