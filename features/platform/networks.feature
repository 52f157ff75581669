Feature: Test platforms that run at the same time share no address

  # Guards against: two runs whose process ids are equal modulo 200, so that their nodes used the same addresses.
  Scenario: Two platforms that start from the same network get different ones
    Given two loopback networks taken by one process
    Then they are different networks

  Scenario: A released network can be taken again
    Given two loopback networks taken by one process
    When the first of them is given back
    Then the next one taken is that one
