Feature: A planned stop answers the requests that were sent before it

  Guards against connections closed without an answer: a process that was stalled for a moment finds a
  request and SIGTERM together, treats the connection as idle, and closes it with the request unread.

  Scenario Outline: An unread request on a persistent connection is answered: <server>
    # Guards against: a connection closed as idle although a request is unread in its socket.
    Given <server> that is about to stop
    When a caller's first request is answered there, and its connection is kept open
    And the caller sends a request in the moment in which idle connections are closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: The first request on a connection that was just accepted is answered: <server>
    # Guards against: connections without a request so far being reset by the end of the process.
    Given <server> that is about to stop
    When a caller opens a connection that is accepted
    And the caller sends a request in the moment in which idle connections are closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A request in the queue of the listening port is answered: <server>
    # Guards against: the reset of connections that the kernel has accepted and the process has not.
    Given <server> that is about to stop
    When a caller connects and sends a request in the moment in which the port is closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A request that was read in half is answered once the rest has arrived: <server>
    # Guards against: a connection closed as idle in the middle of a request's head.
    Given <server> that is about to stop
    When a caller has sent half of a request's head, and it has been read
    And idle connections are closed
    And the caller sends the rest of its request
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: An idle connection is closed in order: <server>
    # Guards against: a stop that waits for connections on which nothing was sent.
    Given <server> that is about to stop
    When a caller's first request is answered there, and its connection is kept open
    And idle connections are closed
    Then the caller's connection is closed in order

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A caller that connects right after the port was closed is refused, not reset: <server>
    # Guards against: a port that still accepts until a later turn of the reactor closes it.
    Given <server> that is about to stop
    When the port is closed in a turn of the reactor that is long, and a caller connects meanwhile
    Then the caller is refused before it has sent anything

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A caller that has connected just before the port is closed is answered: <server>
    # Guards against: a new connection closed as idle while its first request is in transit.
    Given <server> that is about to stop
    When a caller connects just before the port is closed, and sends its request after idle ones are closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A request that was sent behind another one is answered: <server>
    # Guards against: a connection closed behind an answer although the next request has been read.
    Given <server> that is about to stop
    When a caller opens a connection that is accepted
    And the caller sends two requests in the moment in which idle connections are closed
    Then the caller is answered twice, and told that the connection closes behind the second answer

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |
