Feature: Readers of HTTP answers trust nothing beside a status that HTTP gives no meaning to

  An engine, an operator's node or a caller's gateway in trouble sends a whole answer with such a status. Its body
  may say that the request was not run, or look like a success.

  Scenario Outline: The engine client: <status>
    Given a server that answers every request with the status <status> and a fault that says not run
    When the engine client makes each kind of call, and asks for an attempt
    Then the attempt is lost, and every call has failed with an unknown outcome

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 2000   |
      | abc    |

  Scenario Outline: A caller of the native front: <status>
    Given a native gateway over an engine behind a proxy that answers <status> with a fault that says not run
    When callers ask for a completion that may not be repeated, and for a streamed one
    Then every caller has been told an error of unknown outcome

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: An operator's command, and its lines: <status>
    Given a server that answers the first request with the status <status>, and the next ones whole
    When an operator's command is run, and its lines are read
    Then both have the whole answer, at their second attempt

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  Scenario Outline: A caller of the experiment's client: <status>
    Given a server that answers every request with the status <status> and an error that says not run
    When the experiment's client makes a call, and reads a stream
    Then both have failed with an unknown outcome

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |
