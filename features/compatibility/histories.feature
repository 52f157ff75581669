Feature: Simulated histories that a change for readers leaves as they are

  Scenario Outline: The history of a seed is the one that was pinned
    Then the simulated history of <site> with seed <seed> is as pinned

    Examples:
      | site      | seed |
      | guayaquil | 1    |
      | taoyuan   | 2    |
