Feature: A lost leader is replaced in time
  The seconds are a client's and virtual: from the loss until two further changes have committed.

  Scenario Outline: Changes commit again within 3 seconds
    When a bench group of five loses its leader (<loss>) at seeds 0 to 11
    Then at each bench seed the client's changes commit within 3 virtual seconds

    Examples:
      | loss         |
      | killed       |
      | cut_off      |
      | failing_disk |
      | stalled_disk |
