Feature: The batch ledger
  Accepted jobs complete exactly once. A cancel by an operator takes precedence over later results.

  Scenario: A job sent twice is one job, and other content under its key is a conflict
    Given a ledger with accepted job nightly of 3 items
    When the ledger gets the same job under another id
    Then the ledger answers with job nightly
    When the ledger gets job key nightly with other content
    Then the ledger answers with fault "conflict"

  Scenario: A job is accepted only when it has all of its items
    Given a ledger with job nightly opened for 5 items
    When the ledger gets items 0 to 2 of job nightly
    And job nightly of the ledger is sealed
    Then the ledger answers with fault "conflict"
    And the ledger leases no item
    When the ledger gets items 1 to 4 of job nightly
    And the ledger gets items 1 to 4 of job nightly
    And job nightly of the ledger is sealed
    Then the ledger answers with job nightly
    And job nightly of the ledger has 5 pending items

  Scenario: A range that was sent with other content is refused
    Given a ledger with job nightly opened for 5 items
    When the ledger gets items 0 to 2 of job nightly
    And the ledger gets other content as items 2 to 4 of job nightly
    Then the ledger answers with fault "conflict"
    And job nightly of the ledger has 3 pending items

  Scenario: A lease request sent again gets the same lease
    Given a ledger with accepted job nightly of 9 items
    When holder alpha leases 4 items of the ledger
    And the last lease request of the ledger is sent again
    Then both answers of the ledger name the same items under the same fences
    When the ledger is restored from its snapshot
    And the last lease request of the ledger is sent again
    Then both answers of the ledger name the same items under the same fences

  Scenario: The first committed result wins
    Given a ledger with accepted job nightly of 1 items
    When holder alpha leases 1 items of the ledger
    And the ledger revokes the leases of alpha
    And holder beta leases 1 items of the ledger
    And holder alpha commits its result "late" to the ledger
    Then the ledger's verdict is "fenced"
    When holder beta commits its result "right" to the ledger
    Then the ledger's verdict is "committed"
    When holder beta commits its result "again" to the ledger
    Then the ledger's verdict is "already_committed"
    And the ledger's result of item 0 is "right"
    And job nightly of the ledger is completed

  Scenario: A cancel rejects later results and keeps earlier ones
    Given a ledger with accepted job nightly of 3 items
    When holder alpha leases 2 items of the ledger
    And holder alpha commits its result "early" to the ledger
    And job nightly of the ledger is cancelled
    And holder alpha commits its second result "late" to the ledger
    Then the ledger's verdict is "cancelled"
    And the ledger's result of item 0 is "early"
    And the ledger leases no item
    And the ledger has no holder
    And the ledger shows 2 cancelled items of job nightly
    When the ledger is restored from its snapshot
    Then the ledger shows 2 cancelled items of job nightly

  Scenario: A poison item is set aside and the job continues
    Given a ledger with accepted job nightly of 2 items and 3 attempts
    When holder alpha fails item 0 of the ledger 3 times with "engine crashed"
    Then item 0 of the ledger is set aside with "engine crashed"
    And job nightly of the ledger is accepted
    When holder alpha finishes every item of the ledger
    Then job nightly of the ledger is completed

  Scenario: Preemption and revocation use up no attempt and keep the generated text
    Given a ledger with accepted job nightly of 1 items and 1 attempts
    When holder alpha preempts item 0 of the ledger 5 times, having generated "The ship"
    And the ledger is restored from its snapshot
    Then the next lease of the ledger has the generated prefix "The ship"

  Scenario: Tenants share by tokens, and the earliest deadline goes first within a tenant
    Given a ledger with jobs of two tenants, one of them with two jobs of 20 items
    When holder alpha leases 20 items of the ledger
    Then each tenant of the ledger has 10 of them
    And the ledger leased only from the job with the earliest deadline

  Scenario: Tenants share in proportion to their weights
    Given a ledger in which tenant north weighs 3 and tenant south 1
    When holder alpha leases 40 items of the ledger
    Then the ledger leased 30 items of north and 10 of south

  Scenario: An idle tenant builds up no credit
    Given a ledger in which only north had work for 20 items
    When tenant south submits 20 items to the ledger
    And holder alpha leases 10 items of the ledger
    Then each tenant of the ledger has 5 of them

  Scenario: A lease respects its token limit but contains at least one item
    Given a ledger with accepted job nightly of 9 items
    When holder alpha asks the ledger for items of at most 45 tokens
    Then the ledger leased 2 items
    When holder alpha asks the ledger for items of at most 1 tokens
    Then the ledger leased 1 items

  Scenario: Results are read page by page and deleted with their job
    Given a ledger with accepted job nightly of 9 items
    When holder alpha finishes every item of the ledger
    Then the ledger's results from item 3, two at a time, are items 3 and 4
    When job nightly of the ledger is deleted
    Then the ledger has no results of job nightly
    And the ledger takes a new job under the key nightly

  Scenario: An accepted, unfinished job is not deleted
    Given a ledger with accepted job nightly of 9 items
    When job nightly of the ledger is deleted
    Then the ledger answers with fault "conflict"

  Scenario: An invalid job is refused
    Given an empty ledger
    Then the ledger refuses jobs with an invalid deadline, key, item count or attempts

  Scenario: In any order of commands each accepted item finishes once
    Given an empty ledger
    Then under random commands, re-sent ones and restores the ledger agrees with a reference model
