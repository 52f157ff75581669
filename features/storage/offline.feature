Feature: Reading a data folder offline
  rainsail storage inspect and verify read a stopped replica's folder and change nothing.

  Scenario: A valid folder
    Given a real data folder with an identity, 30 entries and a snapshot of entry 10
    When the data folder is verified offline
    Then the offline command ends with code 0 and prints "sound: 1 groups"
    When the data folder is inspected offline as JSON
    Then the offline report names the fleet, entries 11 to 30 and the snapshot of entry 10
    And the offline commands changed no file

  Scenario: The table names each file
    Given a real data folder with an identity, 30 entries and a snapshot of entry 10
    When the data folder is inspected offline
    Then the offline command ends with code 0 and prints "0000000001.log"

  Scenario: A torn tail is reported and left unchanged
    Given a real data folder with an identity, 30 entries and a snapshot of entry 10
    When 7 bytes of a torn record are added to the real segment
    And the data folder is inspected offline as JSON
    Then the offline report shows 7 torn bytes
    And the offline commands changed no file

  Scenario Outline: Damage is reported with file and offset
    Given a real data folder with an identity, 30 entries and a snapshot of entry 10
    When one bit flips in the real <file>
    And the data folder is verified offline
    Then the offline command ends with code 1 and prints "<place>"
    And the offline commands changed no file

    Examples:
      | file     | place                                              |
      | segment  | group-3/0000000001.log at offset                   |
      | snapshot | group-3/00000000000000000010.snapshot at offset    |
      | identity | identity at offset                                 |

  Scenario Outline: Bad input
    Given a real data folder
    When "<call>" is run offline
    Then the offline command ends with code 2

    Examples:
      | call                     |
      | verify missing           |
      | verify .                 |
      | inspect . --output=xml   |
