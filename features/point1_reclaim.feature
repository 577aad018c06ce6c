Feature: A client account's guaranteed shape (a block of adjacent accelerators) can always be reclaimed from borrowers

  Scenario: Borrowers everywhere leave at once when the guarantee is used
    Given a gpu pool of 4 workers where "design" is guaranteed 16 adjacent accelerators
    And borrowers of "batch" on every gpu worker
    When "design" submits a gang of 16 accelerators
    Then only borrowers on 2 gpu workers are evicted
    And the gang starts once these evictions are confirmed

  Scenario: Work that may not borrow leaves room for the guarantee
    Given a gpu pool of 4 workers where "design" is guaranteed 16 adjacent accelerators
    When "batch" submits 4 simulations of 8 accelerators that may not borrow
    Then 2 simulations start
    And the gang of "design" starts without an eviction

  Scenario: A lost rack is reported as a shortfall
    Given a gpu pool of 4 workers where "design" is guaranteed 16 adjacent accelerators
    When all gpu workers are lost
    Then "design" is told to lack 1 cell of 16 accelerators
    And nothing is lacking once the gpu workers are back

  Scenario: A guarantee that moves while its cells are lent can be reclaimed by its new owner
    Given a gpu pool of 4 workers where "design" is guaranteed 16 adjacent accelerators
    And borrowers of "batch" on every gpu worker
    When the guarantee moves to "batch-night"
    And "batch-night" submits a gang of 16 accelerators
    Then only borrowers on 2 gpu workers are evicted
    And the gang starts once these evictions are confirmed
