Feature: A host that is leaving receives no new work after a few seconds

  Scenario: A drain reaches entry hosts that are cut off from each other
    Given entry hosts in two data centres, one of them cut off from its peers
    When an operator drains a worker at another entry host
    And 3.5 seconds pass for the leaving host
    Then no entry host offers the leaving worker

  Scenario: A drain reaches an entry host that is cut off from the store
    Given entry hosts in two data centres, one of them cut off from the store
    When an operator drains a worker at another entry host
    And 3.5 seconds pass for the leaving host
    Then no entry host offers the leaving worker

  Scenario: The platform's list shows a leaving worker live again
    Given entry hosts in two data centres that know a worker is leaving
    When the platform lists the leaving worker as live with the same boot
    And 3.5 seconds pass for the leaving host
    Then no entry host offers the leaving worker
    When the leaving worker is listed live with a new boot
    And 3.5 seconds pass for the leaving host
    Then every entry host offers the worker that had left

  Scenario: An entry host is told to stop
    Given entry hosts in two data centres, one of them cut off from its peers
    When the entry host that is cut off announces that it is leaving
    And 3.5 seconds pass for the leaving host
    Then no entry host offers the leaving entry host
