Feature: A body that ends the runners that run it stops reaching runners, at every gateway

  Runners of one service ended one after the other, each about 0.1 s after a request had been sent to
  it. Thirteen had ended when it was noticed. The requests had ids of their own, came to five gateways,
  and each was sent once, as its route allows:

      attempt_broke  request de1693db550011a0  runner i-60063aacf6  connection closed  last_event None
      request_failed sends 1  answers "200 chunked"  runners i-60063aacf6  took_ms 84

  All carried one body. A gateway judged each request alone, its end was told to nobody, and the next
  request with the same body began anew at zero. So a body is known by a digest now, and what ended a
  runner is counted over the whole fleet.

  Scenario: A stream that comes again and again, at one gateway after the other
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    And others send 20 requests a second for 30 s
    When the fatal body comes each 0.7 s for 25 s, at one gateway after the other
    Then at most 3 of its runs began later than 3 s after it had ended a third runner
    And the others were served but for streams that a runner's end broke

  Scenario: An item of a job
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    When a job with the fatal body among its 6 items is handed in
    And 60 s go by
    Then at most 3 of its runs began later than 3 s after it had ended a third runner
    And the other 5 items are done

  Scenario: A job that begins with a held item, under a new leader of the ledger
    Given the fatal body is held as an item too
    When a job of 6 items that begins with the fatal body is handed in
    And the ledger's leader loses power
    And 8 s go by
    Then the other 5 items are done
    And no runner has run it

  Scenario: A held item is given up once its route allows that
    Given the fatal body is held as an item too
    When a job of 6 items that begins with the fatal body is handed in
    And 120 s go by
    Then all 6 items are listed, and the fatal one alone as given up
    And no runner has run it

  Scenario: Several copies at one moment
    Given a fleet of 3 gateways whose runners end when they run the fatal body
    When 3 copies of the fatal body come each 0.7 s for 10 s, one at each gateway
    Then at most 3 of its runs began later than 3 s after it had ended a third runner

  Scenario: A client of a held request is answered at once, and is not told to come back
    Given the fatal body is held
    When a client sends the fatal body
    Then it is answered 502 within 50 ms, without a time to come back
    And no runner has run it

  Scenario: A request that waits for its next sending is not sent once it is held
    Given the fatal body is held, but one gateway has not heard of it
    When a client sends the fatal body there, and the gateway hears of it before the runner is found
    Then it is answered 502 within 50 ms, without a time to come back
    And no runner has run it

  Scenario Outline: A body that ends the runners of one service of a split, and is answered by the other, seed <seed>
    # An answer says of which body it is. It did not say of which service, so that the runners of the
    # other one cleared the body with each answer, and it went on: 13 of its runs ended a runner in 10 s
    # (seed 4), each answered by the other service in between. The digest holds the service now.
    Given a fleet of 3 gateways before a split of two services, of which one bears the fatal body, seed <seed>
    And others send 20 requests a second for 30 s
    When the fatal body comes each 0.7 s for 25 s, at one gateway after the other
    Then at most 3 of its runs began later than 3 s after it had ended a third runner
    And the other service has answered it after that

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 4    |
      | 5    |

  Scenario: An item of a job on a split
    Given a fleet of 3 gateways before a split of two services, of which one bears the fatal body, seed 4
    When a job with the fatal body among its 6 items is handed in
    And 60 s go by
    Then at most 3 runners have ended
    And all 6 items are done
