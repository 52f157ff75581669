Feature: Certificates made on the command line say name and role

  Scenario: A certificate for each name, under one authority
    When certificates for "replica-1,replica-2" are created with the role "replica"
    And certificates for "gateway-1" are created with the role "gateway"
    Then the created certificate of "replica-2" names "replica-2" and the role "replica"
    And the created certificate of "gateway-1" names "gateway-1" and the role "gateway"
    And both are of the same created authority

  Scenario: A role that there is not is bad input
    When certificates for "replica-1" are created with the role "admiral"
    Then creating certificates ended with code 2 naming "replica or gateway"
    And no certificate was created
