Feature: Fuzzing of files that an operator names
  Reading ends with a value or with a typed error that names the file, and uses bounded memory.

  Scenario Outline: Arbitrary, altered and nearly valid files
    When <count> fuzzed contents replace a <kind> file
    Then each fuzzed file was read, or refused with its name
    And reading a fuzzed file used at most <bytes> bytes at once

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

  Scenario Outline: Container files crafted to exhaust memory
    When a <kind> file is crafted from <bomb>
    Then reading the crafted file is refused, naming the file
    And reading a fuzzed file used at most 8000000 bytes at once

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

  Scenario: A key of thousands of parts is refused before it uses memory
    When a job file is crafted from a dotted key of 2000 parts
    Then reading the crafted file is refused, naming the file
    And reading a fuzzed file used at most 2000000 bytes at once
