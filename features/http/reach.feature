Feature: A probe tells a process that has ended from one that takes connections

  Scenario Outline: A port at which a process <listens>
    Given a port of this machine at which a process <listens>
    When it is probed
    Then it is told once that the address is "<reach>"

    Examples:
      | listens           | reach   |
      | listens           | open    |
      | no longer listens | refused |
