Feature: The real data folder
  Files are synced in a worker thread and never outside of their folder.

  Scenario: A group's storage and identity on real files survive a restart
    Given a real data folder
    When the real folder's storage gets an identity, 50 entries, a snapshot of entry 20 and a restart
    Then the real folder's storage holds entries 21 to 50 and the snapshot
    And the real folder's identity is the first one

  Scenario: Syncs run outside the reactor's thread
    Given a real data folder
    When a file of the real folder and its folder are synced
    Then each sync of the real folder ran in another thread

  Scenario: A failed sync of a real file is a fault that names the file
    Given a real data folder
    When the real folder's next sync fails with an input/output error
    Then the real folder's answer is a fault that names the file and the error

  Scenario Outline: Paths that lead out of the data folder are refused
    Given a real data folder
    Then the real folder refuses the path "<path>"

    Examples:
      | path           |
      | ../other       |
      | a/../../other  |
      | /etc/hostname  |

  Scenario: A symbolic link that leads out of the data folder is refused
    Given a real data folder
    When the real folder has a link "away" to the folder above
    Then the real folder refuses the path "away/file"
