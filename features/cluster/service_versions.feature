Feature: A quorum of controllers knows the software versions of a service

  Background:
    Given a fleet of 3 controllers and 2 gateways that share versions

  Scenario: A version is known to a quorum soon after its first runner has reported
    When a runner of version v1 has reported to controller-1
    Then a quorum knows v1, as gateway-1 sees it
    And the sole version v1 is confirmed at gateway-2

  Scenario Outline: A gateway that does not reach a quorum, as <cut> are cut off, does not take a version for known
    When gateway-1 loses touch with <cut>
    And a runner of version v1 has reported to controller-1
    Then <result>, as gateway-1 sees it

    Examples:
      | cut                        | result                |
      | controller-3               | a quorum knows v1     |
      | controller-2, controller-3 | no quorum knows v1    |

  Scenario: A version that only another gateway has shared counts for as long as streams of it may run
    # Guards against: a gateway that continues by its table while controllers have been told of more.
    When a runner of version v1 has reported to controller-1
    And gateway-1 has shared a version v2 that no runner of the controllers has
    Then the sole version v1 is others_known at gateway-2
    When gateway-1 of the fleet loses power
    And 601 seconds pass in the fleet
    Then the sole version v1 is confirmed at gateway-2

  Scenario: Without a quorum's answer a sole version is unsure
    When a runner of version v1 has reported to controller-1
    And gateway-2 loses touch with controller-2, controller-3
    Then the sole version v1 is unsure at gateway-2

  Scenario: Controllers that have just started do not count
    # Guards against: a quorum of controllers that have forgotten what gateways shared with them.
    When a runner of version v1 has reported to controller-1
    And controller-2, controller-3 start again
    Then the sole version v1 is unsure at gateway-2
    When 3 seconds pass in the fleet
    Then the sole version v1 is confirmed at gateway-2

  Scenario: Controllers that have just founded their fleet count at once
    # Guards against: resumed streams that a fleet refuses for its first seconds.
    Given a fleet of 3 controllers and 2 gateways that share versions, founded at this moment
    When a runner of version v1 has reported to controller-1
    Then the sole version v1 is confirmed at gateway-2

  Scenario: Controllers that have lost their disks do not count at once
    # Guards against: a quorum that includes a controller which has forgotten what it acknowledged.
    When a runner of version v1 has reported to controller-1
    And gateway-2 loses touch with controller-2
    And the disk of controller-3 is lost, and it starts again as a founder
    Then the sole version v1 is unsure at gateway-2
    When 3 seconds pass in the fleet
    Then the sole version v1 is confirmed at gateway-2

  Scenario: A gateway shares its versions again with a controller that has started again
    When a runner of version v1 has reported to controller-1
    And gateway-1 has shared a version v2 that no runner of the controllers has
    And controller-1, controller-2, controller-3 start again
    And 6 seconds pass in the fleet
    Then the sole version v1 is others_known at gateway-2

  Scenario: Runners that state no version count as one version where none states any
    When a runner of no version has reported to controller-1
    Then a quorum knows no version, as gateway-1 sees it
    When a runner of version v1 has reported to controller-1
    Then no quorum knows no version, as gateway-1 sees it
