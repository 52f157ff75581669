Feature: rainsail bench prints one JSON line and writes the same figures and a plot

  Scenario: A bench's figures and plot
    When "rainsail bench failover --seeds=2" is run with a folder for the bench's output
    Then the bench command's last line is JSON of the bench "failover" with 4 targets
    And the bench's output folder holds the same JSON and a PNG image

  Scenario Outline: Bad input ends the bench command with exit code 2
    When "rainsail bench <arguments>" is run with a folder for the bench's output
    Then the bench command ends with exit code 2 and names "<flag>"

    Examples:
      | arguments                         | flag     |
      | failover --seeds=0                | --seeds  |
      | ledger --sizes=10,many            | --sizes  |
      | storage --folder=/no/such/folder  | --folder |
