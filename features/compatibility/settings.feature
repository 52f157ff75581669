Feature: the settings that operators have written stay accepted and mean the same

  features/compatibility/data/settings.json has each key of both models with its type (bounds and
  allowed values included), its default and its environment name, and all values that are in force
  when a file says no more than it must. A key that is added must be added there too.

  Scenario Outline: keys, types, defaults and environment names
    Then the <model> settings have the pinned keys, types, defaults and environment names
    And <model> settings that say no more than they must have the pinned values

    Examples:
      | model   |
      | process |
      | node    |

  Scenario Outline: each key is accepted with its default
    When each pinned key of the <model> settings is set to its default
    Then the settings are accepted and have the pinned values

    Examples:
      | model   |
      | process |
      | node    |

  Scenario: each key is accepted from the environment
    When the environment sets each pinned key of the process settings to its default
    Then each of them was read from the environment
    And the settings are accepted and have the pinned values

  Scenario: the files to deploy with
    Then the file "deploy/node.toml.template" has the SHA-256 92ace26798247316a9bded41248fcd3d202f31003deb461d89687b7dbffedb43
    And the file "deploy/system.toml" has the SHA-256 12e01fd7d20e2b4dde7715c9cb8306ae895caddd5450dbd33b05c6bf730ff6e9
