Feature: No stream goes on at another software version at a gateway that is cut off

  Clients begin streams at gateway-1, which is lost in the middle of them, and take them up at
  gateway-2. Runners report to the controllers that are named; all gateways and clients reach them.

  Background:
    Given a fleet of 2 gateways with runners that report by name

  Scenario Outline: Gateways in touch with different controllers: <course>
    # Guards against: streams that go on at the version of a gateway that has not heard of another.
    When 3 runners of version v1 report to all controllers
    And <some> <cut> <others>
    And 3 seconds pass in the fleet
    And 2 runners of version v2 report to <v2 reports>
    And 12 clients read streams at gateway-1 until it is lost
    And the clients resume at gateway-2
    Then each stream has begun
    And no stream has events of two versions

    Examples:
      | course                                    | v2 reports                 | cut                  | some                                   | others                                 |
      | the new runners on the smaller side       | controller-1               | are cut off from     | gateway-1, controller-1                | gateway-2, controller-2, controller-3  |
      | what the smaller side sends is lost       | controller-1               | no longer reach      | gateway-1, controller-1                | gateway-2, controller-2, controller-3  |
      | what the larger side sends is lost        | controller-1               | no longer reach      | gateway-2, controller-2, controller-3  | gateway-1, controller-1                |
      | the new runners on the larger side        | controller-2, controller-3 | are cut off from     | gateway-2, controller-1                | gateway-1, controller-2, controller-3  |
      | the first gateway reaches all controllers | controller-1               | are cut off from     | controller-1                           | gateway-2, controller-2, controller-3  |
      | the first gateway reaches no controller   | all controllers            | are cut off from     | gateway-1                              | controller-1, controller-2, controller-3 |
      | the resuming one reaches one controller   | controller-2, controller-3 | are cut off from     | gateway-2                              | controller-2, controller-3             |
      | the resuming one reaches no controller    | all controllers            | are cut off from     | gateway-2                              | controller-1, controller-2, controller-3 |

  Scenario: Each of two gateways knows one version only
    # Guards against: streams that no gateway reports, as each takes its version for the only one.
    When gateway-1, controller-1 are cut off from gateway-2, controller-2, controller-3
    And 3 seconds pass in the fleet
    And 3 runners of version v1 report to controller-2, controller-3
    And 2 runners of version v2 report to controller-1
    And 12 clients read streams at gateway-1 until it is lost
    And the clients resume at gateway-2
    Then no stream has events of two versions
    And the clients of gateway-1 were asked to come again

  Scenario Outline: A gateway that comes back behind a join, where the records of streams were lost: <away>
    # Guards against: streams that go on by a table from before the join.
    When 3 runners of version v1 report to all controllers
    And <away>
    And 2 runners of version v2 report to all controllers
    And gateway-1 no longer reach controller-1, controller-2, controller-3
    And 12 clients read streams at gateway-1 until it is lost
    And <back>
    And the clients resume at gateway-2
    Then each stream has begun
    And no stream has events of two versions

    Examples:
      | away                                                                   | back                        |
      | gateway-2 is frozen                                                    | gateway-2 goes on           |
      | gateway-2 are cut off from controller-1, controller-2, controller-3    | gateway-2 is in touch again |
      | controller-1, controller-2, controller-3 no longer reach gateway-2     | gateway-2 is in touch again |

  Scenario Outline: A controller starts again behind the reports of streams, <seconds> s before the clients resume
    # Guards against: a controller that counts as one that would know, right after its start.
    When 3 runners of version v1 report to all controllers
    And controller-1 are cut off from controller-2, controller-3, gateway-2
    And gateway-1 are cut off from controller-3
    And 3 seconds pass in the fleet
    And 2 runners of version v2 report to controller-1
    And 12 clients read streams at gateway-1
    And controller-2 of the fleet loses power and starts again at once
    And <seconds> seconds pass in the fleet
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream has begun
    And no stream has events of two versions

    Examples:
      | seconds |
      | 0       |
      | 2       |
      | 5       |

  Scenario Outline: With one version, all streams go on while <trouble>
    When 3 runners of version v1 report to all controllers
    And 12 clients read streams at gateway-1 until it is lost
    And <trouble>
    And the clients resume at gateway-2
    Then all streams are whole, each of one version

    Examples:
      | trouble                                              |
      | 0 seconds pass in the fleet                          |
      | controller-1 of the fleet loses power                |
      | controller-2 is frozen                               |
      | gateway-2 are cut off from controller-3              |
      | controller-3 no longer reach gateway-2, controller-1 |

  Scenario Outline: With two versions, all streams go on at theirs while <trouble>
    When 3 runners of version v1 report to all controllers
    And 3 runners of version v2 report to all controllers
    And 12 clients read streams at gateway-1 until it is lost
    And <trouble>
    And the clients resume at gateway-2
    Then all streams are whole, each of one version
    And streams began at 2 versions

    Examples:
      | trouble                                 |
      | 0 seconds pass in the fleet             |
      | controller-1 of the fleet loses power   |
      | controller-2 is frozen                  |
      | gateway-2 are cut off from controller-3 |

  Scenario: Streams begin at a new version as soon as its runners are known
    When 3 runners of version v1 report to all controllers
    And all runners crash, and start again at version v2 after 0.5 s
    And 1 seconds pass in the fleet
    And 12 clients read streams at gateway-1
    Then each stream has begun

  Scenario: While one controller is of an earlier version, streams begin and go on as before
    When the controllers know no quorums of versions
    And 3 runners of version v1 report to all controllers
    And 12 clients read streams at gateway-1 until it is lost
    And the clients resume at gateway-2
    Then all streams are whole, each of one version

  Scenario Outline: A controller restarts while the gateway that shared a version is cut off, <seconds> s before streams begin
    # Guards against: an acknowledgement that a controller forgets while a gateway relies on it.
    When 3 runners of version v1 report to all controllers
    And controller-1 are cut off from controller-2, controller-3, gateway-2
    And gateway-1 are cut off from controller-3
    And 3 seconds pass in the fleet
    And 2 runners of version v2 report to controller-1
    And 2 seconds pass in the fleet
    And gateway-1 are cut off from controller-2
    And controller-2 of the fleet loses power and starts again at once
    And <seconds> seconds pass in the fleet
    And 12 clients read streams at gateway-1 until it is lost
    And the clients resume at gateway-2
    Then no stream has events of two versions

    Examples:
      | seconds |
      | 5       |
      | 8       |

  Scenario: A controller restarts behind the beginning of streams, while their gateway is cut off from it
    # Guards against: an acknowledgement that a controller forgets while a stream relies on it.
    When 3 runners of version v1 report to all controllers
    And controller-1 are cut off from controller-2, controller-3, gateway-2
    And gateway-1 are cut off from controller-3
    And 3 seconds pass in the fleet
    And 2 runners of version v2 report to controller-1
    And 12 clients read streams at gateway-1
    And gateway-1 are cut off from controller-2
    And controller-2 of the fleet loses power and starts again at once
    And 5 seconds pass in the fleet
    And gateway-1 of the fleet loses power
    And the clients resume at gateway-2
    Then each stream has begun
    And no stream has events of two versions

  Scenario: A shared version expires at a controller while the gateway that shared it is cut off
    # Guards against: an acknowledgement on which a gateway relies for longer than it is kept.
    When 3 runners of version v1 report to all controllers
    And controller-1 are cut off from controller-2, controller-3, gateway-2
    And gateway-1 are cut off from controller-3
    And 3 seconds pass in the fleet
    And 2 runners of version v2 report to controller-1
    And 2 seconds pass in the fleet
    And gateway-1 are cut off from controller-2
    And 610 seconds pass in the fleet
    And 12 clients read streams at gateway-1 until it is lost
    And the clients resume at gateway-2
    Then no stream has events of two versions

  Scenario Outline: One of three controllers is of an earlier version at a cut: <name>
    When the <name> knows no quorums of versions
    And 3 runners of version v1 report to all controllers
    And gateway-1, controller-1 are cut off from gateway-2, controller-2, controller-3
    And 3 seconds pass in the fleet
    And 2 runners of version v2 report to controller-1
    And 12 clients read streams at gateway-1 until it is lost
    And the clients resume at gateway-2
    Then no stream has events of two versions

    Examples:
      | name         |
      | controller-1 |
      | controller-2 |
      | controller-3 |
