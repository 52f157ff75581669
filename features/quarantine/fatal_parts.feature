Feature: A prompt part that crashes each runner is held back from runners

  Requests that hold such a part differ in everything else, and sound requests share their caller and
  their other parts. All parts but the last one are suspects when a runner crashes, beside the whole
  requests; an answer to any request clears the parts that it holds.

  Scenario Outline: The part comes <place>, every <period> s at each gateway in turn
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 5 s go by in that fleet
    And requests with prompts "<prompt>" come every <period> s for 25 s, at each gateway in turn
    Then later than 3 s after the fifth crash at most 3 runs of the part began
    And sound requests began at the first attempt at least half as often after it as before
    And no part but "dead01" was ever held

    Examples:
      | place               | period | prompt                               |
      | between other parts | 0.25   | aa01:172,dead01:40,own{n}:90         |
      | first               | 0.25   | dead01:40,cc{n}:300,own{n}:90        |
      | seldom              | 1.4    | aa01:172,dead01:40,own{n}:90         |
      | alone with its own  | 0.5    | dead01:40,own{n}:90                  |

  Scenario: Two such parts at once
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And its runners crash at the part "dead02" too
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 5 s go by in that fleet
    And requests with prompts "aa01:172,dead02:40,own{n}:90" come every 0.5 s for 25 s, meanwhile
    And requests with prompts "aa01:172,dead01:40,own{n}:90" come every 0.5 s for 25 s, at each gateway in turn
    Then later than 3 s after the fifth crash of each at most 3 runs of each part began
    And sound requests began at the first attempt at least half as often after it as before

  Scenario: A last part is the request's own, and is never held
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    When requests with prompts "aa01:172,dead01:40" come every 0.5 s for 5 s, at each gateway in turn
    Then no part was ever held
    And no runner of that fleet has crashed
