Feature: Certificates created on the command line name the process and its role

  Scenario: One certificate per name, signed by one authority
    When certificates for "replica-1,replica-2" are created with the role "replica"
    And certificates for "gateway-1" are created with the role "gateway"
    Then the created certificate of "replica-2" names "replica-2" and the role "replica"
    And the created certificate of "gateway-1" names "gateway-1" and the role "gateway"
    And all are signed by the same created authority

  Scenario: An unknown role is refused as bad input
    When certificates for "replica-1" are created with the role "admiral"
    Then creating certificates ended with code 2 naming "replica or gateway"
    And no certificate was created
