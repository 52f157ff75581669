Feature: While a service is busy the ledger's leader places each request

  Scenario: A request goes to the runner that the leader chose
    Given a relay with 3 runners and a "safe" route that asks the leader
    When the leader names runner 2
    And a client asks the relay
    Then the asked request went to runner 2, and the leader hears that its word is known

  Scenario: A service that is not busy is not asked about
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the service is not busy any more
    And a client asks the relay
    Then that request is sent at once, and the leader was asked 0 times

  Scenario: A leader that does not answer delays one request briefly, and the next ones not at all
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says nothing
    And a client asks the relay
    Then the request is sent after 40 ms
    When another client asks the relay
    Then that request is sent at once, and the leader was asked 1 times
    When 0.6 seconds pass at the asking relay
    And the service is busy
    And another client asks the relay
    Then the leader was asked 2 times

  Scenario: A gateway that knows of no leader sends at once
    Given a relay with 2 runners and a "safe" route that asks the leader
    When no leader is known
    And a client asks the relay
    Then that request is sent at once, and the leader was asked 0 times

  Scenario: The request of a client that disconnects while the leader is asked is not sent
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader says nothing
    And a client asks the relay and leaves
    And 0.1 seconds pass at the asking relay
    Then nothing was sent to a runner

  Scenario: A request without attempts left ends at once, without asking the leader again
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader names runner 1
    And a client asks the relay
    And 0.01 seconds pass at the asking relay
    And the runners that the request goes to break off, twice
    Then the client has its answer at once, and the leader was asked 2 times

  Scenario: A runner that has drained since the leader named it gets nothing
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader names runner 1 after 10 ms
    And a client asks the relay
    And runner 1 is drained meanwhile
    Then the asked request went to runner 2

  Scenario: A request that would wait too long is refused at once with a retry time, without a run
    Given a relay with 2 runners and a "safe" route that asks the leader
    When the leader finds no place in time
    And a client asks the relay
    Then the asking client is refused with 503 at once, and nothing was sent to a runner
    When a client that was refused before asks the relay
    Then the leader is asked for a place whatever the wait

  Scenario: Simultaneous requests are spread, as each one counts from the moment it is placed
    Given a leader of 4 runners with 4 slots each
    When 16 requests of 8 gateways are placed at the same moment
    Then each runner has 4 of them
    When 2 more requests are placed
    Then they went to 2 runners
    When a request is placed that accepts 0.1 waiting for each slot
    Then it is refused and counts nowhere

  Scenario: Free slots of the request's zone are used first, then other slots, those of items, and queues
    Given a leader of 3 runners with 1 slots each, in 3 zones
    When an item runs at runner 2
    And requests of zone 3 are placed until none is free
    Then they went to runners 3, 1 and 2 in this order
    And the item at runner 2 has to give way at once

  Scenario: A placement counts until its gateway's next report, or until it expires unused
    Given a leader of 1 runners with 8 slots each
    When 3 requests of one gateway are placed
    And that gateway reports 2 under way, knowing of the first 2 placements
    Then the leader counts 3 requests
    When that gateway reports 3 under way, knowing of all placements
    Then the leader counts 3 requests
    When 1 requests of one gateway are placed
    And 0.6 seconds pass at the leader
    Then the leader counts 3 requests

  Scenario: The requests of a gateway that stopped reporting expire
    Given a leader of 1 runners with 8 slots each
    When that gateway reports 3 under way, knowing of no placement
    Then the leader counts 3 requests
    When 16 seconds pass at the leader
    Then the leader counts 0 requests

  Scenario: A runner that fails at several gateways is ejected by all, and again after one failure when it returns
    Given a leader of 6 runners with 4 slots each
    When 2 gateways report a failure each at runner 1
    Then runner 1 is left out for 3 seconds
    When 3.1 seconds pass at the leader
    And 1 gateways report a failure each at runner 1
    Then runner 1 is left out for 6 seconds

  Scenario: A runner whose answers are occasionally lost is not ejected
    Given a leader of 6 runners with 4 slots each
    When gateways report 40 sound answers and 3 failures at runner 1
    Then runner 1 is not left out

  Scenario: The leader counts the requests in flight of all gateways and the running items
    Given a relayed fleet with a table and a runner of 8 slots
    And a job of 3 items is accepted
    When a gateway reports 5 online requests at the runner
    Then the leader tells that gateway that the service is busy with 5 of 8 slots
    And another storage node says that it does not lead

  Scenario: The cost of a placement does not grow with the number of runners
    Given a leader of 3000 runners with 1 slots each
    When a request is placed
    Then at most 64 runners were compared
