Feature: Encoding of messages

  Scenario: Every registered record survives encoding and decoding
    When 10 random values of each registered wire record are encoded and decoded
    Then every wire value is equal after decoding
    And wire records of the protocol, the state and the engines were among them

  Scenario: Arbitrary bytes never crash the decoder of envelopes
    When 1000 random byte strings are decoded as wire envelopes
    Then each gave a wire envelope or a codec error

  Scenario: Damaged encodings never crash the decoder of any record
    When 8 damaged encodings of each registered wire record are decoded
    Then each gave a wire record or a codec error

  Scenario Outline: A false length is a codec error and allocates little memory
    When a wire record whose <part> claims <length> is decoded
    Then it is a codec error within 1 MiB of memory

    Examples:
      | part   | length |
      | array  | 2**40  |
      | array  | -2**40 |
      | string | 2**40  |
      | string | -5     |
      | map    | 2**40  |

  Scenario: Every item of an array or map is encoded in at least one byte
    Then each item of each wire array and map takes at least one byte

  Scenario: Bytes after a record are a codec error
    When a wire record is decoded with a byte after its end
    Then it is a codec error

  Scenario: Two records of the same name can't both be registered
    Then registering a second wire record named "LinkHello" is refused

  Scenario: The protocol fingerprint does not depend on the modules that are loaded
    Then two processes with different modules loaded have the same wire fingerprint
