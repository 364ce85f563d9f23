Feature: Choosing which waiting tasks start, and on which workers

  The placer is a pure function of the free capacity of workers, the waiting steps and the advice,
  so these scenarios run without a cluster.

  Background:
    Given workers "a", "b" and "c" of 10 processors each

  Scenario: Steps of urgent queues start before others
    Given a waiting step "old" of 3 tasks of 9 processors, priority 1
    And a waiting step "urgent" of 1 task of 9 processors, priority 0
    When a placement pass runs
    Then "urgent" starts 1 task
    And "old" starts 2 tasks

  Scenario: Jobs that can meet their objective start before jobs that can only be late
    Given a waiting step "late" of 2 tasks of 9 processors, priority 1, submitted 5 seconds ago
    And a waiting step "fresh" of 2 tasks of 9 processors, priority 1, submitted 0 seconds ago
    When a placement pass runs
    Then "fresh" starts 2 tasks
    And "late" starts 1 task

  Scenario: Among jobs that can meet their objective, the one with the least slack starts first
    Given a waiting step "patient" of 2 tasks of 9 processors, priority 1, submitted 0.5 seconds ago
    And a waiting step "pressing" of 2 tasks of 9 processors, priority 1, submitted 2 seconds ago
    When a placement pass runs
    Then "pressing" starts 2 tasks
    And "patient" starts 1 task

  Scenario: Expired jobs start last, but they do start
    Given a waiting step "expired" of 1 task of 9 processors, priority 1, submitted 60 seconds ago
    And a waiting step "late" of 2 tasks of 9 processors, priority 1, submitted 5 seconds ago
    When a placement pass runs
    Then "late" starts 2 tasks
    And "expired" starts 1 task

  Scenario: A gang starts with all its members or not at all
    Given a waiting gang "gang" of 4 tasks of 6 processors, priority 1
    When a placement pass runs
    Then "gang" starts 0 tasks

  Scenario: Steps behind a waiting gang do not use the capacity that it waits for
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    And a waiting step "small" of 5 tasks of 2 processors, priority 2
    When a placement pass runs
    Then "gang" starts 0 tasks
    And "small" starts 2 tasks
    When the task on "a" has ended
    And a placement pass runs
    Then "gang" starts 3 tasks

  Scenario: A reservation stays in passes that do not evaluate the gang again
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    Given a waiting step "small" of 5 tasks of 2 processors, priority 2
    When a placement pass runs
    Then "small" starts 2 tasks

  Scenario: A more urgent step uses capacity that is reserved for a gang
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    Given a waiting step "urgent" of 2 tasks of 9 processors, priority 0
    When a placement pass runs
    Then "urgent" starts 2 tasks

  Scenario: A reservation is released when the gang no longer waits
    Given "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    And a waiting step "small" of 5 tasks of 2 processors, priority 2
    When a placement pass runs
    Then "small" starts 2 tasks
    When "gang" no longer waits
    And a placement pass runs
    Then "small" starts 3 tasks

  Scenario: A gang that does not fit into the empty cell reserves nothing
    Given a waiting gang "gang" of 4 tasks of 8 processors, priority 1
    And a waiting step "small" of 3 tasks of 9 processors, priority 2
    When a placement pass runs
    Then "small" starts 3 tasks

  Scenario: Not every waiting gang may reserve capacity
    Given "a" runs a task of 10 processors
    And a waiting gang "first" of 3 tasks of 5 processors, priority 1
    And a waiting gang "huge" of 3 tasks of 10 processors, priority 1
    And a waiting step "small" of 3 tasks of 4 processors, priority 2
    When a placement pass runs
    Then "first" starts 3 tasks
    And "huge" starts 0 tasks
    And "small" starts 1 task

  Scenario: A same-rack gang waits for capacity in one rack
    Given workers "d" and "e" of 10 processors each in rack "two"
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting same-rack gang "near" of 2 tasks of 8 processors, priority 1
    When a placement pass runs
    Then "near" starts 2 tasks
    And they are on "d" and "e"

  Scenario: A same-rack gang starts across racks after a limited wait
    Given workers "d" of 10 processors each in rack "two"
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting same-rack gang "near" of 2 tasks of 8 processors, priority 1
    When a placement pass runs
    Then "near" starts 0 tasks
    When 3 seconds pass before a placement pass
    Then "near" starts 2 tasks

  Scenario: A gang asks about every worker at once, in parallel calls
    Given 90 more workers of 10 processors each
    And 3 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And a waiting gang "gang" of 4 tasks of 8 processors, priority 1
    When a placement pass runs
    Then 2 advice calls are sent, about 93 workers

  Scenario: Tickets are renewed for a gang that has most of its capacity
    Given 3 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And the advice is that every worker suits "gang" for 1500 ms
    And 1.2 seconds pass before a placement pass
    Then 1 advice call is sent, about 2 workers

  Scenario: Tickets are not renewed for a gang that lacks most of its capacity
    Given 3 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And the advice is that every worker suits "gang" for 1500 ms
    And 1.2 seconds pass before a placement pass
    Then 0 advice calls are sent

  Scenario: A gang that lacks capacity asks about workers that became available
    Given 3 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And the advice is that no worker suits "gang"
    Given workers "d" of 10 processors each in rack "two"
    When a placement pass runs
    Then 1 advice call is sent, about 1 workers

  Scenario: A gang uses a worker on trial again after a while, even if nothing else ran on it
    Given "a" failed the runs of 2 jobs
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When 2 seconds pass before a placement pass
    Then "gang" starts 0 tasks
    When 4 seconds pass before a placement pass
    Then "gang" starts 3 tasks

  Scenario: A gang that has most of its capacity also asks about workers that became available
    Given 3 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And "a" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And the advice is that every worker suits "gang" for 1500 ms
    Given workers "d" of 10 processors each in rack "two"
    When 1.2 seconds pass before a placement pass
    Then 1 advice call is sent, about 3 workers

  Scenario: A same-rack gang is evaluated again although nothing has changed
    Given workers "d" of 10 processors each in rack "two"
    And "a" runs a task of 10 processors
    And "b" runs a task of 10 processors
    And a waiting same-rack gang "near" of 2 tasks of 8 processors, priority 1
    When a placement pass runs
    Then "near" starts 0 tasks
    When 3 seconds pass without a notification before a placement pass
    Then "near" starts 2 tasks
    And only the periodic sweep found "near"

  Scenario: A gang is evaluated again once the trial of a worker is over
    Given "a" failed the runs of 2 jobs
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And 2 seconds pass without a notification before a placement pass
    Then "gang" starts 0 tasks
    When 4 seconds pass without a notification before a placement pass
    Then "gang" starts 3 tasks

  Scenario: Short advice calls avoid the entries that long advice calls use
    Given 20 entries that make advice calls, each taking 600 ms plus 9 ms per worker
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    Then the advice call for "gang" uses none of the first 11 entries
    Given an advice call takes 10 ms plus 1 ms per worker
    And 5 waiting steps of 1 task of 8 processors, priority 0
    When a placement pass runs
    Then their advice calls use the first 5 entries, one entry each

  Scenario: A short call without an answer is retried at another entry, and its late answer counts
    Given 20 entries that make advice calls, each taking 10 ms plus 1 ms per worker
    And a waiting step "urgent" of 1 task of 8 processors, priority 0
    When a placement pass runs
    And 0.36 seconds pass without a notification before a placement pass
    And 0.11 seconds pass without a notification before a placement pass
    Then the advice call for "urgent" uses another entry
    When the first call is answered with tickets for every worker, valid for 1500 ms
    And a placement pass runs
    Then "urgent" starts 1 task

  Scenario: A gang that lacks most of its capacity limits its calls about single new workers
    Given 3 entries that make advice calls, each taking 500 ms plus 10 ms per worker
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And the advice is that no worker suits "gang"
    Given workers "d" of 10 processors each in rack "two"
    When a placement pass runs
    Then 1 advice call is sent, about 1 workers
    When the advice is that no worker suits "gang"
    Given workers "e" of 10 processors each in rack "two"
    When a placement pass runs
    Then 0 advice calls are sent
    When 3.1 seconds pass without a notification before a placement pass
    Then 1 advice call is sent, about 1 workers

  Scenario: Runs are preempted for a gang that waits with a reservation, and it starts afterwards
    Given "a" runs a checkpointing task of 10 processors, priority 2
    And "b" runs a checkpointing task of 10 processors, priority 2
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    Then no run is preempted for a gang
    When 1.1 seconds pass without a notification before a placement pass
    Then 2 runs are preempted for the gang
    When 0.1 seconds pass without a notification before a placement pass
    Then no run is preempted for a gang
    When the preempted runs have ended, and a placement pass runs
    Then "gang" starts 3 tasks

  Scenario: No run is preempted for a gang that could not start even then
    Given "a" runs a checkpointing task of 10 processors, priority 2
    And "b" runs a task of 10 processors
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And 1.1 seconds pass without a notification before a placement pass
    Then no run is preempted for a gang

  Scenario: No run is preempted for a gang that would be late even then
    Given "a" runs a checkpointing task of 10 processors, priority 2
    And "b" runs a checkpointing task of 10 processors, priority 2
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    And 1.7 seconds pass without a notification before a placement pass
    Then no run is preempted for a gang

  Scenario: A gang uses few workers, because the loss of any worker aborts it
    Given workers "d" of 30 processors each in rack "one"
    And a waiting gang "gang" of 3 tasks of 8 processors, priority 1
    When a placement pass runs
    Then "gang" starts 3 tasks
    And "gang" runs on 1 worker

  Scenario: A task that must run apart from others of its step asks about other workers
    Given 3 entries that make advice calls, each taking 10 ms plus 1 ms per worker
    And a waiting step "spread" of 2 tasks of 2 processors, priority 1, at most 1 on a worker
    When a placement pass runs
    And the advice is that every worker suits "spread" for 1500 ms
    And a placement pass runs
    Then "spread" starts 2 tasks
    When 2 seconds pass, and the second task of "spread" has ended without success
    And a placement pass runs
    Then the advice call for "spread" names no worker that runs one of its tasks
