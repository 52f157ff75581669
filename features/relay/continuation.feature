Feature: One decision says whether a request is retried, and what its client gets otherwise

  Unless a row says otherwise, a request has a deadline in 2 seconds and no attempt so far, and its
  client has received nothing. Its route allows 2 attempts.

  Scenario Outline: An attempt is classified by the head of its answer
    When an answer has the status <status>, <belongs>, <proof> and <content>
    Then the head is judged as "<kind>"

    Examples:
      | status | belongs             | proof                | content      | kind    |
      | 200    | is this request's   | no proof of not run  | events       | events  |
      | 200    | is this request's   | no proof of not run  | other bytes  | body    |
      | 500    | is this request's   | no proof of not run  | events       | body    |
      | 503    | is this request's   | no proof of not run  | other bytes  | body    |
      | 503    | is this request's   | a proof of not run   | other bytes  | not_run |
      | 200    | is another request's | a proof of not run  | events       | foreign |

  Scenario Outline: A whole answer of status <status> is "<client>" for a client's request and "<item>" for an item
    When a whole answer has the status <status>
    Then it ends the attempt of a client's request as "<client>"
    And it ends the run of an item as "<item>"

    Examples:
      | status | client            | item       |
      | 200    | answered          | broken     |
      | 404    | answered          | broken     |
      | 422    | answered          | impossible |
      | 429    | failed_as_not_run | broken     |
      | 500    | failed            | failed     |
      | 502    | failed            | broken     |
      | 503    | failed_as_not_run | broken     |

  Scenario Outline: On a <route> route a client that has <has> may get its request <repeated>
    Given a decision on a "<route>" route
    And the client has "<has>"
    Then a request that may have run may be repeated: <repeated>

    Examples:
      | route     | has             | repeated |
      | safe      | nothing         | yes      |
      | safe      | numbered_events | no       |
      | safe      | other_bytes     | no       |
      | unsafe    | nothing         | no       |
      | stream    | nothing         | no       |
      | stream    | numbered_events | no       |
      | resumable | nothing         | yes      |
      | resumable | numbered_events | yes      |
      | resumable | other_bytes     | no       |

  Scenario Outline: A whole answer that ends as "<end>" on a <route> route is forwarded: <passed>
    Given a decision on a "<route>" route
    Then a whole answer that ends as "<end>" is forwarded: <passed>

    Examples:
      | route     | end               | passed |
      | unsafe    | answered          | yes    |
      | safe      | answered          | yes    |
      | unsafe    | failed            | yes    |
      | safe      | failed            | no     |
      | resumable | failed            | no     |
      | unsafe    | failed_as_not_run | no     |
      | safe      | failed_as_not_run | no     |

  Scenario Outline: An attempt is allowed: <route> route, <attempts> attempts, may have run: <ran>, <left> s left
    Given a decision on a "<route>" route
    And <attempts> attempts were made, and the request may have run: <ran>
    And <left> seconds are left
    When the next attempt is decided on
    Then the request is sent again, <how>

    Examples:
      | route     | attempts | ran | left | how            |
      | unsafe    | 0        | no  | 2.0  | from the start |
      | unsafe    | 1        | no  | 2.0  | from the start |
      | unsafe    | 0        | no  | 0.03 | from the start |
      | safe      | 1        | yes | 2.0  | from the start |
      | resumable | 1        | yes | 2.0  | from the start |

  Scenario: A resumable stream is continued after the last event that the client has
    Given a decision on a "resumable" route
    And 1 attempt was made, and the request may have run: yes
    And the client has "numbered_events" up to event 7
    When the next attempt is decided on
    Then the request is sent again, after event 7

  Scenario: A client that resumes a stream has nothing of this answer, but some events
    Given a decision on a "stream" route
    And the client has "nothing" up to event 3
    When the next attempt is decided on
    Then the request is sent again, after event 3

  Scenario Outline: A request that may not be sent ends with <status>: <cause>
    Given a decision on an "unsafe" route
    And <attempts> attempts were made, and the request may have run: <ran>
    And <cause>
    When the next attempt is decided on
    Then the client is refused with <status>, <retry>, as "<outcome>"

    Examples:
      | attempts | ran | cause                      | status | retry              | outcome |
      | 2        | no  | a runner was found         | 503    | retry after 0.25 s | refused |
      | 0        | no  | 0.029 seconds are left     | 503    | retry after 0.8 s  | refused |
      | 1        | yes | a runner was found         | 502    | no retry           | failed  |
      | 0        | no  | the request is quarantined | 502    | no retry           | held    |
      | 1        | yes | the request is quarantined | 502    | no retry           | held    |
      | 0        | no  | the route is gone          | 404    | no retry           | failed  |
      | 1        | yes | the route is gone          | 502    | no retry           | failed  |

  Scenario Outline: An answer that has begun is cut off as "<outcome>": <cause>
    Given a decision on a "resumable" route
    And <attempts> attempts were made, and the request may have run: yes
    And the client has "<has>" up to event 7
    And <cause>
    When the next attempt is decided on
    Then the answer is cut off as "<outcome>"

    Examples:
      | attempts | has             | cause                      | outcome |
      | 2        | numbered_events | a runner was found         | broken  |
      | 1        | other_bytes     | a runner was found         | broken  |
      | 1        | numbered_events | 0.029 seconds are left     | broken  |
      | 1        | numbered_events | the route is gone          | broken  |
      | 1        | numbered_events | the request is quarantined | held    |

  Scenario Outline: After an attempt that ends as "<end>" on a <route> route the request <follows>
    Given a decision on a "<route>" route
    And 1 attempt was made, and the request may have run: <ran>
    And a runner was found
    When an attempt ends as "<end>"
    Then the request <follows>

    Examples:
      | route     | ran | end               | follows                  |
      | unsafe    | no  | not_run           | may go on                |
      | safe      | yes | broken            | may go on                |
      | safe      | yes | failed            | may go on                |
      | safe      | yes | failed_as_not_run | may go on                |
      | resumable | yes | unusable          | may go on                |
      | safe      | yes | broken_suspect    | is refused with 502      |
      | unsafe    | yes | broken            | is refused with 502      |
      | unsafe    | yes | failed_as_not_run | is refused with 502      |
      | stream    | yes | unusable          | is refused with 502      |

  Scenario: A stream that breaks and may not be resumed is cut off
    Given a decision on a "stream" route
    And 1 attempt was made, and the request may have run: yes
    And the client has "numbered_events" up to event 7
    When an attempt ends as "broken"
    Then the answer is cut off as "broken"

  Scenario Outline: A request at its deadline: may have run <ran>, at a runner <sent>, has <has>
    Given a decision on an "unsafe" route
    And 1 attempt was made, and the request may have run: <ran>
    And the client has "<has>"
    When its deadline passes while it is at a runner: <sent>
    Then the request <follows>

    Examples:
      | ran | sent | has         | follows                   |
      | no  | no   | nothing     | is refused with 503       |
      | no  | yes  | nothing     | is refused with 504       |
      | yes | no   | nothing     | is refused with 504       |
      | yes | yes  | other_bytes | is cut off as "expired"   |

  Scenario Outline: A request without a runner left is refused for <reason>
    Given a decision on a "safe" route
    And the last attempt ended for "<last>"
    When no runner is left, since "no runner is known"
    Then the request is refused for "<reason>"

    Examples:
      | last                | reason              |
      |                     | no runner is known  |
      | connection refused  | connection refused  |

  Scenario Outline: A request moves away from a silent runner on a <route> route with <other> other runner: <left>
    Given a decision on a "<route>" route
    Then a silent runner may be left while there is <other> other runner: <left>

    Examples:
      | route     | other | left |
      | safe      | one   | yes  |
      | safe      | no    | no   |
      | resumable | one   | yes  |
      | unsafe    | one   | no   |

  Scenario: A request that no runner has received is refused with a retry time
    Then an overloaded service refuses with 503 and a retry time, as "refused"
    And a tenant's quota refuses with 429 and a retry time, as "over_quota"
