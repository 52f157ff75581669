Feature: Settings of a process

  Scenario Outline: Every example passes the check
    When rainsail is run with "settings check <file>"
    Then rainsail exits with 0

    Examples:
      | file                              |
      | examples/guayaquil/fleet.toml     |
      | examples/guayaquil/replica-1.toml |
      | examples/taoyuan/fleet.toml       |
      | examples/taoyuan/gateway-a1.toml  |

  Scenario: The example fleets have the sizes of the sites
    Then the example fleets have these settings counts
      | site      | zones | replicas | per zone | gateways | engines                  |
      | guayaquil | 3     | 5        | 2+2+1    | 3        | reports 6, positions 3   |
      | taoyuan   | 3     | 5        | 2+2+1    | 3        | assistant 9, dock 3      |

  Scenario: Every example file of resources and jobs is valid
    Then every example file of resources and jobs is accepted by its reader

  Scenario Outline: Invalid settings are refused by key and expectation, and nothing is written
    Given the settings file of an example with <change>
    When rainsail is run on it with "settings check"
    Then rainsail exits with 2
    And its stderr names the settings file and says "<words>"
    And nothing was written beside the settings file

    Examples:
      | change                                    | words                                          |
      | the line "zone = " in place of its zone   | expected TOML                                  |
      | the line "zone = " in place of its zone   | line                                           |
      | the key process.nmae added                | process.nmae: unknown key; did you mean 'name' |
      | the key consensus.heartbeat_perid_s added | did you mean 'heartbeat_period_s'              |
      | process.name set to "Replica 1"           | process.name: String should match              |
      | process.roles set to ["leader"]           | process.roles[0]                               |
      | addresses.internal set to "localhost:7"   | addresses.internal: expected an IP number      |
      | addresses.internal set to "127.0.0.1:x"   | expected a port                                |
      | addresses.internal set to "10.0.0.1:7300" | tls: expected a section                        |
      | wire.max_frame_bytes set to 12            | wire.max_frame_bytes: Input should be greater  |
      | wire.dead_peer_timeout_s set to 1.0       | at least twice keepalive_period_s              |
      | two replicas of one name                  | appears twice                                  |
      | the table process removed                 | process: Field required                        |
      | a byte that is not UTF-8                  | expected UTF-8                                 |

  Scenario Outline: run and up refuse bad settings before they start anything
    Given the settings file of an example with process.name set to "Replica 1"
    When rainsail is run on it with "<command>"
    Then rainsail exits with 2
    And its stderr names the settings file and says "process.name"
    And nothing was written beside the settings file

    Examples:
      | command |
      | run     |
      | up      |

  Scenario: Flags override the environment, and the environment overrides the file
    Given the settings file of an example with process.zone set to "from-file"
    When the settings are loaded
    Then the loaded zone is "from-file"
    When the settings are loaded with RAINSAIL_PROCESS__ZONE "from-environment"
    Then the loaded zone is "from-environment"
    When the settings are loaded with the flag "process.zone=from-flag" over RAINSAIL_PROCESS__ZONE "from-environment"
    Then the loaded zone is "from-flag"

  Scenario Outline: An invalid override is reported with its source
    Given the settings file of an example with process.zone set to "a"
    When the settings are loaded with the flag "<flag>" over RAINSAIL_<variable> "<value>"
    Then loading the settings fails at "<source>" with "<words>"

    Examples:
      | variable              | value | flag               | source      | words               |
      | WIRE__MAX_FRAME_BYTES | 7     | process.zone=a     | environment | wire.max_frame_bytes |
      | WIRE__MAX_FRAME       | 7     | process.zone=a     | environment | unknown key         |
      | PROCESS__ZONE         | a     | wire.max_frame=7   | --set       | unknown key         |
      | PROCESS__ZONE         | a     | process            | --set       | key.path=value      |
      | PROCESS__ZONE         | a     | process.zone=A B   | --set       | process.zone        |

  Scenario: Random bytes in a settings file never crash the loader
    When 60 settings files with random bytes are loaded
    Then each gave settings, or problems that name the file

  Scenario: The settings page describes every key of the models
    When the settings page is generated
    Then it names every key of the settings with a description
