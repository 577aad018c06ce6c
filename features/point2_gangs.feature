Feature: No gang runs partially. A simulation has all its accelerators or none.

  Scenario: A worker refuses the start of its part
    Given a planner and three gang workers
    And gang worker "w1" refuses starts
    When a simulation over three gang workers is accepted
    And 20 seconds pass for the gangs
    Then no gang ran partially beyond the bound

  Scenario: The planner is killed while it starts a gang
    Given a planner and three gang workers
    And the gang planner is killed after 5 more steps
    When a simulation over three gang workers is accepted
    And 20 seconds pass for the gangs
    Then no gang ran partially beyond the bound
    And every gang job is completed

  Scenario: A worker restarts under a running gang
    Given a planner and three gang workers
    When a simulation over three gang workers is accepted
    And 5 seconds pass for the gangs
    And gang worker "w2" restarts
    And 20 seconds pass for the gangs
    Then no gang ran partially beyond the bound
    And every gang job is completed
