Feature: A part of an answer without framing is not taken for all of it

  An answer with neither a length nor chunks ends with its connection. Whoever reads one takes what has come for
  the whole only where the content shows that nothing is missing.

  Scenario Outline: An engine's reply to an import of a session: <body>
    Given a server that answers every request with a whole head without framing, then <body>
    When the engine client imports a session, for each way in which the connection ends
    Then every import has <result>

    Examples:
      | body       | result                          |
      | nothing    | failed with an unknown outcome  |
      | "{"        | failed with an unknown outcome  |
      | "{}"       | succeeded                       |

  Scenario: A reply to an import that has a length
    Given a server that answers every request with a whole head and the length 2, then "{}"
    When the engine client imports a session, for each way in which the connection ends
    Then every import has succeeded

  Scenario Outline: An operator's command: <body>
    Given a server that answers the first request with a whole head without framing, then <body>, and the next ones whole
    When an operator's command is run, for each way in which the connection ends
    Then every command has the whole answer, at its second attempt

    Examples:
      | body            |
      | nothing         |
      | "{"             |
      | "{'rows': [1, " |

  Scenario Outline: The results of a batch as lines: <framing>
    Given a server that answers every request with a whole head <framing>, then "{'line': 1}/"
    When a caller reads the lines, for each way in which the connection ends
    Then every read has <result>

    Examples:
      | framing             | result                          |
      | without framing     | failed with an unknown outcome  |
      | and the length 12   | succeeded                       |
