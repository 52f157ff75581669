Feature: Clients outside the limits leave room for others at the fronts of a native fleet

  Scenario Outline: Clients that <kind> at the <front> front
    Given a native fleet whose process has 200 descriptors
    When 400 clients <kind> at the <front> front of the native fleet
    Then completions are answered beside them, and the operator's reads
    And the process of the native fleet has stayed under its descriptors

    Examples:
      | front    | kind                            |
      | caller   | send nothing                    |
      | caller   | send half a head                |
      | caller   | stop a byte short of the length |
      | operator | send nothing                    |
      | status   | send half a head                |

  Scenario: A body over the limit is refused before it is read, and the refusal arrives
    Given a native fleet whose process has 200 descriptors
    When 20 clients announce a gigabyte and send it at the caller front of the native fleet
    Then 20 of the clients were refused with 413
    And completions are answered beside them, and the operator's reads
