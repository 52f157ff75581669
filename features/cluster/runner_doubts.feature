Feature: Nodes learn of a crash that another node has found

  # Guards against: a stream of two versions, sent by a node without a connection to the runner at its crash.

  Scenario: A gateway sends nothing bound to a runner that another gateway has found crashed
    Given a relayed fleet with a runner that every gateway knows
    When gateway 2 reports that it found the runner crashed, with no request there
    Then gateway 1 takes another process at the runner's address for possible
    When the runner has reported its new start
    Then gateway 1 knows the process at the runner's address

  Scenario: A report of a crash that comes after the runner's new start changes nothing
    Given a relayed fleet with a runner that every gateway knows
    When the runner has reported its new start
    And gateway 2 reports that it found the runner crashed 5 seconds ago
    Then gateway 1 knows the process at the runner's address
