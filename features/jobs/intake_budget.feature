Feature: The memory of jobs that are taken in, and of accepted ones, is bounded

  Scenario: A gateway takes in one job in any case, and more while their copies fit
    Given a budget of 1000000 bytes for jobs
    When a gateway takes in a job of 400000 bytes
    Then the gateway has taken it in
    When a gateway takes in a job of 400000 bytes
    Then the gateway has no room for it
    When the gateway's first job is done
    And a gateway takes in a job of 400000 bytes
    Then the gateway has taken it in

  Scenario: The leader accepts one job in any case, and more while all of them fit
    Given a budget of 1000000 bytes for jobs
    When job "a" of 400000 bytes is proposed while accepted jobs hold 0 bytes
    Then it is not refused
    When job "b" of 100000 bytes is proposed while accepted jobs hold 0 bytes
    Then it is refused for now with certainty that it will not run
    When the proposal of job "a" has ended
    And job "b" of 20000 bytes is proposed while accepted jobs hold 400000 bytes
    Then it is not refused
    When the proposal of job "b" has ended
    And job "c" of 100000 bytes is proposed while accepted jobs hold 420000 bytes
    Then it is refused for now with certainty that it will not run

  Scenario: A job that is proposed already is not refused when it comes again
    Given a budget of 1000000 bytes for jobs
    When job "a" of 400000 bytes is proposed while accepted jobs hold 0 bytes
    And job "a" of 400000 bytes is proposed while accepted jobs hold 0 bytes
    Then it is not refused

  Scenario: The bodies of accepted jobs count until their items are finished
    Given a state of the ledger with a job of 3 items with bodies of 10 bytes
    Then the state holds 30 bytes of bodies, as does one restored from its snapshot
    When item 0 of the job is listed
    Then the state holds 20 bytes of bodies, as does one restored from its snapshot
    When the job is ended
    Then the state holds 0 bytes of bodies, as does one restored from its snapshot
    Given a state of the ledger with a job of 3 items with bodies of 10 bytes
    When the job is dropped
    Then the state holds 0 bytes of bodies, as does one restored from its snapshot
