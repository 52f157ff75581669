Feature: Jobs at the limit end no process of small machines

  Scenario: Many jobs at the limit at once
    Given a platform of small machines with 2 runners
    When 20 jobs at the limit come to the gateway at once
    And ordinary requests are answered beside it
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory

  Scenario: Jobs at the limit in calm
    Given a platform of small machines with 2 runners
    When 3 jobs at the limit are accepted, one after the other
    Then an ordinary request is answered afterwards
    And every process lives within its machine's memory
