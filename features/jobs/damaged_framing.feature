Feature: A text of an item is not done because what frames its answer was damaged

  Scenario Outline: The run of an item breaks off: <damage>
    Given a relay whose connections are real, with a "run-once stream" route
    When the runner of an item sends an answer of which <damage>
    Then every run of the item has broken off behind a whole event, and may be repeated

    Examples:
      | damage                                      |
      | its second chunk has the size 00            |
      | a last chunk stands in the place of a size  |
      | a last chunk and half of the content follow |
      | its second chunk has the size 4             |
      | a chunk takes the begin of the next one     |
      | its length is too small                     |
      | its length ends inside an event             |
      | its length is too large                     |
      | its lengths differ                          |
      | its length is no number                     |
      | its length and its chunks differ            |
      | its transfer coding is another one          |
      | a size is no hexadecimal number             |

  Scenario Outline: The text of an item is whole that ends with <what>
    Given a relay whose connections are real, with a "run-once stream" route
    When the runner of an item sends a whole answer with <what>
    Then the run of the item has its whole text

    Examples:
      | what                                  |
      | a last chunk with an extension        |
      | trailers that its head announces      |
      | a length that its chunks hold         |
      | another answer behind it in chunks    |
      | another answer behind its length      |
      | the begin of another answer behind it |
