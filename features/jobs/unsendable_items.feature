Feature: An item that can't be sent as an HTTP request stops no other one

  Guards against: one accepted item with a header that can't be sent ends the dispatch of all items,
  of all jobs, until the ledger's leader changes.

  Scenario Outline: A job whose item has <what> is refused
    Then a job of an item with the id <id>, the path <path> and the header <name>: <value> is refused, since <field> is invalid

    Examples: all values are JSON texts
      | what                               | id       | path     | name    | value      | field                 |
      | a header that is not Latin-1       | "i1"     | "/a/1"   | "Model" | "\u6a21"   | items[0].headers.Model |
      | a header of two lines              | "i1"     | "/a/1"   | "Model" | "a\nb: c"  | items[0].headers.Model |
      | a header with a NUL                | "i1"     | "/a/1"   | "Model" | "a\u0000"  | items[0].headers.Model |
      | a header whose name is no token    | "i1"     | "/a/1"   | "a b"   | "c"        | items[0].headers.a b   |
      | a header without a name            | "i1"     | "/a/1"   | ""      | "c"        | items[0].headers.      |
      | an id of two lines                 | "i\n1"   | "/a/1"   | "Model" | "m"        | items[0].id            |
      | an id with half of a character     | "\ud800" | "/a/1"   | "Model" | "m"        | items[0].id            |
      | a path with a space                | "i1"     | "/a 1"   | "Model" | "m"        | items[0].path          |
      | a path that is not ASCII           | "i1"     | "/\u6a21" | "Model" | "m"       | items[0].path          |
      | an empty path                      | "i1"     | ""       | "Model" | "m"        | items[0].path          |

  Scenario Outline: A job whose item has <what> is accepted
    Then a job of an item with the id <id>, the path <path> and the header <name>: <value> is accepted, and the header is sent as <sent>

    Examples: all values are JSON texts
      | what                        | id          | path      | name    | value        | sent       |
      | plain texts                 | "i1"        | "/a/1?b"  | "Model" | "m"          | "m"        |
      | a Latin-1 header            | "\u6a21-1"  | "/a/1"    | "Model" | "caf\u00e9"  | "caf\u00e9" |
      | an empty header             | "i1"        | "/a/1"    | "Model" | ""           | ""         |
      | white space around a header | "i1"        | "/a/1"    | "Model" | " a b\t"     | "a b"      |

  Scenario Outline: An accepted item <what> is given up, and all others are sent
    Given a relayed fleet whose items are sent with their headers, with a runner of 8 slots
    When a job is accepted whose only item has the header value <value>
    And a job of 2 items follows
    And 2 s pass in that relayed fleet
    Then the first job's item is listed as given up, and 2 items are sent

    Examples: all values are JSON texts
      | what                                | value     |
      | with a header that is not Latin-1   | "\u6a21"  |
      | with a header of two lines          | "a\nb: c" |

  Scenario: An error in one dispatch round does not end the dispatch
    Given a relayed fleet whose items are sent with their headers, with a runner of 8 slots
    When an unexpected error ends the next round of the ledger's leader
    And a job of 2 items follows
    And 2 s pass in that relayed fleet
    Then 2 items are sent to the runner
