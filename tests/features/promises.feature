Feature: What must always hold
  The promises of the users' brief, checked on the decision cores.

  Scenario: A feed survives every planned change, including the nightly upgrade
    Given a caller follows the live feed of the line-status service
    When every upstream is replaced in turn
    Then the feed has lost and repeated no event
    And the caller never reopened its flow

  Scenario: A packet meant for one service never reaches another
    Given a caller holds a flow to the ledger
    When the address of its upstream goes to the evidence service
    And the caller sends an offset demand
    Then no upstream ran a request of another service

  Scenario: Every caller receives the whole answer to its own request
    Given answers come late, twice and out of order
    When several callers ask for large answers at the same time
    Then each has the whole answer to its own request

  Scenario: What is said not to have been run was not run
    Given a caller holds a flow to the ledger
    When an offset demand is delayed in transit and settled meanwhile
    Then the caller learns at once that it was not run
    And the demand that arrives late is not run

  Scenario: A defect report runs at most once
    Given a caller holds a flow to the line-status service
    When each copy of its defect report is duplicated and the answers are lost
    And the upstream leaves meanwhile
    Then the defect report ran once
    And the caller has the answer

  Scenario: A report whose home is lost stays in doubt and is not repeated
    Given a caller holds a flow to the line-status service
    When the home of its flow dies while it runs the defect report
    Then the caller learns that the outcome is unknown
    And the defect report ran once

  Scenario: An upstream that is leaving receives no new work after a few seconds
    Given callers send requests all the time
    When an upstream is marked as leaving and one balancer does not receive the change
    Then it receives no new requests after three seconds
    And the callers' requests are answered elsewhere

  Scenario: Every planned stop cuts off no request in progress
    Given a caller holds a flow to the line-status service
    When the sidecar of the upstream gets SIGTERM while it runs the defect report
    Then the caller has the answer
    And the upstream has handed its flows over

  Scenario: An accepted configuration never reverts to an earlier one
    Given a configuration is in force on every balancer
    When the platform answers with an older revision
    Then the newer configuration stays in force everywhere
