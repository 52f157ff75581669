Feature: Requests are served in the regions that their route and their tenant allow, and nowhere else

  Scenario Outline: A request goes to runners of allowed regions, first and again
    Given a relay with runners in east and west and a resumable stream route of "<route>"
    When 20 clients ask it
    Then they went to <regions> alone

    Examples:
      | route     | regions   |
      | east      | east      |
      | west      | west      |
      | east,west | east,west |
      |           | east,west |

  Scenario: A stream that breaks off goes on within the region, though others are idle
    Given a relay with runners in east and west and a resumable stream route of "east"
    When a client asks it and its stream breaks off after 2 events
    Then it goes on behind event 2 at another runner of east

  Scenario: Where no runner is allowed a request is refused at once, with a time to come back
    Given a relay with runners in east and west and a resumable stream route of "north"
    When 1 clients ask it
    Then it is refused at once with a time to come back, and nothing was sent

  Scenario: A table that takes a region away holds for what is sent again
    Given a relay with runners in east and west and a resumable stream route of "east"
    When a client asks it and the route then allows "west" alone
    And its runner breaks the stream off after 2 events
    Then it goes on behind event 2 at another runner of west

  Scenario: A place that the leader names in another region is not taken
    Given a relay with runners in east and west and a resumable stream route of "east"
    And a leader that names a runner of west
    When 1 clients ask it
    Then they went to east alone

  Scenario Outline: The leader places within the regions that are asked for
    Given a leader that places among runners in east and west
    When 20 requests are placed that allow "<regions>"
    Then they were placed in <where>

    Examples:
      | regions | where |
      | east    | east  |
      | west    | west  |
      | north   | none  |

  Scenario Outline: Route and tenant both bind
    Given a table whose route allows "<route>" and whose tenant allows "<tenant>"
    Then its requests may be served in "<both>"

    Examples:
      | route     | tenant    | both       |
      | east      |           | east       |
      |           | west      | west       |
      | east,west | west      | west       |
      | east      | west      | nowhere    |
      |           |           | everywhere |

  Scenario Outline: A job is taken only where its bodies may lie
    Given a gateway in east of a fleet of east and west whose job route allows "<route>"
    When a client hands a job in there
    Then the job is <taken>

    Examples:
      | route     | taken                                                |
      |           | handed to the ledger                                 |
      | east,west | handed to the ledger                                 |
      | west      | handed to the ledger                                 |
      | east      | refused with a time to come back, and goes nowhere   |

  Scenario: Items run in allowed regions alone, also once a table has changed
    Given a relayed fleet of 2 regions whose jobs may run in east
    When a gateway hands in a job of 4 items
    Then 4 items run, all of them in east
    When a table allows jobs in west alone
    And a gateway hands in another job of 4 items for a region
    Then 4 items run, all of them in west
