Feature: Clients that make the least progress for what they hold give way first

  Scenario: A stalled body gives way to a new one
    Given a client budget of 1000 bytes
    And client "stalled" holds 600 bytes of a body and has sent nothing for 2 seconds
    When client "new" asks for 500 bytes of a large body
    Then it gets them
    And "stalled" has given way

  Scenario: A body that makes progress does not give way
    Given a client budget of 1000 bytes
    And client "busy" holds 600 bytes of a body and sends 400 bytes a second
    When client "new" asks for 500 bytes of a large body
    Then it does not get them
    And nobody has given way

  Scenario: A body that has just begun does not give way
    Given a client budget of 1000 bytes
    And client "young" holds 600 bytes of a body and has sent nothing for 0.5 seconds
    When client "new" asks for 500 bytes of a large body
    Then it does not get them

  Scenario: A slow trickle counts as little progress
    Given a client budget of 1000 bytes
    And client "trickle" holds 600 bytes of a body and sends 20 bytes a second
    When client "new" asks for 500 bytes of a large body
    Then it gets them
    And "trickle" has given way

  Scenario: Those that hold the most for their progress go first, and no more than needed
    Given a client budget of 1000 bytes
    And client "slow" holds 300 bytes of a body and sends 60 bytes a second
    And client "slower" holds 300 bytes of a body and sends 20 bytes a second
    When client "new" asks for 400 bytes of a large body
    Then it gets them
    And "slower" has given way
    And "slow" has not given way

  Scenario: Nobody gives way in vain
    Given a client budget of 1000 bytes
    And client "stalled" holds 100 bytes of a body and has sent nothing for 2 seconds
    And client "busy" holds 600 bytes of a body and sends 400 bytes a second
    When client "new" asks for 700 bytes of a large body
    Then it does not get them
    And nobody has given way

  Scenario: A client whose request is being answered does not give way
    Given a client budget of 1000 bytes
    And client "served" holds 600 bytes of a request that is being answered
    When client "new" asks for 500 bytes of a large body
    Then it does not get them

  Scenario: A new connection takes the place of one that has been idle
    Given a client budget of 3 connections
    When clients "a", "b" and "c" have been connected for 2 seconds
    Then one more connection is admitted
    And "a" has given way

  Scenario: Connections that have just been opened keep their place
    Given a client budget of 3 connections
    When clients "a", "b" and "c" have been connected for 0.5 seconds
    Then no more connection is admitted
    And nobody has given way

  Scenario: The log of refusals is bounded
    Given a client budget of 1000 bytes
    When 100 clients are refused within a second
    Then 5 lines were logged, and 100 refusals counted
