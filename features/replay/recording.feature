Feature: A gateway records what callers ask of it
  Bounded, never in a request's way, and without prompts unless told to keep them.

  Scenario: Two gateways' recordings become one trace
    Given two gateways that record their callers
    When a caller sends "q1" to the first and, after its answer was lost, again to the second
    And a caller submits a job of 700 items to the second and cancels it 2 seconds later
    And an operator changes a tenant's weight, which both gateways see
    And the recordings are merged into a trace
    Then the trace holds "q1" once, 700 items cancelled after 2 seconds, one change
    And no prompt's text and no key's hash stands in the recordings
    And the merged trace can be replayed

  Scenario: The command merges recordings and refuses one that is none
    Given two gateways that record their callers
    When a caller sends "q1" to the first and, after its answer was lost, again to the second
    And "trace record" merges the recordings on the command line
    Then it prints 1 online request of "guayaquil" and its file can be shown
    And with a file that is no recording it ends with code 2 naming the file

  Scenario: Requests that share their beginning share a template
    Given two gateways that record their callers
    When a caller sends two prompts that begin alike and one that doesn't to the first
    And the recordings are merged into a trace
    Then the first two have one template and the third another

  Scenario: Tenants choose their ids apart from one another
    Given two gateways that record their callers
    When tenants exporter and broker both send a request "1/a" to the first
    And the recordings are merged into a trace
    Then the trace holds the requests "exporter:1:a" and "broker:1:a"

  Scenario: Prompts are kept when the settings say so
    Given two gateways that record their callers and keep prompts
    When a caller sends "q1" to the first and, after its answer was lost, again to the second
    And the recordings are merged into a trace
    Then the trace holds the prompt of "q1" as it was sent

  Scenario: A recording is bounded
    Given a gateway that records at most 20000 bytes and holds at most 50 arrivals
    When 500 requests arrive within each of 10 seconds
    Then the recording's file is at most 40000 bytes and the other arrivals are counted as dropped
    And all 5000 requests went on to the core

  Scenario: Kept prompts that wait are bounded
    Given two gateways that record their callers and keep prompts
    When 60 prompts of 400000 characters arrive at once
    Then at most 17000000 characters of them wait and the other arrivals are counted as dropped

  Scenario: A recording that is damaged is refused
    Given two gateways that record their callers
    When a caller sends "q1" to the first and, after its answer was lost, again to the second
    And the last 5 bytes of the first recording are lost
    Then merging the recordings fails naming the file and an offset
