Feature: Arbitrary bytes on the disk
  With any file content, opening returns a storage or a typed fault and raises no other error.

  Scenario Outline: Arbitrary and altered files
    When 200 files of <content> replace a <file>
    Then opening the storage returned a storage or a typed fault each time

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

  Scenario: Framed records are scanned unchanged
    When 200 random lists of records are framed and scanned
    Then every scan gave the same records without damage
    And every scan of a truncated copy gave a prefix of them
