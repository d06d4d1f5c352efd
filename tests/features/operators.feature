Feature: Operators see what the system does, and drive it only by what they publish

  Background:
    Given a line-status service of two upstreams behind two balancers
    And a caller with an open flow

  Scenario: Every process shows in one table
    Then status shows every process at one revision
    And one process holds the flow

  Scenario: An upstream is labelled as leaving
    Given a defect report filed on the flow
    When the home of the flow is labelled as leaving
    Then explain names the other upstream as the new home
    And status shows the old home as leaving
    And the time line of the flow is in the order of cause and effect

  Scenario: A wrong document is published
    When a document is published whose service has neither address nor selector
    Then status shows each fault of it
    And the older document stays in force
