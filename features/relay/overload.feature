Feature: A request that would wait too long for a slot is refused at once, with a retry time

  Background:
    Given a service of 100 slots whose answers take 0.8 seconds, with a target of 0.3 seconds

  Scenario: Nothing is refused while a slot is free, nor without a recent report of the leader
    When the leader says that 99 requests are under way
    Then the next request is taken
    When 1 second passes without the leader's word, after it said 300
    Then the next request is taken

  Scenario: A request that may still be in time is taken, one that would wait too long is not
    When the leader says that 130 requests are under way
    Then the next request is taken
    When the leader says that 140 requests are under way
    Then the next request is refused, to come back between 0.25 and 1.7 seconds later

  Scenario: A gateway that has just started refuses too, though it has seen no answer yet
    Given a service of 100 slots of which no answer was seen, with a target of 0.3 seconds
    When the leader says that 130 requests are under way
    Then the next request is taken
    When the leader says that 170 requests are under way
    Then the next request is refused, to come back between 0.25 and 1.7 seconds later

  Scenario: Requests that this gateway has sent since the leader's report are counted as well
    When the leader says that 100 requests are under way, 2 of them from here
    Then the next request is refused once 50 are under way from here

  Scenario: A request that the leader is asked to place may wait for a quarter of its target
    Then the leader is asked for a place where at most 0.094 wait for each slot

  Scenario: A retried request is not refused again
    When the leader says that 130 requests are under way
    Then a request with 3.5 of its 5.1 seconds left is taken

  Scenario: Retry times cover the length of the last overloads
    When overloads of 1.2 seconds have been seen
    And the leader says that 140 requests are under way
    Then clients that are refused come back spread over 1.2 to 1.7 seconds later

  Scenario: The relay refuses before anything is sent, with a retry time
    Given a relay with 3 runners and a "safe" route
    When the leader tells the relay of 40 requests on 12 slots of 0.8 seconds
    And a client sends a request to the relay
    Then the client is refused with 503 and a time to come back, at once
    And 0 attempts were made
