Feature: The capacity page's table comes from a sweep's journal entry

  Scenario: The page is what the entry that it names gives
    Then the committed capacity page agrees with its entry

  Scenario: A sweep's report is read
    Given a sweep's report
    Then it has sizes 10 and 30 and leads to 422
    And the row "processor %" of "controller" is 5.4 and 7.4 at the busiest and 15.8 at 422
    And the row "config acked, ms" of "all" is 307 and 255 at the busiest and 255 at 422
    And its table has 2 more lines than rows

  Scenario: The table takes the place of the one before, and names its entry
    Given a sweep's report
    When the table is put into a page with another
    Then the page names the new entry and has the new table alone

  Scenario Outline: An entry that can't be used is refused by its name
    Given a journal entry that is <spoiled>
    Then reading it for the capacity page fails, naming the file and "<word>"

    Examples:
      | spoiled               | word            |
      | cut short             | JSONDecodeError |
      | of another command    | not of a sweep  |
      | without a table       | no table        |
      | with an unknown head  | head            |
      | with a row cut short  | no rows         |
      | with a word for value | can't be read   |
      | not there             | No such file    |
