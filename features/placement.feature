Feature: Which waiting tasks start, and where

  The placer is a pure function: workers with room, steps in order, advice. Nothing of this needs
  a cluster.

  Background:
    Given workers "a", "b" and "c" of 10 processors each

  Scenario: Urgent queues go first, then older jobs
    Given a waiting step "old" of 3 tasks of 9 processors, priority 1
    And a waiting step "urgent" of 1 task of 9 processors, priority 0
    When a pass of placement is made
    Then "urgent" starts 1 task
    And "old" starts 2 tasks

  Scenario: Jobs that can be on time go before those that can only be late
    Given a waiting step "late" of 2 tasks of 9 processors, priority 1, handed in 5 seconds ago
    And a waiting step "fresh" of 2 tasks of 9 processors, priority 1, handed in 0 seconds ago
    When a pass of placement is made
    Then "fresh" starts 2 tasks
    And "late" starts 1 task

  Scenario: Of those that can be on time, the one that can wait least goes first
    Given a waiting step "patient" of 2 tasks of 9 processors, priority 1, handed in 0.5 seconds ago
    And a waiting step "pressing" of 2 tasks of 9 processors, priority 1, handed in 2 seconds ago
    When a pass of placement is made
    Then "pressing" starts 2 tasks
    And "patient" starts 1 task

  Scenario: Jobs for which nobody waits any more go last, but they go
    Given a waiting step "expired" of 1 task of 9 processors, priority 1, handed in 60 seconds ago
    And a waiting step "late" of 2 tasks of 9 processors, priority 1, handed in 5 seconds ago
    When a pass of placement is made
    Then "late" starts 2 tasks
    And "expired" starts 1 task

  Scenario: A gang starts whole or not at all
    Given a waiting gang "gang" of 4 tasks of 6 processors, priority 1
    When a pass of placement is made
    Then "gang" starts 0 tasks

  Scenario: What comes after a waiting gang does not take the room that it waits for
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    And a waiting step "small" of 5 tasks of 2 processors, priority 2
    When a pass of placement is made
    Then "gang" starts 0 tasks
    And "small" starts 2 tasks
    When the task on "a" has ended
    And a pass of placement is made
    Then "gang" starts 3 tasks

  Scenario: The room is held in passes that do not look at the gang again
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    Given a waiting step "small" of 5 tasks of 2 processors, priority 2
    When a pass of placement is made
    Then "small" starts 2 tasks

  Scenario: What is more urgent takes the room all the same
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    Given a waiting step "urgent" of 2 tasks of 9 processors, priority 0
    When a pass of placement is made
    Then "urgent" starts 2 tasks

  Scenario: Held room is given back when the gang waits no longer
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    And a waiting step "small" of 5 tasks of 2 processors, priority 2
    When a pass of placement is made
    Then "small" starts 2 tasks
    When "gang" waits no longer
    And a pass of placement is made
    Then "small" starts 3 tasks

  Scenario: A gang that no empty cell could hold keeps nothing from others
    Given a waiting gang "gang" of 4 tasks of 8 processors, priority 1
    And a waiting step "small" of 3 tasks of 9 processors, priority 2
    When a pass of placement is made
    Then "small" starts 3 tasks

  Scenario: Of several waiting gangs only some hold room
    Given "a" runs a task of 10 processors
    And a waiting gang "first" of 3 tasks of 5 processors, priority 1
    And a waiting gang "huge" of 3 tasks of 10 processors, priority 1
    And a waiting step "small" of 3 tasks of 4 processors, priority 2
    When a pass of placement is made
    Then "first" starts 3 tasks
    And "huge" starts 0 tasks
    And "small" starts 1 task

  Scenario: A gang that is slow over several racks waits for one
    Given workers "d" and "e" of 10 processors each in rack "two"
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting gang of one rack "near" of 2 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then "near" starts 2 tasks
    And they are on "d" and "e"

  Scenario: It does not wait for one rack for ever
    Given workers "d" of 10 processors each in rack "two"
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting gang of one rack "near" of 2 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then "near" starts 0 tasks
    When 3 seconds pass before a pass of placement
    Then "near" starts 2 tasks

  Scenario: A gang asks about every worker at once, in calls side by side
    Given 90 more workers of 10 processors each
    And 3 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And a waiting gang "gang" of 4 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then 2 calls for advice go out, about 93 workers

  Scenario: Tickets are renewed for a gang that has most of its room
    Given 3 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And advice says that every worker is good for "gang" for 1500 ms
    And 1.2 seconds pass before a pass of placement
    Then 1 call for advice goes out, about 2 workers

  Scenario: None are asked for while most of its room is missing
    Given 3 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And advice says that every worker is good for "gang" for 1500 ms
    And 1.2 seconds pass before a pass of placement
    Then 0 calls for advice go out

  Scenario: A gang asks about workers that came into use since, while it lacks room
    Given 3 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And advice says that no worker is good for "gang"
    Given workers "d" of 10 processors each in rack "two"
    When a pass of placement is made
    Then 1 call for advice goes out, about 1 workers

  Scenario: A gang is not kept for ever from a worker on which nothing else is tried
    Given "a" failed the runs of 2 jobs
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When 2 seconds pass before a pass of placement
    Then "gang" starts 0 tasks
    When 4 seconds pass before a pass of placement
    Then "gang" starts 3 tasks

  Scenario: A gang that has most of its room asks about workers that came into use, too
    Given 3 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And advice says that every worker is good for "gang" for 1500 ms
    Given workers "d" of 10 processors each in rack "two"
    When 1.2 seconds pass before a pass of placement
    Then 1 call for advice goes out, about 3 workers

  Scenario: A gang of one rack is looked at again though nothing has changed
    Given workers "d" of 10 processors each in rack "two"
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting gang of one rack "near" of 2 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then "near" starts 0 tasks
    When 3 seconds pass, of which nothing is told, before a pass of placement
    Then "near" starts 2 tasks
    And only the sweep found "near"

  Scenario: A gang kept from a worker on trial is looked at again once the trial is over
    Given "a" failed the runs of 2 jobs
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And 2 seconds pass, of which nothing is told, before a pass of placement
    Then "gang" starts 0 tasks
    When 4 seconds pass, of which nothing is told, before a pass of placement
    Then "gang" starts 3 tasks

  Scenario: Short calls for advice leave entries alone that another holder's long ones use
    Given 20 entries that ask for advice, which takes 600 ms and 9 ms a worker
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then the call for advice on "gang" goes through none of the first 11 entries
    Given the advice takes 10 ms and 1 ms a worker
    And 5 waiting steps of 1 task of 8 processors, priority 0
    When a pass of placement is made
    Then their calls for advice go through the first 5 entries, one each

  Scenario: A short call that is not answered is soon asked elsewhere, and its answer counts though late
    Given 20 entries that ask for advice, which takes 10 ms and 1 ms a worker
    And a waiting step "urgent" of 1 task of 8 processors, priority 0
    When a pass of placement is made
    And 0.36 seconds pass, of which nothing is told, before a pass of placement
    And 0.11 seconds pass, of which nothing is told, before a pass of placement
    Then the call for advice on "urgent" goes through another entry
    When the first call is answered, that every worker is good for 1500 ms
    And a pass of placement is made
    Then "urgent" starts 1 task

  Scenario: While most of its room is missing, a gang asks about single workers only now and then
    Given 3 entries that ask for advice, which takes 500 ms and 10 ms a worker
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And advice says that no worker is good for "gang"
    Given workers "d" of 10 processors each in rack "two"
    When a pass of placement is made
    Then 1 call for advice goes out, about 1 workers
    When advice says that no worker is good for "gang"
    Given workers "e" of 10 processors each in rack "two"
    When a pass of placement is made
    Then 0 calls for advice go out
    When 3.1 seconds pass, of which nothing is told, before a pass of placement
    Then 1 call for advice goes out, about 1 workers

  Scenario: Others give way to a gang that has held room in vain, and it starts once they have
    Given "a" runs a task with checkpoints of 10 processors, priority 2
    And "b" runs a task with checkpoints of 10 processors, priority 2
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then nothing gives way to a gang
    When 1.1 seconds pass, of which nothing is told, before a pass of placement
    Then 2 runs give way to the gang
    When 0.1 seconds pass, of which nothing is told, before a pass of placement
    Then nothing gives way to a gang
    When they have ended, and a pass of placement is made
    Then "gang" starts 3 tasks

  Scenario: Nothing gives way to a gang that could not start all the same
    Given "a" runs a task with checkpoints of 10 processors, priority 2
    And "b" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And 1.1 seconds pass, of which nothing is told, before a pass of placement
    Then nothing gives way to a gang

  Scenario: Nothing gives way to a gang that would be late all the same
    Given "a" runs a task with checkpoints of 10 processors, priority 2
    And "b" runs a task with checkpoints of 10 processors, priority 2
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    And 1.7 seconds pass, of which nothing is told, before a pass of placement
    Then nothing gives way to a gang

  Scenario: A gang goes to few workers, because the loss of any of them breaks it off
    Given workers "d" of 30 processors each in rack "one"
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a pass of placement is made
    Then "gang" starts 3 tasks
    And "gang" runs on 1 worker

  Scenario: A task that may not join the others on their worker asks about another one
    Given 3 entries that ask for advice, which takes 10 ms and 1 ms a worker
    And a waiting step "spread" of 2 tasks of 2 processors, priority 1, at most 1 on a worker
    When a pass of placement is made
    And advice says that every worker is good for "spread" for 1500 ms
    And a pass of placement is made
    Then "spread" starts 2 tasks
    When 2 seconds pass, and the second task of "spread" has ended without success
    And a pass of placement is made
    Then the call for advice on "spread" names no worker that runs a task of it
