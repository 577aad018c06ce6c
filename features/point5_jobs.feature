Feature: A request marked as non-idempotent runs at most once.

  Scenario: The planner is killed after it started a billed job
    Given two entry hosts with planned jobs
    When a billed job is accepted with key "round-1"
    And the planner of the jobs is killed 2 seconds later
    And the accepted jobs come to an end
    Then each billed job started at most once

  Scenario: A caller repeats its call through another entry host
    Given two entry hosts with planned jobs
    When a billed job is accepted with key "round-1"
    And the same billed job is sent through the other entry host
    Then both callers of the billed job have the same job id
    And the accepted jobs come to an end
    And each billed job started at most once

  Scenario: A queued job is cancelled
    Given two entry hosts with planned jobs
    And no worker of the jobs can be reached
    When a billed job is accepted with key "round-1"
    And the billed job is cancelled
    And the accepted jobs come to an end
    Then the billed job is reported as cancelled before any task started
    And no worker ever started the billed job

  Scenario: The table service is down
    Given two entry hosts with planned jobs
    And the table service of the jobs is down
    When a billed job is sent with key "round-1"
    Then the caller of the billed job is told that it was not run
    And no worker ever started the billed job
