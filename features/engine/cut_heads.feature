Feature: An engine's answer that stops inside its head is no answer

  An engine stops in the middle of an answer's head and ends its connection. The engine client reports the
  attempt as lost and a call as of unknown outcome, and the caller of the native front gets an error, never a
  success with an empty or short text.

  Scenario Outline: The engine client's attempts and calls: on <connection>
    Given an engine behind a proxy that cuts heads at one place of each class
    When the engine client makes each kind of call on <connection>, and its answer is cut
    Then every attempt is lost without a chunk, and every call has failed with an unknown outcome

    Examples:
      | connection                                  |
      | a new connection                            |
      | a connection that has carried a whole answer |

  Scenario Outline: A caller of the native front: <request>
    Given a native gateway over an engine behind a proxy that cuts heads at one place of each class
    When a caller of its OpenAI API asks for a <request>, and the engine's answers are cut
    Then every caller has been told an error, and none of them a success

    Examples:
      | request                       |
      | completion                    |
      | streamed completion           |
      | non-repeatable completion     |
