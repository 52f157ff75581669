Feature: A head that is cut on a real socket is no answer to a call

  Scenario Outline: The server cuts its head and ends its connection <how>
    Given a server on a real socket that cuts the heads of its answers
    When a call is made for one place of each class, and the connection ends <how>
    Then every call has failed, and none has got a head

    Examples:
      | how                   |
      | in order              |
      | by reset              |
      | its sending side only |
      | after a silence       |
