Feature: The cheapest runner gets a request

  Scenario: Requests spread over the runners
    Given a relay with 3 runners and a "safe" route
    When 9 clients send requests to the relay
    Then every runner has 3 of them

  Scenario: A long shared part goes where it lies
    Given a relay with 3 runners and a "stream" route
    When 3 clients send requests to the relay with a shared part of 13000 tokens
    Then all of them went to one runner

  Scenario: A crowded runner loses even what it has read
    Given a relay with 3 runners and a "stream" route
    When 9 clients send requests to the relay with a shared part of 13000 tokens
    Then no runner has more than 6 of them

  Scenario: A runner that breaks answers off is left alone for a while
    Given a relay with 3 runners and a "safe" route of 1 attempt
    When every request to runner 1 breaks, 12 times
    Then runner 1 gets none of the next 6 requests
    When 9 seconds pass
    Then runner 1 gets some of the next 12 requests

  Scenario: A split is kept evenly
    Given a relay whose route is split 90 to 10 over two services
    When 200 requests are sent by the split
    Then 180 of them went to the first service, give or take 1

  Scenario: Of several prefixes the longest wins
    Given routes "/", "/a/" and "/a/b/" of a host
    Then the paths match routes
      | path   | route  |
      | /x     | /      |
      | /a/x   | /a/    |
      | /a/b/x | /a/b/  |
      | /a     | /      |
