Feature: The identity of a replica
  An identity is created with the data folder, so that a replica with an empty disk is not mistaken
  for the old replica.

  Scenario: An identity is created once and found again
    Given an empty simulated data folder
    When the identity of replica "a1" of fleet "north" is loaded
    Then the identity is new and has 32 hexadecimal digits
    When the power of the data folder's machine is cut
    And the identity of replica "a1" of fleet "north" is loaded
    Then the identity is the first one and is not new

  Scenario: A replica that lost its disk gets another identity
    Given an empty simulated data folder
    When the identity of replica "a1" of fleet "north" is loaded
    And the data folder's disk is lost
    And the identity of replica "a1" of fleet "north" is loaded
    Then the identity is new and differs from the first one

  Scenario Outline: After a power cut while the identity is created the folder is usable
    Given an empty simulated data folder
    When the power is cut <milliseconds> milliseconds into creating the identity of "a1" of "north"
    And the identity of replica "a1" of fleet "north" is loaded
    Then the identity has 32 hexadecimal digits

    Examples:
      | milliseconds |
      | 0            |
      | 1            |
      | 3            |

  Scenario: A data folder whose records another version has written is refused
    Given an empty simulated data folder
    When the identity of replica "a1" of fleet "north" is loaded
    And a program with other record schemas loads it
    Then the identity is refused because of "written by another version"

  Scenario Outline: A data folder that isn't this replica's is refused
    Given an empty simulated data folder
    When the identity of replica "a1" of fleet "north" is loaded
    And the identity of replica "<replica>" of fleet "<fleet>" is loaded
    Then the identity is refused because of "<reason>"

    Examples:
      | replica | fleet | reason                    |
      | a1      | south | belongs to fleet 'north'  |
      | b1      | north | belongs to replica 'a1'   |

  Scenario: A data folder of a newer format is refused
    Given a simulated data folder of format 2
    When the identity of replica "a1" of fleet "north" is loaded
    Then the identity is refused because of "format 2"

  Scenario: A folder that holds groups but no identity is refused
    Given a simulated data folder with a group and no identity
    When the identity of replica "a1" of fleet "north" is loaded
    Then the identity is refused because of "groups but no identity"

  Scenario: A damaged identity is refused with its offset
    Given an empty simulated data folder
    When the identity of replica "a1" of fleet "north" is loaded
    And one bit of the identity file flips
    And the identity of replica "a1" of fleet "north" is loaded
    Then the identity is refused because of "identity at offset"
