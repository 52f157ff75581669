Feature: A planned stop answers what was sent to it

  Callers had their connections closed without a byte: a process that stood still for a moment found a
  request and SIGTERM together, took the connection for idle, and closed it with the request unread.

    466.947 a request is sent   467.163 SIGTERM   467.177 the connection is closed in order

  Scenario Outline: A request that lies unread on a connection kept open is answered: <server>
    # Guards against: a connection closed as idle although a request lies unread in its socket.
    Given <server> that is about to stop
    When a caller's first request is answered there, and its connection is kept open
    And the caller sends a request in the moment in which idle connections are closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: The first request on a connection that was just accepted is answered: <server>
    # Guards against: connections that have carried no request being cut by the end of the process.
    Given <server> that is about to stop
    When a caller opens a connection that is accepted
    And the caller sends a request in the moment in which idle connections are closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A request in the queue of the listening port is answered: <server>
    # Guards against: the reset of what the kernel has accepted and the process has not.
    Given <server> that is about to stop
    When a caller connects and sends a request in the moment in which the port is closed
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A request of which a half has been read is answered once the rest has come: <server>
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

  Scenario Outline: A caller that connects right behind the closing of the port is refused, not reset: <server>
    # Guards against: a port that still accepts until a later turn of the reactor closes it.
    Given <server> that is about to stop
    When the port is closed in a turn of the reactor that is long, and a caller connects meanwhile
    Then the caller is refused before it has sent anything

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |

  Scenario Outline: A caller that has connected just before the port is closed is waited for: <server>
    # Guards against: a new connection closed as idle while its first request is on its way.
    Given <server> that is about to stop
    When a caller connects just before the port is closed, and sends its request when others rest
    Then the caller is answered, and told that the connection closes

    Examples:
      | server             |
      | the caller API     |
      | a relaying gateway |
