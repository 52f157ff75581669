Feature: Batch items run on idle capacity and complete exactly once

  Scenario: every item of a job completes with its complete answer
    Given a batch fleet of 2 runners and 1 gateway
    When a batch job of 40 items is submitted
    Then the batch job completes within 60 s
    And every batch result is the whole answer of its item
    And the ledger took one result per batch item

  Scenario: no item is lost when an engine crashes with items in flight
    Given a batch fleet of 2 runners and 1 gateway
    When a batch job of 40 items is submitted
    And the batch fleet runs for 1.3 s
    And the engine of runner-0 dies with batch items in flight
    Then the batch job completes within 60 s
    And every batch result is the whole answer of its item
    And the ledger took one result per batch item

  Scenario: a cancelled job is stopped at the engines
    Given a batch fleet of 2 runners and 1 gateway
    When a batch job of 40 items with answers of 2000 tokens is submitted
    And the batch fleet runs for 1.3 s
    And the batch job is cancelled
    Then no engine runs batch items after 1.2 s
    And the batch job stays cancelled and takes no more results

  Scenario: a poison item is set aside with its reason and the job continues
    Given a batch fleet of 2 runners and 1 gateway
    When a batch job of 12 items, one of them poison, is submitted
    Then the batch job completes within 60 s
    And one batch item was set aside after 5 attempts because the engine died

  Scenario: batch items are preempted within 50 ms of a burst while many items wait
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 200 items with answers of 400 tokens is submitted
    And the batch fleet runs for 1.3 s
    And 8 online requests arrive at runner-0 at once
    Then runner-0 runs no batch items 50 ms later
    And the batch job completes within 400 s
    And every batch result is the whole answer of its item

  Scenario: a preempted item resumes after the text generated so far
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 8 items with answers of 400 tokens is submitted
    And the batch fleet runs for 2 s
    And 8 online requests arrive at runner-0 at once
    And the batch job completes
    Then the engines generated few batch tokens twice
    And every batch result is the whole answer of its item

  Scenario: a preempted item that can't resume at its gateway is returned with its text
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 8 items with answers of 400 tokens is submitted
    And the batch fleet runs for 2 s
    And online requests keep runner-0 full for 5 s
    Then the ledger keeps the text of returned batch items

  Scenario: a suspended gateway's items are run by another, and it stops its own when it resumes
    Given a batch fleet of 2 runners and 2 gateways
    When a batch job of 40 items with answers of 2000 tokens is submitted
    And the batch fleet runs for 1.3 s
    And gateway-0 is paused for 20 s
    Then gateway-0 runs no batch item under an expired lease 0.1 s after it resumes
    And the batch job completes within 400 s
    And every batch result is the whole answer of its item
    And the ledger took one result per batch item

  Scenario: a lease command whose answer is lost is sent again under the same request id
    Given a batch fleet of 1 runners and 1 gateway
    And the control plane loses the answer of the first batch lease command
    When a batch job of 8 items is submitted
    Then the batch job completes within 60 s
    And both batch lease commands had one request id

  Scenario: a commit whose answer is lost is sent again and counted once
    Given a batch fleet of 1 runners and 1 gateway
    And the control plane loses the answer of the first batch commit
    When a batch job of 8 items is submitted
    Then the batch job completes within 60 s
    And the ledger took one result per batch item

  Scenario: a planned stop returns all held items
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 40 items with answers of 400 tokens is submitted
    And the batch fleet runs for 1.3 s
    And the batch dispatcher of gateway-0 stops
    Then the ledger shows no leased batch items
    And no engine runs batch items after 0.1 s

  Scenario: a draining runner gets no new items and stops the running ones
    Given a batch fleet of 2 runners and 1 gateway
    When a batch job of 200 items with answers of 400 tokens is submitted
    And the batch fleet runs for 1.3 s
    And the engine of runner-1 says that it is draining
    Then runner-1 runs no batch items 1500 ms later
    And the batch job completes within 400 s

  Scenario: a tenant with a large backlog does not delay another tenant
    Given a batch fleet of 1 runners and 1 gateway
    When tenant broker has a batch job of 400 items
    And tenant exporter submits a batch job of 20 items
    Then the job of tenant exporter completes while that of tenant broker continues

  Scenario: of a tenant's jobs the one with the earliest deadline completes first
    Given a batch fleet of 1 runners and 1 gateway
    When tenant broker submits a batch job of 60 items due in 8 hours
    And tenant broker submits a batch job of 60 items due in 1 hour
    Then the batch job due in 1 hour completes first

  Scenario: a tenant that submits jobs one by one gets its share beside one with a large backlog
    Given a batch fleet of 1 runners and 1 gateway
    When tenant broker has a batch job of 1500 items
    And tenant exporter sends batch jobs of 20 items one after the other for 100 s
    Then tenant exporter has had 45 % to 55 % of the batch items

  Scenario: no item is lost when a dispatcher crashes with items in flight
    Given a batch fleet of 2 runners and 2 gateways
    When a batch job of 40 items with answers of 400 tokens is submitted
    And the batch fleet runs for 1.3 s
    And the process of gateway-0 dies with batch items in flight
    And the runners of gateway-0 pass to gateway-1
    Then the batch job completes within 400 s
    And every batch result is the whole answer of its item
    And the ledger took one result per batch item

  Scenario: a cancelled job is stopped at the engines although cancels are lost
    Given a batch fleet of 2 runners and 1 gateway
    And the network loses the first 2 cancels of every batch item
    When a batch job of 40 items with answers of 2000 tokens is submitted
    And the batch fleet runs for 1.3 s
    And the batch job is cancelled
    Then no engine runs batch items after 2.5 s
    And the batch job stays cancelled and takes no more results

  Scenario: a late result is dropped if its item has been leased to another gateway
    Given a batch fleet of 2 runners and 2 gateways
    When a batch job of 40 items is submitted
    And the batch fleet runs until gateway-0 has batch results to commit
    And gateway-0 is paused for 20 s
    Then the batch job completes within 60 s
    And gateway-0 has had late batch results dropped
    And every batch result is the whole answer of its item
    And the ledger took one result per batch item

  Scenario: results are complete although chunks are lost, reordered or duplicated
    Given a batch fleet of 2 runners and 1 gateway
    And the network loses, repeats and disorders chunks of batch items
    When a batch job of 40 items is submitted
    Then the batch job completes within 60 s
    And no attempt of a batch item counts as failed
    And every batch result is the whole answer of its item
    And the ledger took one result per batch item

  Scenario: batch items are preempted within 50 ms of a long online prompt, and none starts during its prefill
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 200 items with answers of 400 tokens is submitted
    And the batch fleet runs for 1.3 s
    And an online prompt of 4000 tokens arrives at runner-0
    Then runner-0 runs no batch items 50 ms later
    And no batch item starts on runner-0 before the first token of that prompt
    And the batch job completes within 400 s
    And every batch result is the whole answer of its item

  Scenario: a long online prompt does not affect batch items at other runners
    Given a batch fleet of 2 runners and 1 gateway
    When a batch job of 200 items with answers of 400 tokens is submitted
    And the batch fleet runs for 1.3 s
    And an online prompt of 4000 tokens arrives at runner-0
    Then runner-1 still runs 8 batch items 50 ms later
