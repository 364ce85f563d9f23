Feature: More urgent work makes room for itself

  Runs of later queues give way where nothing comes free soon and stopping them loses next to
  nothing.

  Background:
    Given workers "a" of 10 processors each

  Scenario: A run of a later queue that keeps checkpoints gives way
    Given "a" is at work on "later" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    Then "later" gives way to "urgent"

  Scenario Outline: What stays where it is: <what>
    Given "a" is at work on "other" of 6 processors, priority <priority>, <traits>
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    Then nothing gives way

    Examples:
      | what                       | priority | traits           |
      | a run of the same queue    | 1        | with checkpoints |
      | a run of an earlier queue  | 0        | with checkpoints |
      | work that would be lost    | 2        | without them     |
      | a task that lasts          | 2        | lasting          |

  Scenario: A run whose job would be late for it stays
    Given "a" is at work on "later" of 6 processors, priority 2, with checkpoints
    And its job has no time to lose
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    Then nothing gives way

  Scenario: A run that ends by itself within a moment is waited for
    Given "a" is at work on "later" of 6 processors, priority 2, with checkpoints
    And it has 0.3 seconds to go
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    Then nothing gives way
    And "small" of 4 processors, priority 2, that comes now does not take the room

  Scenario: A run that went on from its checkpoint is not taken to end soon for its progress
    Given "a" is at work on "later" of 6 processors, priority 2, with checkpoints
    And it went on from its checkpoint 0.1 seconds ago, at 25 percent
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    Then "later" gives way to "urgent"

  Scenario: Only as much gives way as is needed
    Given "a" is at work on "first" of 4 processors, priority 2, with checkpoints
    And "a" is at work on "second" of 5 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 5 processors, priority 1
    When a pass of placement is made
    Then "first" gives way to "urgent"

  Scenario: For a job for which nobody waits any more nothing gives way
    Given "a" is at work on "later" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1, handed in 60 seconds ago
    When a pass of placement is made
    Then nothing gives way

  Scenario: The room of what gives way is held for what it gives way to
    Given "a" is at work on "first" of 4 processors, priority 2, with checkpoints
    And "a" is at work on "second" of 5 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    And "first" has been stopped
    Given a waiting step "small" of 1 task of 4 processors, priority 2
    When a pass of placement is made
    Then "small" starts 0 tasks
    When "second" has been stopped
    And a pass of placement is made
    Then "urgent" starts 1 task
    And "small" starts 0 tasks

  Scenario: Nothing gives way before there is a ticket for the room
    Given 9 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And "a" is at work on "later" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When a pass of placement is made
    Then nothing gives way
    When the advice is that "urgent" may run on "a"
    And a pass of placement is made
    Then "later" gives way to "urgent"

  Scenario: A ticket that would not last is asked for anew before anything gives way
    Given 9 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And "a" is at work on "other" of 6 processors, priority 2, with checkpoints
    And a waiting step "urgent" of 1 task of 9 processors, priority 1
    When the advice on "urgent" has come, 1.4 seconds ago
    And it has 1.8 seconds to go
    And a pass of placement is made
    Then nothing gives way
    And advice on "urgent" and "a" is asked for
    When the advice is that "urgent" may run on "a"
    And a pass of placement is made
    Then "other" gives way to "urgent"

  Scenario: Whatever the cell looks like, a naive search finds no room that we do not
    When preemption is chosen in 2000 random cells
    Then it is found just where trying every set of runs finds one
    And no run gives way that need not
