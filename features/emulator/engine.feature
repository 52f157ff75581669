Feature: The emulated engine batches like the platform's engines
  Times are virtual seconds. An answer's text is known beforehand, so its completeness can be checked.

  Scenario: An answer is complete and in order, and ends at its token limit
    Given an emulated engine
    When attempt "a" asks the engine for 40 tokens about "reefer alarm"
    And the emulator runs until "a" has ended
    Then attempt "a" got its whole answer in numbered chunks
    And attempt "a" ended with reason "length" and 40 generated tokens

  Scenario: An answer ends on its own before a high token limit
    Given an emulated engine
    When attempt "a" asks the engine for 5000 tokens about "reefer alarm"
    And the emulator runs until "a" has ended
    Then attempt "a" got its whole answer in numbered chunks
    And attempt "a" ended with reason "stop"

  Scenario: An answer continues exactly after a forced prefix
    Given an emulated engine
    When attempt "a" asks the engine for 40 tokens about "reefer alarm" after its first 15 tokens
    And the emulator runs until "a" has ended
    Then attempt "a" got its whole answer in numbered chunks
    And the first chunk of attempt "a" has offset 15
    And attempt "a" ended with reason "length" and 25 generated tokens

  Scenario: Tokens are joined into chunks, except the first token
    Given an emulated engine with tokens_per_chunk 8
    When attempt "a" asks the engine for 20 tokens about "reefer alarm"
    And the emulator runs until "a" has ended
    Then attempt "a" got its whole answer in numbered chunks
    And the chunks of attempt "a" have 1, 8, 8, 3 tokens

  Scenario: An answer that is not streamed comes as one chunk after its first token
    Given an emulated engine
    When attempt "a" asks the engine for 20 tokens about "reefer alarm" unstreamed
    And the emulator runs until "a" has ended
    Then the chunks of attempt "a" have 1, 19 tokens

  Scenario: A high-priority sequence preempts a low-priority one, which later completes
    Given an emulated engine with max_running 2
    When low attempt "b1" asks the engine for 60 tokens about "nightly report one"
    And low attempt "b2" asks the engine for 60 tokens about "nightly report two"
    And the emulator runs until "b2" has sent 10 chunks
    And attempt "h" asks the engine for 5 tokens about "housekeeper"
    Then the first token of attempt "h" comes within 0.1 s
    And the engine has preempted 1 sequence
    And attempt "b2" waits while "h" runs
    When the emulator runs until "b2" has ended
    Then attempt "b2" got its whole answer in numbered chunks
    And attempt "b1" got its whole answer in numbered chunks
    And the engine ran each request once

  Scenario: High-priority sequences are admitted before low-priority ones that arrived earlier
    Given an emulated engine with max_running 1
    When attempt "h1" asks the engine for 10 tokens about "first"
    And low attempt "b" asks the engine for 10 tokens about "batch"
    And attempt "h2" asks the engine for 10 tokens about "second"
    And the emulator runs until "b" has ended
    Then attempt "h2" ended before attempt "b"

  Scenario: Low-priority sequences never preempt others
    Given an emulated engine with max_running 1
    When low attempt "b1" asks the engine for 10 tokens about "first"
    And low attempt "b2" asks the engine for 10 tokens about "second"
    And the emulator runs until "b2" has ended
    Then the engine has preempted 0 sequences

  Scenario: The KV cache bounds the batch, and a request that exceeds it is refused
    Given an emulated engine with kv_tokens_total 100
    When low attempt "b1" asks the engine for 60 tokens about "x"
    And low attempt "b2" asks the engine for 60 tokens about "y"
    Then the load of the engine is 1 running and 1 waiting
    When attempt "h" asks the engine for 200 tokens about "z"
    Then attempt "h" was refused because of "do not fit"
    And the engine has preempted 0 sequences

  Scenario: A full queue refuses with a retry delay
    Given an emulated engine with max_running 1 and max_waiting 1
    When attempt "a1" asks the engine for 10 tokens about "x"
    And attempt "a2" asks the engine for 10 tokens about "y"
    And attempt "a3" asks the engine for 10 tokens about "z"
    Then attempt "a3" was refused because of "queue is full"
    And the refusal of attempt "a3" suggests a retry delay
    And the engine ran no attempt "a3"

  Scenario: A cached prefix shortens prefill
    Given an emulated engine
    When attempt "a1" asks the engine for 5 tokens about a prompt of 4000 characters
    And the emulator runs until "a1" has ended
    And attempt "a2" asks the engine for 5 tokens about the same prompt
    And the emulator runs until "a2" has ended
    Then attempt "a2" got its first token in under a third of the time of "a1"

  Scenario: The prefix cache is bounded and evicts the least recently used blocks
    Given an emulated engine with cache_blocks 20
    When attempt "a1" asks the engine for 5 tokens about a prompt of 1024 characters
    And the emulator runs until "a1" has ended
    And attempt "a2" asks the engine for 5 tokens about another prompt of 1024 characters
    And the emulator runs until "a2" has ended
    Then the engine's cache holds 20 blocks, all 16 of attempt "a2" among them

  Scenario: A deadline that expires in the queue is a refusal, while running a cancellation
    Given an emulated engine with max_running 1
    When attempt "a1" asks the engine for 500 tokens about "x" within 2 s
    And attempt "a2" asks the engine for 10 tokens about "y" within 1 s
    And the emulator runs until "a1" has ended
    Then attempt "a2" was refused because of "deadline"
    And the engine ran no attempt "a2"
    And attempt "a1" ended with reason "cancelled"

  Scenario: A draining engine finishes running attempts and refuses new ones
    Given an emulated engine
    When attempt "a1" asks the engine for 20 tokens about "x"
    And the engine is told to drain
    And attempt "a2" asks the engine for 20 tokens about "y"
    Then attempt "a2" was refused because of "draining"
    When the emulator runs until "a1" has ended
    Then attempt "a1" got its whole answer in numbered chunks

  Scenario: A crash sends no end to any stream, and a restart keeps no attempts
    Given an emulated engine
    When attempt "a1" asks the engine for 50 tokens about "x"
    And the emulator runs until "a1" has sent 10 chunks
    And the engine crashes and restarts
    And the emulator runs for 20 s
    Then attempt "a1" has not ended after 10 chunks
    And the engine's execution of attempt "a1" is recorded as lost
    And the engine has a new incarnation and no version
    And a resume of attempt "a1" from chunk 10 is unknown

  Scenario: Under random traffic the batch stays within its limits and answers are complete
    Then random traffic on an emulated engine stays within limits and gets complete answers
