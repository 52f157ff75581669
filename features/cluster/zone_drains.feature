Feature: An operator drains zones; the order survives every loss and no late message reverts it

  Scenario: An order is acknowledged once a quorum has it, and every node applies it
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-1 at controller 2
    Then the order is acknowledged
    And no node sends to zone-1 within 0.2 seconds
    When an operator ends the drain of zone-1 at controller 3
    Then the order is acknowledged
    And every node sends to zone-1 within 0.2 seconds

  Scenario: An order on an unknown zone is refused
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-9 at controller 1
    Then the order is refused as not found

  Scenario: A repeated order is acknowledged again, at any controller
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-1 at controller 1
    And an operator drains zone-1 at controller 2
    Then the order is acknowledged
    And zone-1 had 1 order

  Scenario Outline: An acknowledged order survives <loss>
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-1 at controller 2
    Then the order is acknowledged
    When <loss>
    Then every controller has zone-1 draining within 5 seconds
    And no node sends to zone-1 within 5 seconds

    Examples:
      | loss                                                       |
      | all controllers lose power and start again                 |
      | the leading controller loses its disk and starts again     |
      | the leading controller loses its disk and the others power |
      | every node loses power and starts again                    |

  Scenario: An order that is delayed between controllers does not revert a newer one
    Given a relayed fleet of 2 zones with runners
    When an order to drain zone-1 is delayed on its way to the leader
    And an operator drains zone-1 at the leader
    And an operator ends the drain of zone-1 at the leader
    And the delayed order arrives
    Then the leader answers that it was not taken
    And every node sends to zone-1 within 1 seconds

  Scenario: A gateway that was partitioned applies the order as soon as it is back
    Given a relayed fleet of 2 zones with runners
    When gateway 1 is cut off from all controllers
    And an operator drains zone-1 at controller 2
    Then the order is acknowledged
    And gateway 1 still sends to zone-1
    When gateway 1 is back
    Then no node sends to zone-1 within 2.5 seconds

  Scenario: A partitioned gateway keeps applying the order
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-1 at controller 2
    And no node sends to zone-1 within 1 seconds
    And gateway 1 is cut off from all controllers
    And 10 seconds of the fleet pass
    Then gateway 1 sends nothing to zone-1

  Scenario: An order whose leader crashes between commit and reply can be sent again
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-1 at another controller and the leader dies before it answers
    And the operator sends the order again until it is acknowledged
    Then no node sends to zone-1 within 5 seconds
    And zone-1 had 1 order

  Scenario: All zones are drained at once, and requests are refused at once
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-0 at controller 1
    And an operator drains zone-1 at controller 2
    Then no node sends to zone-0 within 1 seconds
    And no node sends to zone-1 within 1 seconds

  Scenario: After concurrent orders on one zone all nodes agree
    Given a relayed fleet of 2 zones with runners
    When operators begin and end the drain of zone-1 at once, 20 times
    Then every node agrees with the leader on zone-1 within 2 seconds

  Scenario: A table and an order that race are both in force
    Given a relayed fleet of 2 zones with runners
    When an operator sends table 7 to controller 1 while another drains zone-1 at controller 2
    Then every gateway has table 7 within 1 second
    And no node sends to zone-1 within 1 seconds

  Scenario: Items go to no runner of a drained zone
    Given a relayed fleet of 2 zones with runners
    And an operator sent table 7 to controller 1
    When an operator drains zone-1 at controller 2
    And no node sends to zone-1 within 1 seconds
    And a gateway hands in a job of 6 items
    Then 6 items run, none of them in zone-1

  Scenario Outline: A late first report of a crashed incarnation displaces the live one only briefly, seed <seed>
    Given a relayed fleet of 2 zones with runners
    When reports of two incarnations at one address arrive in random order at random controllers, seed <seed>
    Then every node sends to the live one alone within 2.5 seconds of its heartbeats

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A live runner gets work again although the controllers lost the record they had pushed
    Given a relayed fleet of 2 zones with runners
    When a late report of a crashed incarnation takes a live runner's address at every node
    And all controllers lose power before they have stored that, and start again
    Then every node sends to the live one within 2.5 seconds of its heartbeats

  Scenario: An order that waited at a frozen controller does not revert a newer one
    # Guards against: a zone that stays drained for good. An order goes to a frozen controller, then to
    # another one, which acknowledges it and later the end of the drain. When the first controller
    # resumes, it reads the newest revision, that of the end, and proposes the old order on top of it.
    # The revision only covers decisions before the read, not before the operator sent the order; the
    # closed connection reveals that the operator has given up.
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-0 at controller 2, which is frozen, and hangs up after 1 second
    And an operator drains zone-0 at controller 1
    And an operator ends the drain of zone-0 at controller 1
    And controller 2 resumes
    Then every node sends to zone-0 within 3 seconds
    And zone-0 had 2 order

  Scenario: An order that a frozen controller gets just before it resumes is accepted
    Given a relayed fleet of 2 zones with runners
    When an operator drains zone-0 at controller 2, which is frozen for half a second
    Then the order is acknowledged
    And zone-0 had 1 order

  Scenario Outline: A controller notices that an operator has closed the connection: <interface>
    Given a controller's <interface> interface whose orders on zones are watched
    When an operator sends an order on a zone there
    Then the order is awaited
    When the operator closes the connection
    Then the order is not awaited any more

    Examples:
      | interface |
      | own       |
      | platform  |
