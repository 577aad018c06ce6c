Feature: A request marked as non-idempotent runs at most once

  Scenario: A caller retries with a key through every entry host
    Given entry hosts that share a table service for keyed requests
    When a caller sends a keyed request to every entry host in turn
    Then the keyed request runs exactly once
    And every host answers with the first outcome of the keyed request

  Scenario: The first entry host is replaced before the outcome is written
    Given entry hosts that share a table service for keyed requests
    When the first entry host of a keyed request is replaced while it runs
    Then a retry of the keyed request is unknown and runs nothing

  Scenario: The store is down
    Given entry hosts that share a table service for keyed requests
    When the store is down and a keyed request arrives
    Then the keyed request is refused as not run
