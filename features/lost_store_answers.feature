Feature: A lost store answer is resolved, not guessed

  Scenario: The answer is lost after the action took effect
    Given a table service that loses the answer of the next transaction
    When a row is committed
    Then the commit succeeds
    And the row was written exactly once
