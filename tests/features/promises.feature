Feature: What must always hold
  The promises of the users' brief, in its words, over the decision cores.

  Scenario: A feed survives every planned change, including the nightly upgrade
    Given a crew follows the live feed of the line-status service
    When every upstream is replaced in turn
    Then the feed has lost and repeated no event
    And the crew never had to open its flow anew

  Scenario: A packet meant for one service never reaches another
    Given an adjuster holds a flow to the ledger
    When the address of its upstream goes to the evidence service
    And the adjuster sends an offset demand
    Then no upstream ran a request of another service

  Scenario: Every caller receives the whole answer to its own request
    Given answers come late, twice and out of order
    When several callers ask for large answers at the same time
    Then each has the whole answer to its own request

  Scenario: What is said not to have been run was not run
    Given an adjuster holds a flow to the ledger
    When an offset demand is held up on the way and settled meanwhile
    Then the adjuster is told at once that it was not run
    And the demand that arrives late is not run

  Scenario: A defect report runs at most once
    Given a crew holds a flow to the line-status service
    When each copy of its defect report comes twice and the answers are lost
    And the upstream leaves meanwhile
    Then the defect report ran once
    And the crew has the answer

  Scenario: A report whose home is lost stays in doubt and is not repeated
    Given a crew holds a flow to the line-status service
    When the home of its flow dies while it runs the defect report
    Then the crew is told that the outcome is unknown
    And the defect report ran once

  Scenario: An upstream that is leaving receives no new work after a few seconds
    Given callers send requests all the time
    When an upstream is marked as leaving and some balancers do not hear of it
    Then it gets no new work after three seconds
    And the callers' requests are answered elsewhere

  Scenario: Every planned stop cuts off no request in progress
    Given a crew holds a flow to the line-status service
    When the upstream is told to stop while it runs the defect report
    Then the crew has the answer
    And the upstream has handed its flows over

  Scenario: An accepted configuration never reverts to an earlier one
    Given a configuration is in force on every balancer
    When the platform answers with an older revision
    Then the newer configuration stays in force everywhere
