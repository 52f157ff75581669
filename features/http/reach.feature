Feature: A probe distinguishes a process that has ended from one that accepts connections

  Scenario Outline: A port at which a process <listens>
    Given a port of this machine at which a process <listens>
    When it is probed
    Then the address is reported once as "<reach>"

    Examples:
      | listens           | reach   |
      | listens           | open    |
      | no longer listens | refused |
