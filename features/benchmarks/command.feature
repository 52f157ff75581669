Feature: rainsail bench prints one JSON line and writes the same figures

  Scenario: A bench's figures
    When "rainsail bench failover --seeds=2" is run with a folder for the bench's output
    Then the bench command's last line is JSON of the bench "failover" with 4 targets
    And the bench's output folder holds the same JSON and nothing else

  Scenario: The gateway's bench runs engines, gateway and callers as processes
    When "rainsail bench gateway --runs=1 --seconds=0.2 --heap_items=100 --memory=False --fairness=False" is run with a folder for the bench's output
    Then the bench command's last line is JSON of the bench "gateway" with 3 targets
    And the bench's output folder holds the same JSON and nothing else

  Scenario Outline: Bad input ends the bench command with exit code 2
    When "rainsail bench <arguments>" is run with a folder for the bench's output
    Then the bench command ends with exit code 2 and names "<flag>"

    Examples:
      | arguments                         | flag     |
      | failover --seeds=0                | --seeds  |
      | ledger --sizes=10,many            | --sizes  |
      | storage --folder=/no/such/folder  | --folder |

  Scenario Outline: A bench that was removed is refused with the names of those that there are
    When "rainsail bench <arguments>" is run with a folder for the bench's output
    Then the bench command ends with exit code 2 and names "storage, ledger, failover"

    Examples:
      | arguments            |
      | config --gateways=15 |
      | consensus            |
      | intake --items=10    |
      | restart              |
