Feature: Streams under way when their origin stops being the only one go on at another gateway

  Clients begin streams at gateway-1 while its runners are the only ones that there can be. Then
  another origin appears, gateway-1 is lost, and the clients resume at gateway-2.

  Background:
    Given a fleet of 2 gateways with runners that report by name
    And streams of 60 events

  Scenario Outline: A second version appears <seconds> s before the gateway is lost
    # Guards against: streams whose origin no node knows once it is no longer the only one.
    When 3 runners of version v1 report to all controllers
    And 12 clients read streams at gateway-1
    And a runner of version v2 joins
    And the clients read on for <seconds> seconds
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream has begun
    And each stream goes on
    And no stream has events of two versions

    Examples:
      | seconds |
      | 0       |
      | 0.05    |
      | 1.5     |
      | 3       |

  Scenario Outline: A second version appears while <trouble>
    # Guards against: the same, with one controller that does not answer.
    When 3 runners of version v1 report to all controllers
    And <trouble>
    And 12 clients read streams at gateway-1
    And a runner of version v2 joins
    And the clients read on for 1.5 seconds
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream goes on
    And no stream has events of two versions

    Examples:
      | trouble                                                   |
      | controller-1 is frozen                                    |
      | controller-2 is frozen                                    |
      | controller-3 is frozen                                    |
      | controller-2 of the fleet loses power                     |
      | gateway-1 are cut off from controller-1                   |
      | gateway-2 are cut off from controller-3                   |

  Scenario Outline: The route gets a second service <seconds> s before the gateway is lost
    # Guards against: the same, where another service makes the origin ambiguous.
    When 3 runners of version v1 report to all controllers
    And 12 clients read streams at gateway-1
    And the route is split with a second service
    And the clients read on for <seconds> seconds
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream goes on
    And no stream has events of two versions

    Examples:
      | seconds |
      | 0.1     |
      | 0.6     |

  Scenario Outline: <lost> lose their records <seconds> s before the gateway is lost
    # Guards against: records that gateways renew only with their period after a controller's start.
    When 3 runners of version v1 report to all controllers
    And 1 runners of version v2 report to all controllers
    And 12 clients read streams at gateway-1
    And <lost> of the fleet start again
    And the clients read on for <seconds> seconds
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream goes on
    And no stream has events of two versions

    Examples:
      | lost                                     | seconds |
      | controller-1, controller-2, controller-3 | 3       |
      | controller-1, controller-2               | 3       |
      | controller-2, controller-3               | 3       |

  Scenario: A controller comes back without records beside one that is cut off
    # Guards against: records that only a controller has which the resuming gateway can't reach.
    When 3 runners of version v1 report to all controllers
    And 1 runners of version v2 report to all controllers
    And 12 clients read streams at gateway-1
    And controller-1 are cut off from gateway-1, gateway-2
    And controller-2, controller-3 of the fleet start again
    And the clients read on for 3 seconds
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream goes on
    And no stream has events of two versions

  Scenario: Controllers that have just started do not say that a stream is lost
    # Guards against: a refusal for good, before gateways have reported their streams again.
    When 3 runners of version v1 report to all controllers
    And 1 runners of version v2 report to all controllers
    And 12 clients read streams at gateway-1
    And controller-1, controller-2, controller-3 of the fleet start again
    And the clients ask gateway-2 once
    Then no client was told that its stream is lost
    When the clients read on for 3 seconds
    And the clients resume at gateway-2
    Then each stream goes on
    And no stream has events of two versions
