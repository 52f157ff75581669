Feature: Platforms of the tests that run at the same time share no address

  # Guards against: two runs whose process ids are alike modulo 200, whose nodes took each other's addresses.
  Scenario: Two platforms that would begin at the same network get two
    Given two loopback networks taken by one process
    Then they are different networks

  Scenario: A network that was given back can be taken again
    Given two loopback networks taken by one process
    When the first of them is given back
    Then the next one taken is that one
