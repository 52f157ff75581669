Feature: commands, flags and exit codes that operators' scripts rely on stay

  features/compatibility/data/command_line.json has each command with its flags in order (they may
  be given by place), their types and defaults. A command or flag that is added must be added there.

  Scenario: commands and flags
    Then the command line has the pinned commands with their flags, defaults and value types
    And the words that ask for help are the pinned ones

  Scenario: exit codes
    Then the exit codes are the pinned ones
