Feature: Under random faults fatal bodies stop reaching runners, and no other body is held

  Each course has four gateways, eight runners, one or two fatal bodies, bodies that come often and
  others, while runners, zones, gateways, controllers and the ledger's nodes end, freeze and are cut off.

  Scenario Outline: Course <seed>
    When the course of seed <seed> is played
    Then nothing was broken, and a fatal body was judged

    Examples: each of these held a body that came often, before nodes reported answers to each suspect
      | seed |
      | 7    |
      | 11   |
      | 38   |

  Scenario Outline: The courses catch a fleet in which <defect>
    Given a fleet in which <defect>
    When the courses of seeds 7, 11, 38 and 2 are played
    Then something was broken

    Examples:
      | defect                                        |
      | nobody tells controllers what ended a runner  |
      | answers clear nobody                          |
      | held requests are sent all the same           |
