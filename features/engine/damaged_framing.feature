Feature: An engine's answer whose framing was damaged in transit is no whole answer

  A size or a length that was damaged ends the answer early. An attempt ends by the record of its end, which an
  engine sends last, and by nothing else; so the engine client reports it as lost.

  Scenario Outline: The engine client's attempts: <damage>
    Given an engine behind a proxy that answers in its place
    When the engine client makes attempts, and of each answer <damage>
    Then every attempt is lost behind chunks of its answer

    Examples:
      | damage                                      |
      | its second chunk has the size 00            |
      | a last chunk stands in the place of a size  |
      | a last chunk and half of the content follow |
      | its second chunk has the size 4             |
      | its length is too small                     |
      | its length is too large                     |

  Scenario: An answer whose framing was not damaged is whole
    Given an engine behind a proxy that answers in its place
    When the engine client makes attempts, and of each answer nothing is damaged
    Then every attempt has ended as its answer says
