Feature: Invalid arguments end a command before it starts anything

  Scenario Outline: The error message names the invalid argument
    When rainsail is run with "<command>"
    Then rainsail exits with 2
    And its stderr says "<words>"

    Examples:
      | command                            | words                                        |
      | frobnicate                         | unknown command 'frobnicate'                 |
      | statu                              | did you mean 'status'                        |
      | demo --bogus                       | unknown flag --bogus                         |
      | simulate --minute=1                | unknown flag --minute; did you mean --minutes |
      | simulate --minutes=soon            | --minutes: expected a number, got 'soon'     |
      | simulate --minutes=0               | --minutes: expected a number above 0         |
      | simulate --seed=1.5                | --seed: expected a whole number, got '1.5'   |
      | simulate guayaquil one             | seed: expected a whole number, got 'one'     |
      | check consensus --schedules        | --schedules: expected a whole number         |
      | experiment --site nowhere          | no site 'nowhere'                            |
      | experiment --minutes=-1            | --minutes: expected a number above 0         |
      | defects now                        | unexpected argument 'now'                    |

  Scenario Outline: The help of a command starts nothing and exits with 0
    When rainsail is run with "<command> --help"
    Then rainsail exits with 0

    Examples:
      | command         |
      | run             |
      | up              |
      | demo            |
      | resource apply  |
      | job submit      |
      | explain         |
      | storage inspect |
      | simulate        |
