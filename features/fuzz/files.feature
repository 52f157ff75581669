Feature: Whatever bytes stand in a file that an operator names
  Reading ends with a value or with a typed error that names the file, and takes bounded memory.

  Scenario Outline: Arbitrary, altered and nearly sound files
    When <count> fuzzed contents stand in for a <kind> file
    Then each fuzzed file was read or refused by name
    And reading a fuzzed file took at most <bytes> bytes at once

    Examples:
      | kind         | count | bytes    |
      | trace        | 150   | 8000000  |
      | history      | 150   | 8000000  |
      | outcomes     | 150   | 8000000  |
      | settings     | 150   | 8000000  |
      | fault plan   | 150   | 8000000  |
      | tenant keys  | 150   | 8000000  |
      | job          | 150   | 8000000  |
      | resources    | 120   | 8000000  |

  Scenario Outline: Container files made to take memory
    When a <kind> file is made of <bomb>
    Then reading the made file is refused by name
    And reading a fuzzed file took at most 8000000 bytes at once

    Examples:
      | kind    | bomb                                       |
      | trace   | a foreign schema with eight million nulls  |
      | history | a foreign schema with eight million nulls  |
      | trace   | a compressed text of 50 million characters |
      | history | a compressed text of 50 million characters |
      | trace   | a block that announces 2 to the power 60   |
      | history | a block that announces 2 to the power 60   |
      | trace   | a schema nested 100000 deep                |
      | history | a schema nested 100000 deep                |

  Scenario: A key of thousands of parts is refused before it takes memory
    When a job file is made of a dotted key of 2000 parts
    Then reading the made file is refused by name
    And reading a fuzzed file took at most 2000000 bytes at once
