Feature: Words that a command does not take end it before it starts anything

  Scenario Outline: A wrong word is named
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

  Scenario Outline: Each command's help tells what it takes, and starts nothing
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
