Feature: Any gateway finds where a stream began

  Scenario: A stream is found at another gateway after its first one has failed
    Given a relaying fleet of 3 controllers and 3 gateways
    When gateway-1 records that stream "s-1" began at version v1
    And gateway-1 of the fleet loses power
    Then gateway-2 finds v1 for "s-1"
    And gateway-3 finds v1 for "s-1"

  Scenario: A stream is found while any one controller is down
    Given a relaying fleet of 3 controllers and 2 gateways
    When gateway-1 records that 20 streams began at version v1
    And controller-1 of the fleet loses power
    Then gateway-2 finds v1 for each of them

  Scenario: A stream that no controller knows is certainly unknown
    Given a relaying fleet of 3 controllers and 2 gateways
    Then gateway-2 finds nothing for "s-9", for certain

  Scenario: A stream that no controller knows is certainly unknown while one controller is down
    Given a relaying fleet of 3 controllers and 2 gateways
    When controller-2 of the fleet loses power
    Then gateway-2 finds nothing for "s-9", for certain

  Scenario: While controllers don't answer, a stream is not certainly unknown
    Given a relaying fleet of 3 controllers and 2 gateways
    When gateway-1 records that stream "s-1" began at version v1
    And gateway-2 of the fleet is partitioned
    Then gateway-2 finds nothing for "s-1", not for certain

  Scenario Outline: A stream that began while its gateway was cut off from <controllers> controllers is told later
    # Guards against: reports that reach nobody and are sent again only with their renewal.
    Given a relaying fleet of <controllers> controllers and 2 gateways
    When gateway-1 of the fleet is partitioned
    And 4 seconds pass in the fleet
    And gateway-1 records that stream "s-1" began at version v1
    And gateway-1 is in touch again
    And 2 seconds pass in the fleet
    And gateway-1 of the fleet loses power
    Then gateway-2 finds v1 for "s-1"

    Examples:
      | controllers |
      | 1           |
      | 3           |

  Scenario: A record expires unless it is renewed
    Given a relaying fleet of 3 controllers and 2 gateways
    When gateway-1 records that stream "s-1" began at version v1
    And 45 seconds pass in the fleet
    And gateway-1 records that stream "s-1" began at version v1
    And 45 seconds pass in the fleet
    Then gateway-2 finds v1 for "s-1"
    When 30 seconds pass in the fleet
    Then gateway-2 finds nothing for "s-1", for certain

  Scenario: All nodes learn the versions of runners, also after restarts
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    Then every node knows the runner's version v1
    When gateway-1 of the fleet loses power and starts again
    Then every node knows the runner's version v1
    When the runner starts again under its id with version v2
    Then every node knows the runner's version v2

  Scenario: Versions are known right after a loss of all power, before any runner has reported
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    And all machines of the fleet lose power and start again
    Then every node knows the runner's version v1

  Scenario Outline: A runner starts again under its id at <again>, and <course>
    # Guards against: streams of the former incarnation that continue at the version of the new one.
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    And gateway-1 records that stream "s-1" began at version v1
    And the runner starts again under its id with version <again>
    And <course>
    And 5 seconds pass in the fleet
    Then gateway-2 finds <found> for "s-1"
    And gateway-1 knows <known>
    And gateway-2 knows <known>

    Examples:
      | again | course                                                  | known                  | found   |
      | v2    | 0 seconds pass in the fleet                             | no sole version        | v1      |
      | v2    | gateway-2 of the fleet loses power and starts again     | no sole version        | v1      |
      | v2    | all controllers lose power and start again              | no sole version        | v1      |
      | v2    | all machines of the fleet lose power and start again    | no sole version        | nothing |
      | v1    | 0 seconds pass in the fleet                             | v1 as the sole version | v1      |
      | v1    | gateway-2 of the fleet loses power and starts again     | v1 as the sole version | v1      |
      | v1    | all controllers lose power and start again              | v1 as the sole version | v1      |
      | v1    | all machines of the fleet lose power and start again    | v1 as the sole version | nothing |

  Scenario: Restarted controllers are not certain before the runners that they remember have reported
    # Guards against: a stream that continues at a runner whose restart no controller has seen yet.
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    And all controllers lose power and start again, and 1.5 s pass
    Then gateway-2 finds nothing for "s-1", not for certain
    When the runner starts again under its id with version v2
    Then gateway-2 finds nothing for "s-1", for certain
    And gateway-2 knows no sole version

  Scenario: A runner that starts again several times at its version leaves it the sole version
    # Guards against: a former incarnation that counts as one of an unknown version.
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    And the runner starts again 3 times under its id with version v1
    Then gateway-1 knows v1 as the sole version
    And gateway-2 knows v1 as the sole version

  Scenario: All controllers and a gateway are away while a runner starts again at another version
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    And all controllers and gateway-2 start again, and the runner at version v2 meanwhile
    Then gateway-1 knows no sole version
    And gateway-2 knows no sole version
    When 660 seconds pass in the fleet
    Then gateway-1 knows v2 as the sole version
    And gateway-2 knows v2 as the sole version

  Scenario: A stream that began while its version was the only one is found beside another version
    # Guards against: streams whose origin is told to nobody, as it is the only one for now.
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    And gateway-1 records that stream "s-1" began at version v1
    And 1 seconds pass in the fleet
    And gateway-1 of the fleet loses power
    And another runner of version v2 reports to controller-1
    Then gateway-2 knows no sole version
    And gateway-2 finds v1 for "s-1"

  Scenario: A version is the sole one again when the other has been gone for ten minutes
    Given a relaying fleet of 3 controllers and 2 gateways
    When a runner of version v1 reports to controller-1
    Then gateway-2 knows v1 as the sole version
    When another runner of version v2 reports to controller-1
    Then gateway-2 knows no sole version
    When gateway-1 records that stream "s-2" began at version v1
    Then gateway-2 finds v1 for "s-2"
    When the other runner is gone, and 9 minutes pass in the fleet
    Then gateway-2 knows no sole version
    When 2 minutes pass in the fleet, and the first runner reports a change
    Then gateway-2 knows v1 as the sole version

  Scenario: A stream that a client has whole is told to no controller that starts later
    # Guards against: records of streams that nobody takes up again, sent to each new controller.
    Given a relaying fleet of 3 controllers and 2 gateways
    When gateway-1 records that stream "s-1" began at version v1
    And gateway-1 records that stream "s-2" began at version v1
    And gateway-1 completes stream "s-1"
    And all controllers lose power and start again, and 5 s pass
    Then gateway-2 finds nothing for "s-1"
    And gateway-2 finds v1 for "s-2"

  Scenario: Right after the start of all controllers no stream is certainly unknown
    # Guards against: a refusal for good, before gateways have told again of their streams.
    Given a relaying fleet of 3 controllers and 2 gateways
    When all controllers lose power and start again, and 1.5 s pass
    Then gateway-2 finds nothing for "s-9", not for certain
    When 3 seconds pass in the fleet
    Then gateway-2 finds nothing for "s-9", for certain

  Scenario: Nodes of an earlier version get no messages that they don't know
    Given a relaying fleet of 3 controllers and 2 gateways
    And all its nodes but controller-1 announce no extensions
    When gateway-1 records that stream "s-1" began at version v1
    And a runner of version v1 reports to controller-1
    Then no node but controller-1 has received a message of the extension
    And every node knows the runner
