Feature: A failed run of the rig prints evidence
  # Guards against a CI run that fails once and leaves neither its history nor its logs.

  Scenario: A job without results is printed with its events, its reads and the log lines that name it
    Given a history of the rig in which job "job-a1b2" is accepted and read as completed
    And a read of its results that brought no line at "gateway-c1"
    And a log of "replica-1" with a line on "job-a1b2" and one on "job-ffff1"
    When the rig's violation "12 of 12 items of job-a1b2 have no result" is described
    Then the description holds "JobAccepted", "JobRead", "FaultsEnded", "lines=0", "gateway-c1" and "replica-1: took job-a1b2"
    And the description does not hold "job-ffff1"

  Scenario: A clean run prints nothing
    Given a history of the rig in which job "job-a1b2" is accepted and read as completed
    When no violation of the rig is described
    Then the description is empty
