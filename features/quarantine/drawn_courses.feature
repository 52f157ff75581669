Feature: In drawn courses of crashes fatal suspects run late a few times only, and sound items are done

  The product's decisions without a network and without groups, so that many courses can be played:
  items of several jobs, some of them fatal or with a fatal part, streams, fatal requests of clients,
  runners that crash for other reasons, and controllers that change or are lost.

  Scenario Outline: No drawn course with a seed from <first> to <last> breaks a bound
    When courses with seeds from <first> to <last> are played
    Then a fatal suspect ran at most 3 times late in each of them, and all sound items were done

    Examples:
      | first | last |
      | 1     | 100  |
      | 201   | 300  |
      | 673   | 673  |
      | 871   | 871  |

  Scenario Outline: The drawn courses detect a product in which <defect>
    Given a product in which <defect>
    When courses with seeds from 1 to 60 are played
    Then some of them break a bound

    Examples:
      | defect                        |
      | crashes count against nothing |
      | responses clear no entry      |
      | all trials are permitted      |
      | no trial is permitted         |
