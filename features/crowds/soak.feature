Feature: Random crowds beside signals, restarts and changes end no process

  Scenario Outline: Crowds, restarts and changes drawn by seed <seed>
    When a soak with crowds of seed <seed> does <actions> actions
    Then every process stayed within its machine's memory, and ended only when it was told to

    Examples:
      | seed | actions |
      | 1    | 8       |
      | 2    | 8       |
