Feature: Virtual links to emulated engines fail as networks do
  Times are virtual seconds.

  Background:
    Given an emulated engine behind a virtual link

  Scenario: An answer crosses the link completely and in order
    When the linked gateway generates 40 tokens
    Then the linked attempt ends "length" with its whole answer

  Scenario: A dead process refuses, a cut link times out, and neither ran anything
    Given the linked engine is dead
    When the linked gateway generates 40 tokens
    Then the linked attempt ends "refused" within 0.1 s
    Given the linked engine is restarted
    And the virtual link is cut
    When the linked gateway generates 40 tokens
    Then the linked attempt ends "refused" within 4 s
    And the linked engine ran nothing

  Scenario: A cut in mid-stream is LOST after the read timeout, and resumes after the heal
    When the linked gateway generates 400 tokens
    And 10 chunks have crossed the link
    And the virtual link is cut
    Then the linked attempt ends "lost" after 2.9 s and within 3.1 s
    When the virtual link is healed
    And the linked gateway resumes the attempt
    Then the linked attempt ends "length" with its whole answer

  Scenario: A crash resets the stream at once
    When the linked gateway generates 400 tokens
    And 10 chunks have crossed the link
    And the linked engine is crashed
    Then the linked attempt ends "lost" within 0.1 s

  Scenario: A request that the network loses is LOST, as its outcome is unknown
    Given the link loses each "generate" on its way
    When the linked gateway generates 40 tokens
    Then the linked attempt ends "lost" within 3.1 s
    And the linked engine ran nothing

  Scenario: An answer lost after the run is LOST, and the engine did run
    Given the link loses each end
    When the linked gateway generates 40 tokens
    Then the linked attempt ends "lost" within 10 s
    And the linked engine ran the attempt once

  Scenario: A lost cancel times out as unknown and the attempt goes on
    Given the link loses each "cancel" on its way
    When the linked gateway generates 400 tokens
    And the linked gateway cancels the attempt
    Then the linked cancel ended as "timeout" with outcome "unknown"
    And the linked attempt ends "length" with its whole answer

  Scenario: Chunks are dropped, duplicated and delayed by fault injection
    Given the link drops chunk 3, duplicates chunk 5 and delays chunk 7 by 1 s
    When the linked gateway generates 20 tokens
    Then the linked attempt's chunks lack 3, have 5 twice and 7 out of order

  Scenario: A paused attempt delivers nothing and loses nothing
    When the linked gateway generates 40 tokens
    And 3 chunks have crossed the link
    And the linked gateway pauses the attempt for 5 s
    Then the linked attempt still has 3 chunks
    When the linked gateway unpauses the attempt
    Then the linked attempt ends "length" with its whole answer

  Scenario: A frozen gateway receives everything late, in order
    When the linked gateway generates 40 tokens
    And 3 chunks have crossed the link
    And the linked gateway is frozen for 20 s
    Then the linked attempt still has 3 chunks
    When the linked gateway thaws
    Then the linked attempt ends "length" with its whole answer

  Scenario: A killed gateway's streams end at the engine after the grace period
    When the linked gateway generates 5000 tokens
    And 3 chunks have crossed the link
    And the linked gateway is killed
    Then the linked engine cancels the attempt within 11 s

  Scenario: A subscription is lost when the engine crashes and when the link is cut
    When the linked gateway subscribes
    And the virtual link is cut
    Then the linked subscription is lost within 7 s
    When the virtual link is healed
    And the linked gateway subscribes
    Then the linked subscription delivers reports
    When the linked engine is crashed
    Then the linked subscription is lost within 7 s

  Scenario: The same seed gives the same times
    Then two runs over a virtual link with the same seed are equal, and with another seed differ
