Feature: A daemon process: conflicts that it refuses, and how it ends

  Scenario: A second process on the same data folder is refused
    Given a rig folder with the settings of a replica "solo"
    When the daemon of the rig folder is started and ready
    And a second daemon with the same settings and other ports is started
    Then the second daemon ends with code 1 naming "is in use by another process"
    When the daemon of the rig folder is asked to stop
    Then it ends with code 0

  Scenario Outline: A port in use is named: <address>
    Given a rig folder with the settings of a replica "solo"
    When the daemon of the rig folder is started and ready
    And a second daemon with the same port for "<address>" and another data folder is started
    Then the second daemon ends with code 1 naming "Address already in use"

    Examples:
      | address      |
      | status       |
      | operator_api |
      | internal     |

  Scenario: A killed process leaves its data folder to the next, which writes its log ring on request
    Given a rig folder with the settings of a replica "solo"
    When the daemon of the rig folder is started and ready
    And the daemon of the rig folder is killed and started again
    Then the daemon of the rig folder is ready
    When the daemon of the rig folder gets SIGUSR1
    Then the data folder holds a dump of the log ring for "SIGUSR1"
