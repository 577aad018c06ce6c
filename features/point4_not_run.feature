Feature: When a caller is told that a request was not run, it was not run

  Scenario: The time-out of a request ends its wait for a slot
    Given entry hosts whose executors are busy beyond the time-out
    When a caller asks for a request to be run and waits
    Then the request is reported as not run
    And that request never runs

  Scenario: A forwarded message arrives long after its sender called it back
    Given entry hosts that deliver a forwarded request late and twice
    When a caller asks for a request to be run and waits
    Then no request that was reported as not run ever runs

  Scenario: The store loses the answer to a claim and then goes down
    Given entry hosts whose store loses a claim's answer and goes down
    When a caller asks for a keyed request to be run and waits
    Then the request is reported as not run
    And that request never runs
