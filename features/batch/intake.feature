Feature: Jobs are accepted completely or not at all

  Scenario: a submission repeated with the same key refers to the same job
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 10 items is submitted
    And the same batch job is submitted again
    Then both batch submissions name the same job
    And the ledger has 1 batch job

  Scenario: the same key with other content is a conflict
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 10 items is submitted
    And a batch job with the same key and other items is submitted
    Then the second batch submission is refused as a conflict

  Scenario: a repeated submission continues an interrupted one
    Given a batch fleet of 1 runners and 1 gateway
    And the control plane loses the answers of all batch ranges after the first
    When a batch job of 3000 items is submitted
    Then the batch submission ends with a fault whose outcome is unknown
    When the control plane answers again and the same batch job is submitted again
    Then the batch submission is accepted with 3000 items

  Scenario: a large job is stored in ranges of bounded size, one at a time
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 5000 items is submitted
    Then no batch range has more than 1000 items or 262144 bytes
    And a small batch job submitted meanwhile is accepted within 0.1 s

  Scenario Outline: a job that cannot be run is refused
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job is submitted with <fault>
    Then the batch submission is refused as invalid

    Examples:
      | fault                  |
      | no items               |
      | an empty key           |
      | a past deadline        |
      | two equal custom ids   |
      | an item without tokens |

  Scenario: a tenant sees and cancels only its own jobs
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 10 items is submitted
    Then tenant exporter can neither read nor cancel that batch job
    And tenant broker lists that batch job

  Scenario: results are read in pages
    Given a batch fleet of 1 runners and 1 gateway
    When a batch job of 25 items is submitted
    And the batch job completes
    Then its batch results read in pages of 10 are all there in order

  Scenario: jobs are spread over the groups and stay where they are
    Given a batch fleet of 1 runners and 1 gateway with 3 ledger groups
    When 30 batch jobs of 2 items are submitted
    Then every group has some of the batch jobs
    And all batch jobs complete within 120 s
    And with a fourth group a batch job stays or moves to it
