Feature: Real processes stop sending a prompt part that ends its runners

  Scenario Outline: The part comes <place> in prompts that differ in everything else
    Given the platform's stand-in with 3 controllers, 1 storage nodes, 3 gateways and 0 runners
    And 8 runners that end at the prompt parts <parts>
    When the operator's configuration is taken
    And sound requests with the prompt "aa01:172,bb{n}:300,own{n}:90" are served at each gateway
    And <prompts> come at each gateway in turn, beside sound ones, until each part has ended five runners or is held
    Then later than 3 s after that at most 3 more runs of each part begin within 24 further rounds
    And of the sound requests sent meanwhile at least half as many are served as before

    Examples:
      | place               | parts  | prompts                                                      |
      | between other parts | dead01 | aa01:172,dead01:40,own{n}:90                                 |
      | first               | dead01 | dead01:40,cc{n}:300,own{n}:90                                |
      | twice, differently  | dead01,dead02 | aa01:172,dead01:40,own{n}:90 dead02:40,own{n}:90      |
