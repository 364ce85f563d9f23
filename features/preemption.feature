Feature: Preemption of runs for more urgent steps

  Runs of lower-priority queues are preempted if no capacity becomes free soon and stopping them
  loses almost no work.

  Background:
    Given workers "a" of 10 processors each

  Scenario: A run of a lower-priority queue that writes checkpoints is preempted
    Given "a" runs "later" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    Then "later" is preempted for "urgent"

  Scenario Outline: Runs that are not preempted - <what>
    Given "a" runs "other" of 6 processors, priority <priority>, <traits>
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    Then no run is preempted

    Examples:
      | what                          | priority | traits              |
      | a run of the same queue       | 1        | with checkpoints    |
      | a run of a more urgent queue  | 0        | with checkpoints    |
      | a run that would lose work    | 2        | without checkpoints |
      | a long-running task           | 2        | long-running        |

  Scenario: A run whose job would be late after a restart is not preempted
    Given "a" runs "later" of 6 processors, priority 2, with checkpoints
    And its job would be late after a restart
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    Then no run is preempted

  # Urgent steps waited for such runs to end, until their own jobs had expired.
  Scenario: A run whose job would be late is preempted for a step that cannot wait for its end
    Given "a" runs "later" of 6 processors, priority 2, with checkpoints
    And its job would be late after a restart
    And a waiting step "urgent" of 1 task of 9 processors, priority 1, submitted 1 seconds ago
    When a placement pass runs
    Then "later" is preempted for "urgent"

  Scenario: A run that is about to end is not preempted
    Given "a" runs "later" of 6 processors, priority 2, with checkpoints
    And it ends in 0.3 seconds
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    Then no run is preempted
    And "small" of 4 processors, priority 2, submitted now, does not start

  Scenario: The progress of a resumed run does not make it look about to end
    Given "a" runs "later" of 6 processors, priority 2, with checkpoints
    And it resumed from its checkpoint 0.1 seconds ago, at 25 percent
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    Then "later" is preempted for "urgent"

  Scenario: No more runs are preempted than are needed
    Given "a" runs "first" of 4 processors, priority 2, with checkpoints
    And "a" runs "second" of 5 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 5 processors, priority 1
    When a placement pass runs
    Then "first" is preempted for "urgent"

  Scenario: No run is preempted for an expired job
    Given "a" runs "later" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1, submitted 60 seconds ago
    When a placement pass runs
    Then no run is preempted

  Scenario: The capacity of preempted runs is reserved for the step they are preempted for
    Given "a" runs "first" of 4 processors, priority 2, with checkpoints
    And "a" runs "second" of 5 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    And "first" has been stopped
    Given a waiting step "small" of 1 task of 4 processors, priority 2
    When a placement pass runs
    Then "small" starts 0 tasks
    When "second" has been stopped
    And a placement pass runs
    Then "urgent" starts 1 task
    And "small" starts 0 tasks

  Scenario: No run is preempted before the step has a ticket for the worker
    Given 9 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And "a" runs "later" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a placement pass runs
    Then no run is preempted
    When the advice is that "urgent" may run on "a"
    And a placement pass runs
    Then "later" is preempted for "urgent"

  Scenario: A ticket that would expire too early is renewed before a run is preempted
    Given 9 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And "a" runs "other" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When the advice on "urgent" arrived 1.4 seconds ago
    And it ends in 1.8 seconds
    And a placement pass runs
    Then no run is preempted
    And advice on "urgent" and worker "a" is requested
    When the advice is that "urgent" may run on "a"
    And a placement pass runs
    Then "other" is preempted for "urgent"

  Scenario: In random cells the preemptions agree with an exhaustive search
    When preemptions are chosen in 2000 random cells
    Then a preemption is found exactly if an exhaustive search finds one
    And no run is preempted unnecessarily
