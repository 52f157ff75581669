Feature: The cheapest runner gets a request

  Scenario: Requests spread over the runners
    Given a relay with 3 runners and a "safe" route
    When 9 clients send requests to the relay
    Then every runner has 3 of them

  Scenario: Requests with a long shared prompt part go to the runner that has it cached
    Given a relay with 3 runners and a "stream" route
    When 3 clients send requests to the relay with a shared prompt part of 13000 tokens
    Then all of them went to one runner

  Scenario: A prompt part's preferred runner is favoured only by the prefill time of that part
    Given a relay with 3 runners and a "stream" route
    When the preferred runner of a prompt part of 2000 tokens is full of streams
    And a client sends a request with that part and 60000 tokens of its own
    Then it went elsewhere

  Scenario: A crowded runner loses requests even for prompt parts that it has cached
    Given a relay with 3 runners and a "stream" route
    When 9 clients send requests to the relay with a shared prompt part of 13000 tokens
    Then no runner has more than 6 of them

  Scenario: A runner that interrupts answers is ejected for a while
    Given a relay with 3 runners and a "safe" route of 1 attempt
    When every request to runner 1 breaks, 12 times
    Then runner 1 gets none of the next 6 requests
    When 9 seconds pass
    Then runner 1 gets some of the next 12 requests

  Scenario: A route is split by weight, evenly over time
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

  Scenario: A short request avoids a runner that is in the prefill of a long prompt
    Given a relay with 2 runners and a "stream" route
    When a client sends a request to the relay with an unshared prompt part of 60000 tokens
    And 6 clients send requests to the relay with a shared prompt part of 200 tokens
    Then none of the last 6 went where the first went
    When 2 seconds pass
    And 4 clients send requests to the relay with a shared prompt part of 200 tokens
    Then some of the last 4 went where the first went

  Scenario: A prefill announced by another gateway counts like one of this gateway
    Given a relay with 2 runners and a "stream" route
    When another gateway announces for runner 1 a prefill of 0.9 seconds
    And 4 clients send requests to the relay with a shared prompt part of 200 tokens
    Then all of them went to runner 2

  Scenario: A long prompt is announced to the other gateways, a short one is not
    Given a relay with 2 runners and a "stream" route
    When 3 clients send requests to the relay with a shared prompt part of 200 tokens
    Then nothing was announced to the other gateways
    When a client sends a request to the relay with an unshared prompt part of 20000 tokens
    Then one long prompt was announced to the other gateways

  Scenario Outline: A long prompt does not occupy a runner that <course>
    # Guards against: a prefill that never began keeps all gateways away from an idle runner.
    Given a relay with 3 runners and a "stream" route
    When a client sends a request to the relay with an unshared prompt part of 60000 tokens
    And <step>
    And <seconds> seconds pass
    And 4 clients send requests to the relay with a shared prompt part of 200 tokens
    Then some of the last 4 went where the first went
    And the prefill announced for that runner was taken back

    Examples:
      | course               | step                             | seconds |
      | was full             | the runner refuses it as not run | 0.2     |
      | could not be reached | the runner can't be reached      | 1.05    |

  Scenario: A prefill that another gateway takes back occupies the runner no longer
    # Guards against: a refused prompt that only its own gateway knows to be refused.
    Given a relay with 2 runners and a "stream" route
    When another gateway's notice of a prefill of 0.9 seconds at runner 1 arrives
    And 3 clients send requests to the relay with a shared prompt part of 200 tokens
    Then all of them went to runner 2
    When another gateway's notice of a prefill of -0.9 seconds at runner 1 arrives
    And 1 clients send requests to the relay with a shared prompt part of 200 tokens
    Then the last one went to runner 1

  Scenario: A prompt does not count as cached at a runner that has not run it
    # Guards against: requests are attracted by a cache entry that a refused request left behind.
    Given a relay with 3 runners and a "stream" route
    When 1 clients send requests to the relay with a shared prompt part of 13000 tokens
    And the runner refuses it as not run
    Then the shared part counts as cached at the second runner only
    When the runner can't be reached
    Then the shared part counts as cached at the third runner only

  Scenario: A refused request leaves what earlier requests have cached
    Given a relay with 3 runners and a "stream" route
    When 2 clients send requests to the relay with a shared prompt part of 13000 tokens
    And the runner refuses it as not run
    Then the shared part counts as cached at the first and the third runner

  Scenario: A runner that has pending answers and sends nothing is ejected
    Given a relay with 2 runners and a "stream" route
    When 4 clients send requests to the relay with a shared prompt part of 200 tokens
    And runner 2 sends an event on all its streams every 0.1 seconds, for 0.6 seconds
    Then runner 1 is silent and runner 2 is not
