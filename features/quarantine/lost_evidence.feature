Feature: Trials are counted although the controllers that saw their crashes are lost

  Scenario Outline: All controllers are killed <delay> s after each crash of a trial of a fatal part
    # Guards against: a fatal part that is tried again and again, as no hold follows its trials.
    Given a fleet whose clients send requests with a fatal part, seed 1
    When all controllers are killed <delay> s after each crash that follows its first hold, for 60 s
    Then the fatal part ran at most 3 times later than 3 s after its fifth crash

    Examples:
      | delay |
      | 1.0   |
      | 0.1   |

  Scenario Outline: All controllers are killed <delay> s after the fifth crash of a part that is sent every <period> s
    # Guards against: a fatal part whose crashes are counted anew after a restart of all controllers.
    Given a fleet whose clients send requests with a fatal part every <period> s, seed 1
    When all controllers are killed <delay> s after the fifth crash, and 60 s pass
    Then the fatal part ran at most 3 times later than 3 s after its fifth crash, or never

    Examples:
      | period | delay |
      | 0.6    | 0.3   |
      | 0.6    | 1.0   |
      | 1.2    | 1.0   |
