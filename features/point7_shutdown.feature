Feature: A graceful shutdown cuts off no request that is in flight

  Scenario: A host is shut down while a request of its caller runs
    Given a shutdown test with one request in flight
    When its entry host shuts down
    Then the request in flight completes with its whole answer
    And the shutdown ends only after that

  Scenario: A request arrives during the shutdown
    Given a shutdown test with one request in flight
    When its entry host shuts down and another request arrives
    Then the late request is answered as not run
