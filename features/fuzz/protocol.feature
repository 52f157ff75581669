Feature: Fuzzing of the protocol between processes
  A frame decodes to a message or a codec error. A connection accepts it, or closes with a fault.

  Scenario: Every message of the protocol survives its encoding
    When 6 fuzzed records of each type of the protocol are encoded and decoded
    Then each fuzzed record is equal after decoding

  Scenario: Altered and cut messages
    When 12 fuzzed alterations of a record of each type are decoded
    Then each fuzzed decoding gave a record or a codec error

  Scenario: Arbitrary bytes as envelopes
    When 600 fuzzed strings of bytes are decoded as envelopes
    Then each fuzzed decoding gave a record or a codec error

  Scenario: Lengths and counts larger than the data allocate little memory
    When fuzzed lengths of 2 to the power 20, 40 and 62 are put into each type
    Then each fuzzed decoding gave a record or a codec error
    And decoding used at most 4000000 bytes at once

  Scenario: Arbitrary frames before and after the hello
    When 300 fuzzed streams of frames reach a connection in arbitrary pieces
    Then the fuzzed connections stayed open or were closed with a typed fault
    And no fuzzed connection buffered more than a frame and a piece

  Scenario: Requests with arbitrary values reach a replica
    When 600 fuzzed requests of every kind reach a replica that leads
    Then each fuzzed request was answered by a reply or a typed fault
    And the replica that was fuzzed still answers
