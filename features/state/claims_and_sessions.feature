Feature: Request claims and sessions in the replicated state

  Scenario: A request is granted to one claimer only
    Given a claim store of the replicated state
    When gateways alpha and beta claim the same request of the replicated state
    Then the replicated state granted it to alpha and answered beta that its outcome is unknown
    And the replicated state grants it to alpha again when the claim is sent again
    When alpha finishes the claimed request of the replicated state with "pong"
    Then the replicated state answers beta that it completed with "pong"
    And the answer is the same after the claims of the replicated state are restored
    And the replicated state grants it to nobody any more

  Scenario: A request that was not run may be claimed again
    Given a claim store of the replicated state
    When gateways alpha and beta claim the same request of the replicated state
    And beta reports to the replicated state that the request was not run
    Then the replicated state answers the claim with fault "fenced"
    When alpha reports to the replicated state that the request was not run
    Then the replicated state grants it to beta

  Scenario: The same request id with other content is a conflict
    Given a claim store of the replicated state
    When gateways alpha and beta claim the same request of the replicated state
    And gateway beta claims it from the replicated state with other content
    Then the replicated state answers the claim with fault "conflict"

  Scenario: Claims are evicted only beyond their window
    Given a claim store of the replicated state that keeps 2 finished claims
    When 3 requests are claimed and finished in the replicated state
    Then the replicated state still knows the last 2 requests and has evicted the first

  Scenario: Two gateways that attach a session at one fence
    Given a session declared to the replicated state
    When gateways alpha and beta attach the session of the replicated state at one fence
    Then alpha got the session of the replicated state and beta a conflict
    And the session's resource in the replicated state names its gateway and runner
    And alpha's attachment sent again to the replicated state gets the same answer

  Scenario: A turn is appended once, in order, and only under the current fence
    Given a session declared to the replicated state
    When gateways alpha and beta attach the session of the replicated state at one fence
    And alpha appends two turns to the session of the replicated state, each twice
    Then the session of the replicated state has 2 turns
    When beta takes the session of the replicated state over
    And alpha appends a third turn to the session of the replicated state
    Then the replicated state answers the turn with fault "fenced"
    And the session of the replicated state has 2 turns

  Scenario: A session that was deleted and declared again starts above its old fences
    Given a session declared to the replicated state
    When gateways alpha and beta attach the session of the replicated state at one fence
    And the session of the replicated state is deleted and declared again
    And beta attaches the new session of the replicated state
    And alpha appends a third turn to the session of the replicated state
    Then the replicated state answers the turn with fault "fenced"
