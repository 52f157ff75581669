Feature: Arbitrary bytes on the disk
  Whatever a file holds, opening ends with a storage or a typed fault, never with another error.

  Scenario Outline: Arbitrary and altered files
    When 200 files of <content> stand in for a <file>
    Then opening the storage each time gave a storage or a typed fault

    Examples:
      | file     | content             |
      | segment  | arbitrary bytes     |
      | segment  | arbitrary records   |
      | segment  | altered valid bytes |
      | snapshot | arbitrary bytes     |
      | snapshot | arbitrary records   |
      | snapshot | altered valid bytes |
      | identity | arbitrary bytes     |
      | identity | arbitrary records   |

  Scenario: Records come back as they were framed
    When 200 random lists of records are framed and scanned
    Then every scan gave the same records without damage
    And every scan of a cut-off copy gave a prefix of them
