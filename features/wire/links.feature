Feature: One connection between two processes: frames, buffers, keepalive, backoff

  Scenario: Frames arrive whole wherever the byte stream is split
    When 150 random sequences of frames reach a framed link, split at random places
    Then each sequence of frames arrived whole and in order

  Scenario: Garbage on a framed link never raises and never buffers more than a frame
    When 300 random byte strings reach a framed link with frames of 64 bytes at most
    Then the framed link held 68 bytes at most or was closed

  Scenario: Once a slow peer has filled its bounded buffer, sends are refused as not run
    Given a framed link with a buffer of 1000 bytes whose transport asks for a pause
    When frames of 100 bytes are sent until one is refused
    Then 10 frames wait and the refusal is "overloaded" and not run
    When the transport of the framed link resumes
    Then all 10 frames have been written in order

  Scenario: A frame over the size limit is refused before it is sent
    Given a framed link with a buffer of 1000 bytes whose transport asks for a pause
    When a frame over the size limit is sent
    Then the refusal is "too_large" and nothing waits

  Scenario: Sends to a peer that reads nothing are refused on real sockets too
    Given a raw listener that greets as "replica-1" and then reads nothing
    And a wire node "gateway-1" whose buffer holds 200000 bytes
    When "gateway-1" sends probes of 10000 bytes over the wire to "replica-1" until one is refused
    Then the wire send is refused as "overloaded" and not run

  Scenario: An idle link sends keepalives, and the link to a silent peer is closed
    Given an open peer link with a keepalive of 5 s and a limit of 15 s
    When 6 s pass on the peer link
    Then the peer link has sent 1 keepalive
    When 12 s pass on the peer link
    Then the peer link is closed because the peer was silent

  Scenario: Keepalives of the peer keep an idle link open
    Given an open peer link with a keepalive of 5 s and a limit of 15 s
    When 60 s pass on the peer link while the peer sends a keepalive every 4 s
    Then the peer link is open

  Scenario: Attempts to connect back off with jitter up to a limit
    When a peer can't be dialled 12 times in a row
    Then each wait before the next dial lies between half and all of a doubling limit
    And two dialling processes wait for different times
    When the peer is dialled successfully
    Then the next dial is allowed at once

  Scenario: The queue of a connection being opened is bounded
    Given a peer that is being dialled with a queue of 1000 bytes
    When envelopes of 100 bytes are queued for the dialled peer until one is refused
    Then 10 envelopes wait for the dialled peer

  Scenario: An oversized reply is answered with a fault
    Given a wire node "replica-1" that listens and answers with more than a frame holds
    And a wire node "gateway-1" that knows "replica-1"
    When "gateway-1" calls "replica-1" over the wire with "ping"
    Then the wire call ends with a fault "too_large" whose outcome is "unknown"

  Scenario: Large frames arrive whole and in order beside small ones, split at random places
    When 40 random sequences of small and large frames reach a framed link, split at random places
    Then each sequence of frames arrived whole and in order
