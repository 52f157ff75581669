Feature: A session stays on one runner, moves with its cache and survives a crash

  Scenario: Turns carry the transcript and stay on their runner
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    When 3 turns of "container-7" are run through gateway 0
    Then every turn of "container-7" has the answer that its transcript gives
    And the record of "container-7" holds 3 turns under fence 1
    And the place of "container-7" is explained to its tenant by 1 decision with 2 candidates

  Scenario: Turns sent at once are run one after the other
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    When 3 turns of "container-7" are sent to gateway 0 at once
    And 8 seconds of gateway time pass
    Then every turn of "container-7" has the answer that its transcript gives
    And no two runs of "container-7" overlapped

  Scenario: An idle session moves off a draining runner with its cache
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    When 2 turns of "container-7" are run through gateway 0
    And the runner of session "container-7" is drained by its resource
    And 1 seconds of gateway time pass
    Then session "container-7" is on another runner under fence 2
    And the cache of "container-7" was imported there
    When 1 turn of "container-7" is run through gateway 0
    Then every turn of "container-7" has the answer that its transcript gives

  Scenario: A turn in progress finishes on a draining runner before the session moves
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    When 2 turns of "container-7" are sent to gateway 0 at once
    And 0.4 seconds of gateway time pass
    And the runner of session "container-7" is drained by its resource
    And 8 seconds of gateway time pass
    Then every turn of "container-7" has the answer that its transcript gives
    And session "container-7" is on another runner under fence 2
    And no two runs of "container-7" overlapped

  Scenario: A session is rebuilt from its transcript when its runner dies in a turn
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    When 1 turn of "container-7" is run through gateway 0
    And 1 turns of "container-7" are sent to gateway 0 at once
    And 0.4 seconds of gateway time pass
    And the runner of session "container-7" of the gateway fleet crashes
    And 8 seconds of gateway time pass
    Then every turn of "container-7" has the answer that its transcript gives
    And session "container-7" is on another runner under fence 2
    And no two runs of "container-7" overlapped

  Scenario: The runner that a session moves to starts to drain during the move
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    And exports of the gateway fleet take 0.5 seconds
    When 1 turn of "container-7" is run through gateway 0
    And the runner of session "container-7" is drained by its resource
    And 0.2 seconds of gateway time pass
    And the runner that "container-7" is being moved to is drained by its resource
    And 3 seconds of gateway time pass
    And 1 turn of "container-7" is run through gateway 0
    Then every turn of "container-7" has the answer that its transcript gives
    And session "container-7" continued from the runner that it was moved to first
    And no two runs of "container-7" overlapped

  Scenario: A session is taken over by another gateway and back by the first
    Given a gateway fleet of 3 runners and 2 gateways
    And a gateway session "container-7"
    When 1 turn of "container-7" is run through gateway 0
    And 1 turn of "container-7" is run through gateway 1
    And 1 turn of "container-7" is run through gateway 0
    Then every turn of "container-7" has the answer that its transcript gives
    And all runs of "container-7" were on one runner
    And the record of "container-7" holds 3 turns under fence 3

  Scenario: A gateway that no longer holds a session does not move it when its runner drains
    Given a gateway fleet of 3 runners and 2 gateways
    And a gateway session "container-7"
    When 1 turn of "container-7" is run through gateway 0
    And 1 turn of "container-7" is run through gateway 1
    And 1 turns of "container-7" are sent to gateway 1 at once
    And 0.5 seconds of gateway time pass
    And the runner of session "container-7" is drained by its resource
    And 8 seconds of gateway time pass
    Then every turn of "container-7" has the answer that its transcript gives
    And the record of "container-7" holds 3 turns under fence 3

  Scenario: Two gateways compete for a session and no turn is lost or duplicated in its record
    Given a gateway fleet of 3 runners and 2 gateways
    And a gateway session "container-7"
    When 1 turn of "container-7" is sent to each gateway at once
    And 10 seconds of gateway time pass
    Then each turn of "container-7" was answered and recorded, or reported as unknown or not run

  Scenario: A turn whose recording is not acknowledged ends as unknown
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    And the answers to recorded turns are lost
    When 1 turns of "container-7" are sent to gateway 0 at once
    And 10 seconds of gateway time pass
    Then gateway caller 0 got the outcome "unknown"

  Scenario: A retried turn whose recording was not acknowledged is answered from the record
    Guards against running the turn again on a transcript that already contains it, which would give
    a different answer.
    Given a gateway fleet of 3 runners and 2 gateways
    And a gateway session "container-7"
    And the answers to recorded turns are lost
    When 1 turns of "container-7" are sent to gateway 0 at once
    And 10 seconds of gateway time pass
    And answers to recorded turns arrive again
    And turn 0 of "container-7" is sent again to gateway 1
    And 3 seconds of gateway time pass
    Then the turn sent again has the answer that the record of "container-7" holds once

  Scenario: Another tenant's session is refused as not run
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7" of another tenant
    When 1 turns of "container-7" are sent to gateway 0 at once
    Then gateway caller 0 got the outcome "not_run"

  Scenario: The runner that a session moves from dies during the move
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    And exports of the gateway fleet take 0.5 seconds
    When 1 turn of "container-7" is run through gateway 0
    And the runner of session "container-7" is drained by its resource
    And 0.2 seconds of gateway time pass
    And the runner that "container-7" is being moved from crashes
    And 3 seconds of gateway time pass
    And 1 turn of "container-7" is run through gateway 0
    Then every turn of "container-7" has the answer that its transcript gives
    And session "container-7" is on another runner under fence 2
    And no two runs of "container-7" overlapped

  Scenario: A session whose export is lost is moved without its cache, from its transcript
    Given a gateway fleet of 3 runners and 1 gateway
    And a gateway session "container-7"
    And every "export_kv" on the gateway's links is lost
    When 1 turn of "container-7" is run through gateway 0
    And the runner of session "container-7" is drained by its resource
    And 4 seconds of gateway time pass
    And 1 turn of "container-7" is run through gateway 0
    Then every turn of "container-7" has the answer that its transcript gives
    And session "container-7" is on another runner under fence 2
    And no cache of a session was imported

  Scenario: A session whose gateway and runner have both failed continues at another gateway
    Given a gateway fleet of 3 runners and 2 gateways
    And a gateway session "container-7"
    When 1 turn of "container-7" is run through gateway 0
    And gateway 0 of the gateway fleet is killed
    And the runner of session "container-7" of the gateway fleet crashes
    And 1 turn of "container-7" is run through gateway 1
    Then every turn of "container-7" has the answer that its transcript gives
    And session "container-7" is on another runner under fence 3
