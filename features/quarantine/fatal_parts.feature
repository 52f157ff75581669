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

  Scenario: A part of all requests, whose runners end by themselves, is not held
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When some of its runners ends every 1 s for 30 s
    Then no part was ever held

  Scenario: A part of all requests is not held where runners mark the end of no answer
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And its runners mark the end of an answer only by the end of the connection
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When some of its runners ends every 1 s for 30 s
    Then no part was ever held

  Scenario: A part of all requests is not held while no runner answers
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When 3 of its runners end at once and all others lose power, for 3 s
    And 3 s go by in that fleet
    Then no part was ever held
    And sound requests are answered again

  Scenario: A held part survives the restart of all controllers, and an operator releases it
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When requests with prompts "aa01:172,dead01:40,own{n}:90" come every 0.5 s for 10 s, at each gateway in turn
    Then the operator's list has the part "dead01" of the service "model"
    When all controllers of that fleet lose power and start again
    And requests with prompts "aa01:172,dead01:40,own{n}:90" come every 0.5 s for 5 s, once more
    Then no run of the part began since the restart
    When the part is harmless and an operator releases it
    Then a request with prompt "aa01:172,dead01:40,own1:90" is served

  Scenario Outline: What a held part shuts out: <request>
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    And sound clients send 20 requests a second with prompts "aa01:172,bb{n}:300,own{n}:90"
    When requests with prompts "aa01:172,dead01:40,own{n}:90" come every 0.5 s for 10 s, at each gateway in turn
    And the part is harmless
    Then a request with prompt "<prompt>" is <answer>

    Examples:
      | request                      | prompt                      | answer                |
      | one that holds it            | bb1:10,dead01:40,own1:90    | refused as held       |
      | one with it as its last part | aa01:172,dead01:40          | served                |
      | one without it               | aa01:172,own1:90            | served                |

  Scenario: The fingerprint of a part is its tenant's, service's and model's
    Then the fingerprints of one part differ by tenant, service and model, and by no other part

  Scenario: Items that hold a fatal part are kept from runners, and the others of their job go on
    Given a fleet of 3 gateways whose runners crash at the part "dead01"
    When a job of 6 items is handed in, two of which hold the part "dead01"
    And 20 s go by in that fleet
    Then later than 3 s after the fifth crash at most 3 runs of the part began
    And the 4 other items of the job are done
