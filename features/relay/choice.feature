Feature: The cheapest runner gets a request

  Scenario: Requests spread over the runners
    Given a relay with 3 runners and a "safe" route
    When 9 clients send requests to the relay
    Then every runner has 3 of them

  Scenario: A long shared part goes where it lies
    Given a relay with 3 runners and a "stream" route
    When 3 clients send requests to the relay with a shared part of 13000 tokens
    Then all of them went to one runner

  Scenario: The home of a shared part draws that part's reading alone
    Given a relay with 3 runners and a "stream" route
    When the home of a part of 2000 tokens is full with streams
    And a client sends a request with that part and 60000 tokens of its own
    Then it went elsewhere

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

  Scenario: A short request avoids a runner that reads a long prompt
    Given a relay with 2 runners and a "stream" route
    When a client sends a request to the relay with an own part of 60000 tokens
    And 6 clients send requests to the relay with a shared part of 200 tokens
    Then none of the last 6 went where the first went
    When 2 seconds pass
    And 4 clients send requests to the relay with a shared part of 200 tokens
    Then some of the last 4 went where the first went

  Scenario: Another gateway's word of a long prompt counts like an own one
    Given a relay with 2 runners and a "stream" route
    When another gateway says that runner 1 reads for 0.9 seconds
    And 4 clients send requests to the relay with a shared part of 200 tokens
    Then all of them went to runner 2

  Scenario: A long prompt is told to the other gateways, a short one is not
    Given a relay with 2 runners and a "stream" route
    When 3 clients send requests to the relay with a shared part of 200 tokens
    Then nothing was told to the other gateways
    When a client sends a request to the relay with an own part of 20000 tokens
    Then one long prompt was told to the other gateways

  Scenario: A runner that owes an answer and says nothing is left out
    Given a relay with 2 runners and a "stream" route
    When 4 clients send requests to the relay with a shared part of 200 tokens
    And runner 2 sends an event on all its streams every 0.1 seconds, for 0.6 seconds
    Then runner 1 is silent and runner 2 is not
