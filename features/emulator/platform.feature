Feature: The emulated platform: streams, events, orders, sessions, weights and machines
  Times are virtual seconds.

  Scenario: A stream resumes from a given chunk, before and after its end
    Given an emulated engine
    When attempt "a" asks the engine for 40 tokens about "reefer alarm"
    And the emulator runs until "a" has sent 20 chunks
    And the reader of attempt "a" is lost
    And the emulator runs for 0.2 s
    And a reader resumes attempt "a" from chunk 20
    And the emulator runs for 5 s
    Then the two readers of attempt "a" got the whole answer without overlap
    And a second resume of attempt "a" from chunk 30 gets the last 10 chunks and the end

  Scenario: Chunks are dropped when their retention after the end expires
    Given an emulated engine with retain_chunks_s 5
    When attempt "a" asks the engine for 10 tokens about "x"
    And the emulator runs until "a" has ended
    And the emulator runs for 6 s
    And attempt "b" asks the engine for 10 tokens about "y"
    And the emulator runs until "b" has ended
    Then a resume of attempt "a" from chunk 0 is unknown

  Scenario: A cancelled attempt stops and frees its batch slot
    Given an emulated engine with max_running 1
    When attempt "a" asks the engine for 500 tokens about "x"
    And attempt "b" asks the engine for 5 tokens about "y"
    And the emulator runs until "a" has sent 3 chunks
    And attempt "a" is cancelled at the engine
    Then attempt "a" ended with reason "cancelled"
    When the emulator runs until "b" has ended
    Then attempt "b" got its whole answer in numbered chunks
    And cancelling attempt "a" again finds nothing

  Scenario: A stream without a reader is cancelled after a grace period
    Given an emulated engine with detached_grace_s 3
    When attempt "a" asks the engine for 5000 tokens about "x"
    And the emulator runs until "a" has sent 3 chunks
    And the reader of attempt "a" is lost
    And the emulator runs for 2.9 s
    Then the load of the engine is 1 running and 0 waiting
    When the emulator runs for 0.2 s
    Then the load of the engine is 0 running and 0 waiting
    And the engine's execution of attempt "a" is recorded as cancelled

  Scenario: Load reports state their real age
    Given an emulated engine with load_report_period_s 0.5 and load_report_lag_s 2
    When a subscriber follows the engine
    And the emulator runs for 10 s
    And attempt "a" asks the engine for 500 tokens about "x"
    And the emulator runs for 1.9 s
    Then the subscriber's last load report shows 0 running, 2 s old
    When the emulator runs for 0.7 s
    Then the subscriber's last load report shows 1 running, 2 s old

  Scenario: Cache events are delayed, and lost ones leave gaps in the sequence numbers
    Given an emulated engine with cache_event_delay_s 1 and cache_event_loss 0.5
    When a subscriber follows the engine
    And 40 attempts with different prompts run one after the other
    Then the subscriber's cache events have gaps in their sequence
    And no cache event arrived earlier than 1 s after its blocks were cached

  Scenario: A full listing repairs a view that missed events
    Given an emulated engine with cache_event_loss 1 and cache_listing_period_s 20
    When a subscriber follows the engine
    And 3 attempts with different prompts run one after the other
    Then the subscriber's view of the cache lacks blocks
    When the emulator runs for 21 s
    Then the subscriber's view of the cache is that of the engine

  Scenario: Orders under a lower fence are refused without effect
    Given an emulated engine without a version
    When the engine takes the order load_version "v1" of 1000000000 bytes under fence 5
    And the engine takes the order load_version "v0" of 1000000000 bytes under fence 4
    Then the last order was refused as fenced
    When the emulator runs for 2 s
    Then the engine has loaded "v1" under fence 5

  Scenario: The highest fence survives a crash
    Given an emulated engine
    When the engine takes the order set_role "mixed" of 0 bytes under fence 9
    And the engine crashes and restarts
    And the engine takes the order set_role "mixed" of 0 bytes under fence 8
    Then the last order was refused as fenced

  Scenario: An engine refuses work that its role excludes
    Given an emulated engine
    When the engine takes the order set_role "online_only" of 0 bytes under fence 1
    And low attempt "b" asks the engine for 5 tokens about "x"
    Then attempt "b" was refused because of "online only"
    When the engine takes the order set_role "batch_only" of 0 bytes under fence 2
    And attempt "h" asks the engine for 5 tokens about "x"
    Then attempt "h" was refused because of "batch only"
    When the engine takes the order set_role "janitor" of 0 bytes under fence 3
    Then the last order was refused as invalid

  Scenario: A new version is loaded while the old one serves, and swapped in when nothing runs
    Given an emulated engine
    When the engine takes the order load_version "reports-2" of 1000000000 bytes under fence 1
    And the emulator runs for 0.9 s
    And attempt "a" asks the engine for 40 tokens about "x"
    And the emulator runs for 0.3 s
    And attempt "b" asks the engine for 40 tokens about "y"
    Then attempt "b" was refused because of "changing its version"
    When the emulator runs until "a" has ended
    Then attempt "a" got its whole answer in numbered chunks
    And the engine has loaded "reports-2" under fence 1
    When an attempt "c" of version "reports-1" asks for 4 tokens about "x"
    Then attempt "c" was refused because of "not loaded"

  Scenario: Adapters are loaded and unloaded by orders
    Given an emulated engine
    When an attempt "a" of adapter "linen" asks for 5 tokens about "x"
    Then attempt "a" was refused because of "adapter"
    When the engine takes the order load_adapter "linen" of 100000000 bytes under fence 1
    And the emulator runs for 1 s
    And an attempt "b" of adapter "linen" asks for 5 tokens about "x"
    And the emulator runs until "b" has ended
    Then attempt "b" got its whole answer in numbered chunks
    When the engine takes the order unload_adapter "linen" of 0 bytes under fence 2
    And an attempt "c" of adapter "linen" asks for 5 tokens about "x"
    Then attempt "c" was refused because of "adapter"

  Scenario: Loads share the weight store's rate
    Given a weight store of 1000 bytes a second
    When a load of 1000 bytes begins
    And the emulator's store runs for 0.5 s
    And a load of 1000 bytes begins
    Then the loads end after 1.5 s and 2 s

  Scenario: A cancelled load leaves its share of the rate to the others
    Given a weight store of 1000 bytes a second
    When a load of 1000 bytes begins
    And a load of 1000 bytes begins
    And the emulator's store runs for 0.5 s
    And the last load is cancelled
    Then the loads end after 1.25 s

  Scenario: A session moves with its KV cache, and its old engine refuses it
    Given two emulated engines
    When attempt "t1" of session "s" under fence 1 runs on engine 1 with a prompt of 4000 characters
    And session "s" is exported from engine 1 under fence 1
    And attempt "t2" of session "s" under fence 1 is sent to engine 1
    Then attempt "t2" was refused because of "has left"
    When the export is imported into engine 2 under fence 2
    And attempt "t3" of session "s" under fence 2 runs on engine 2 with the same prompt
    Then attempt "t3" got its first token in under a third of the time of "t1"
    When attempt "t4" of session "s" under fence 1 is sent to engine 2
    Then attempt "t4" was refused because of "under fence 2"
    And an import of the export under fence 1 into engine 2 is refused as fenced
    And an export of session "s" from engine 2 under fence 1 is refused as fenced

  Scenario: An export cancels the session's running attempts
    Given two emulated engines
    When attempt "t1" of session "s" under fence 1 is sent to engine 1
    And the emulator runs until "t1" has sent 2 chunks
    And session "s" is exported from engine 1 under fence 1
    Then attempt "t1" ended with reason "cancelled"

  Scenario: The machine list shows changes after its lag
    Given an emulated machine list with a lag of 10 s
    When machine "m-1" is put on the list and then marked as leaving 5 s later
    Then the list shows "m-1" as nothing at 9 s, live at 11 s and leaving at 16 s
