Feature: Items wait for the runners that may get them, and for no others

  Guards against: an item that finds no free slot ends the dispatch round, so that the items of all
  other services and regions wait until its service has a slot.

  Scenario Outline: Items go to free slots while more urgent items of <others> find none
    Given a fleet with a batch route for "model", "other" and "model" in the east, and runners of <runners>
    When a job of 20 items comes for <first>
    And 0.3 s later one of 4 items for <second>
    And 1.5 s of the two jobs pass
    Then all 4 items of the second job run, and <count> of the first

    Examples:
      | others          | runners             | first             | second            | count |
      | another service | other               | model             | other             | 0     |
      | another service | model, other        | model             | other             | 8     |
      | another region  | model in the west   | model in the east | model             | 0     |

  Scenario: Less urgent items of the same service don't overtake
    Given a fleet with a batch route for "model", "other" and "model" in the east, and runners of model
    When a job of 20 items comes for model
    And 0.3 s later one of 4 items for model
    And 1.5 s of the two jobs pass
    Then all 0 items of the second job run, and 8 of the first

  Scenario: Items of one job go to several services, and the first of them finds no slot
    # Guards against: the same within a job, whose first item finds no slot.
    Given a fleet with a batch route for "model", "other" and "model" in the east, and runners of other
    When a mixed job comes, with 4 items for model before 4 for other
    And 1.5 s of the two jobs pass
    Then 4 items of the mixed job run

  Scenario: The routes of a job's items change while the items wait
    # Guards against: items that wait by the routes of an earlier table.
    Given a fleet with a batch route for "model", "other" and "model" in the east, and runners of other
    When a mixed job comes, with 4 items for model before 4 for model in the east
    And 1.5 s of the two jobs pass
    And the route for "model" in the east leads to "other"
    And 1.5 s of the two jobs pass
    Then 4 items of the mixed job run

  Scenario Outline: A round examines one waiting item for each job and route
    # Guards against: rounds whose cost grows with the number of waiting items.
    Given <jobs> jobs of <items> waiting items each, for <routes> routes by turns
    When no item of a round finds a slot
    Then <examined> items are examined in the round

    Examples:
      | jobs | items | routes | examined |
      | 1    | 4     | 1      | 1        |
      | 3    | 10000 | 4      | 12       |

  Scenario: The items of a job's routes with slots go by their index
    Given 1 jobs of 6 waiting items each, for 3 routes by turns
    When no item of route 1 finds a slot, and those of the others do
    Then the items 0, 2, 3, 5 are started
