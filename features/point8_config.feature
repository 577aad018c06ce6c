Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Two operators race for the same configuration revision
    Given a fleet of entry hosts with the configuration of one operator
    When two operators change the configuration at the same time
    Then one change of the configuration is accepted and the other learns the winner
    And every entry host shows the accepted configuration after 8 s

  Scenario: An entry host restarts while the store does not answer it
    Given a fleet of entry hosts with the configuration of one operator
    When an entry host restarts while its store is down
    Then every entry host shows the accepted configuration after 8 s

  Scenario: A data centre that was cut off adopts the configuration on its return
    Given a fleet of entry hosts with the configuration of one operator
    When the configuration changes while a data centre is cut off
    Then every entry host shows the accepted configuration after 8 s

  Scenario: A peer offers an old configuration revision
    Given a fleet of entry hosts with the configuration of one operator
    When the configuration changes and a peer offers the old configuration
    Then every entry host shows the accepted configuration after 8 s
