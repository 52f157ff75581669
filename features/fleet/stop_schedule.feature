Feature: The moments of a planned stop follow from the grace time

  Scenario Outline: A grace time of <grace> s
    When a gateway with a grace time of <grace> s plans its stop
    Then the port closes after <closes> s, unfinished requests end after <answers> s, and the process ends after <ends> s

    Examples:
      | grace | closes | answers | ends |
      | 120   | 2.3    | 119.2   | 119.6 |
      | 8     | 2.3    | 7.2     | 7.6  |
      | 2     | 0.96   | 1.44    | 1.6  |
      | 0.5   | 0.24   | 0.36    | 0.4  |
