Feature: An answer counts although a decision on the same request is under way

  Scenario: An answer that arrives while the hold is being decided clears the request
    # Guards against: a sound request that stays in the list, as its answer came between the proposal
    # of a hold and the decision.
    Given a leading controller whose decisions take a while
    When 3 runners crash under one request, and its hold is proposed
    And the request is answered before the hold is decided
    And all proposals are decided
    Then the list is empty

  Scenario: An answer that arrives while no controller leads clears the request under the next leader
    Given a leading controller whose decisions take a while
    When 3 runners crash under one request, and its hold is proposed
    And all proposals are decided
    And the controller leads no more, and the request is answered
    And the controller leads again
    And all proposals are decided
    Then the list is empty

  Scenario: An item whose part is cleared is held before the part is forgotten
    # Guards against: a fatal item that runs once more between the decisions on its part and on itself.
    Given a leading controller whose decisions take a while
    When a part is held for crashes of three items, and one of them crashes two more runners
    And the part is answered
    Then the item's hold is proposed before the part's release

  Scenario: The group refuses the release of a request that was answered
    # Guards against: a leader that proposes the same release again and again within one call.
    Given a leading controller whose decisions take a while
    When 3 runners crash under one request, and its hold is proposed
    And all proposals are decided
    And the group refuses proposals, and the request is answered
    Then each look proposes its release once, and nothing counts as refuted

  Scenario: Several trials crash before the hold that follows the first of them
    # Guards against: a request on trial that is neither tried nor held, so that it waits for ever.
    Given a leading controller whose decisions take a while
    When 3 runners crash under one request, and its hold is proposed
    And all proposals are decided
    And all its trials crash, of which all but the first are reported after the next hold
    Then the request is held, as it may not be tried any more
