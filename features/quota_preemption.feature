Feature: Preemption within a tenant's quota

  A tenant's quota that its own less urgent runs hold is given to its urgent steps: these runs are
  preempted by the same rules as on a full worker.

  Background:
    Given workers "a" of 20 processors each
    And a quota of 4 processors for tenant "one"
    And a quota of 4 processors for tenant "two"

  Scenario: A less urgent run of the same tenant is preempted
    Given tenant "one" runs "later" of 4 processors, priority 2, with checkpoints
    And tenant "one" waits with "urgent" of 3 processors, priority 1
    When a placement pass runs
    Then "later" is preempted for "urgent"

  Scenario Outline: Runs that are not preempted for a quota - <what>
    Given tenant "<tenant>" runs "other" of 4 processors, priority <priority>, <traits>
    And tenant "one" runs "first" of 4 processors, priority 2, without checkpoints
    And tenant "one" waits with "urgent" of 3 processors, priority 1
    When a placement pass runs
    Then no run is preempted

    Examples:
      | what                          | tenant | priority | traits              |
      | a run of another tenant       | two    | 2        | with checkpoints    |
      | a run of the same queue       | one    | 1        | with checkpoints    |
      | a run that would lose work    | one    | 2        | without checkpoints |

  Scenario Outline: Steps for which no run is preempted - <what>
    Given tenant "one" runs "later" of 4 processors, priority 2, with checkpoints
    And tenant "one" waits with "urgent" of 3 processors, priority 1, <what>
    When a placement pass runs
    Then no run is preempted

    Examples:
      | what                   |
      | over its share         |
      | for 60 seconds already |

  Scenario Outline: A run whose job would be late is preempted if the step cannot wait - <age> s old
    Given tenant "one" runs "later" of 4 processors, priority 2, with checkpoints
    And the job of "later" would be late after a restart
    And tenant "one" waits with "urgent" of 3 processors, priority 1, for <age> seconds already
    When a placement pass runs
    Then <count> different runs are preempted

    Examples:
      | age | count |
      | 0   | 0     |
      | 1   | 1     |

  Scenario: A run that is being stopped is enough
    Given tenant "one" runs "first" of 2 processors, priority 2, with checkpoints
    And tenant "one" runs "second" of 2 processors, priority 2, with checkpoints
    And tenant "one" waits with "urgent" of 2 processors, priority 1
    When a placement pass runs
    Then "first" is preempted for "urgent"
    When "first" is being stopped
    And a placement pass runs
    Then no run is preempted

  Scenario: Two steps have two runs preempted
    Given tenant "one" runs "first" of 2 processors, priority 2, with checkpoints
    And tenant "one" runs "second" of 2 processors, priority 2, with checkpoints
    And tenant "one" waits with "urgent" of 2 processors, priority 1
    And tenant "one" waits with "urgent too" of 2 processors, priority 1
    When a placement pass runs
    Then 2 different runs are preempted

  Scenario: Freed quota is held for a step that waits for advice, for a limited time
    Given 9 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And tenant "one" runs "later" of 4 processors, priority 2, with checkpoints
    And tenant "one" waits with "urgent" of 3 processors, priority 1
    And tenant "one" waits with "small" of 2 processors, priority 2
    When a placement pass runs
    And "later" has been stopped
    And a placement pass runs
    Then advice on "urgent" and worker "a" is requested
    And no advice on "small" is requested
    When 3 seconds pass, and a placement pass runs
    And the advice is that "small" may run on "a"
    And a placement pass runs
    Then "small" starts 1 task

  # Each waiting step looked through all runs of its tenant, so a pass took seconds.
  Scenario Outline: The cost of a pass does not grow with the steps that wait for a quota - <traits>
    Given tenant "one" runs "later" of 4 processors, priority 2, <traits>
    And tenant "one" waits with 100 steps of 1 processor, priority 1
    When a placement pass runs
    Then the runs of the tenant were looked through at most 3 times

    Examples:
      | traits              |
      | with checkpoints    |
      | without checkpoints |
