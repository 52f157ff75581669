Feature: Requests are served in the regions that their route and their tenant allow, and nowhere else

  Scenario Outline: Each attempt of a request goes to runners in the allowed regions
    Given a relay with runners in east and west and a resumable stream route of "<route>"
    When 20 clients ask it
    Then they went to <regions> only

    Examples:
      | route     | regions   |
      | east      | east      |
      | west      | west      |
      | east,west | east,west |
      |           | east,west |

  Scenario: A stream that breaks off resumes within the region, though runners elsewhere are idle
    Given a relay with runners in east and west and a resumable stream route of "east"
    When a client asks it and its stream breaks off after 2 events
    Then it resumes after event 2 at another runner of east

  Scenario: Where no runner is allowed a request is refused immediately, with a retry time
    Given a relay with runners in east and west and a resumable stream route of "north"
    When 1 clients ask it
    Then it is refused immediately with a retry time, and nothing was sent

  Scenario: A table that removes a region applies to retries
    Given a relay with runners in east and west and a resumable stream route of "east"
    When a client asks it and the route then allows "west" only
    And its runner breaks the stream off after 2 events
    Then it resumes after event 2 at another runner of west

  Scenario: A placement by the leader in another region is ignored
    Given a relay with runners in east and west and a resumable stream route of "east"
    And a leader that places requests at a runner of west
    When 1 clients ask it
    Then they went to east only

  Scenario Outline: The leader places requests within the regions that they allow
    Given a leader that places among runners in east and west
    When 20 requests are placed that allow "<regions>"
    Then they were placed in <where>

    Examples:
      | regions | where |
      | east    | east  |
      | west    | west  |
      | north   | none  |

  Scenario Outline: The limits of route and tenant both apply
    Given a table whose route allows "<route>" and whose tenant allows "<tenant>"
    Then its requests may be served in "<both>"

    Examples:
      | route     | tenant    | both       |
      | east      |           | east       |
      |           | west      | west       |
      | east,west | west      | west       |
      | east      | west      | nowhere    |
      |           |           | everywhere |

  Scenario Outline: A job is accepted only where its request bodies may be stored
    Given a gateway in east of a fleet of east and west whose job route allows "<route>"
    When a client submits a job there
    Then the job is <taken>

    Examples:
      | route     | taken                                                |
      |           | handed to the ledger                                 |
      | east,west | handed to the ledger                                 |
      | west      | handed to the ledger                                 |
      | east      | refused with a retry time, and not forwarded         |

  Scenario: Items run in allowed regions only, also after a change of the table
    Given a relayed fleet of 2 regions whose jobs may run in east
    When a gateway hands in a job of 4 items
    Then 4 items run, all of them in east
    When a table allows jobs in west only
    And a gateway submits another job of 4 items for a region
    Then 4 items run, all of them in west
