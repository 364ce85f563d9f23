Feature: The advice queue keeps its guarantees when entries fail and steps change

  Scenario: Without fair shares, the dispatcher makes the same decisions as a simple reference
    When 250 random sequences of operations run on a dispatcher without fair shares and on a reference dispatcher
    Then both sent the same calls through the same entries

  Scenario: With fair shares, no call is lost, duplicated or out of order
    When 250 random sequences of operations run on a dispatcher with fair shares
    Then no entry had more than two calls in flight, and no call was made that its step did not need
    And calls of equal rank and length were made in the order in which they were queued
    And every entitled step that still needed advice got it eventually

  Scenario: The calls of a removed entry move to other entries and keep their place in the queue
    Given a dispatcher with fair shares and 4 entries
    And patient steps queued behind two calls in flight at each entry
    When entry 3 is removed
    Then the calls that it carried are made next, at once, and do not count twice towards the load

  Scenario: An overdue call is requeued, and its late answer is used
    Given a dispatcher with fair shares and 4 entries
    And an urgent step whose call is in flight at the first entry
    When the answer is 0.4 seconds late, and arrives before the call is made again
    Then the step has its tickets, and no further call is made
    And the log records that the first entry was suspected and has recovered

  Scenario: The backoff of an entry that does not answer grows
    Given a dispatcher with fair shares and 2 entries
    When the second entry answers no calls for 20 seconds, while 5 pairs of urgent steps arrive per second
    Then the second entry carried at most 8 calls
    And every urgent step got an answer within 0.7 seconds

  Scenario: While no entry answers, calls are retried at a limited rate
    Given a dispatcher with fair shares and 1 entries
    When the first entry rejects calls as busy for 5 seconds, and then answers
    Then between 3 and 50 calls about the step were made, and the step has its answer

  Scenario: Calls that are no longer needed are not made
    Given a dispatcher with fair shares and 1 entries
    And patient steps queued behind two calls in flight at each entry
    When one of the queued steps is placed, one exceeds its tenant's quota and one expires
    Then no call is made about these three steps, and calls are made about all others

  Scenario: A new holder starts with an empty queue and requests advice again
    Given a dispatcher with fair shares and 4 entries
    And patient steps queued behind two calls in flight at each entry
    When a new holder creates its dispatcher and all steps request advice again
    Then every step has its answer within 2 seconds

  Scenario: After a stall of the holder, no entry is suspected because of answers not read yet
    Given a dispatcher with fair shares and 4 entries
    And an urgent step whose call is in flight at the first entry
    When the holder stalls for 2 seconds, makes a pass, and then reads the answer
    Then the step has its tickets, and no further call is made
    And no entry was suspected

  Scenario: On a full cell, a flood defers its requests, and an entitled step requests advice first
    Given a full cell of 10 large workers with fair shares
    When 10 patient jobs over a tenant's share and then 1 entitled job are submitted
    Then no call about the flood is made at first, and the log gives the reason
    And the first call about the entitled job is made before all calls about the flood
    And all jobs start eventually

  Scenario Outline: On a full cell of <workers> workers, a flood delays no task of an entitled job
    Given two full cells of <workers> large workers with fair shares, equal except for a flood
    When an entitled job is submitted to both cells, and <workers> jobs over a tenant's share to one of them
    Then each task of the entitled job starts no later with the flood than without
    And meanwhile the flood starts on workers that are not approved for the entitled job

    Examples:
      | workers |
      | 10      |
      | 12      |
      | 20      |

  Scenario: The rank of a queued call follows the learned work estimate
    Given a dispatcher with fair shares and 1 entries
    And patient steps queued behind two calls in flight at each entry
    When the steps turn out to take 6 times their estimate, and a pass is made
    Then every queued call has the current rank of its step

  Scenario: The answer to a call from before its step was forgotten ends no newer call
    Given a dispatcher with fair shares and 4 entries
    And an urgent step whose call is in flight at the first entry
    When the step is forgotten, its advice is requested again, and the previous call is answered
    Then the step's newest call is still in flight, and no further call is made
    When the step is forgotten, its advice is requested again, and the previous call is refused
    Then the step's newest call is still in flight, and no further call is made

  Scenario: After a long outage of the advice service, calls are answered as soon as after a short one
    Given a dispatcher with fair shares and 1 entries
    When the first entry rejects calls as busy for 240 seconds, while one urgent step arrives per second, and then answers
    Then the call about the last step is made again, and its answer arrives within 0.5 seconds
