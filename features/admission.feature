Feature: A holder takes a job, or refuses it at once with when to come back

  A cell of 4 workers does 16 jobs a second. Callers come back when they are told to, until the
  outcome would be of no use: three times the objective after their first hand-in.

  Scenario: A burst: what cannot be done in time is not promised
    When 40 jobs a second come for 5 seconds, 16 of which are served
    Then no fewer jobs are on time than without
    And of jobs taken at once less than 50 in 100 of those without come too late
    And less than 5 in 100 of the callers are refused twice in a row

  Scenario: A full cell that empties takes jobs again
    When 40 jobs a second come for 5 seconds, 16 of which are served
    Then a job that comes when the cell is empty again is taken and on time
    And no queue of the cell is told to be closed

  Scenario: Urgent jobs beside more patient ones than are served
    When 4 urgent and 24 patient jobs a second come for 10 seconds
    Then every urgent job is on time
    And no fewer jobs are on time than without
    And of jobs taken at once less than 20 in 100 of those without come too late
    And less than 5 in 100 of the callers are refused twice in a row

  Scenario: A flood of one tenant: what others are owed is on time, and less is promised to the flood
    When two tenants send what they are owed, and a third sends half of all jobs, for 20 seconds
    Then every job of the two tenants is on time
    And of jobs taken at once less than 20 in 100 of those without come too late
    And less than 5 in 100 of the callers are refused twice in a row

  Scenario: A holder that is killed in a burst
    Given a cell that decides about admission
    And 40 jobs a second come to it for 6 seconds
    When its holder is killed 4 seconds later
    Then its successor refuses nothing before it knows what waits
    And no promise of the cell is broken

  Scenario: A store that is away in a burst: those refused come back over the seconds after it
    Given a cell that decides about admission
    And 16 jobs a second come to it for 8 seconds
    And 8 urgent jobs a second come to it for 8 seconds
    When the store is away from second 2 to second 5
    And 4 seconds pass for its callers
    Then those refused meanwhile are told at least 3 different whole seconds
    And the urgent are told to come back sooner than the others
    And no promise of the cell is broken

  Scenario: Switched off, those refused while the store is away are told 1 second as before
    Given a cell that does not decide about admission
    And 30 jobs a second come to it for 8 seconds
    When the store is away from second 2 to second 5
    And 4 seconds pass for its callers
    Then all who were refused were told 1 second
    And no promise of the cell is broken

  Scenario: Estimates of nothing, of little, and beyond measure
    Given a cell that decides about admission
    And 30 jobs a second come to it for 4 seconds
    When 3 seconds pass for its callers
    And jobs with estimates of 0, 1, 1000000000000 ms are handed in there
    Then each of them is answered, and those that are taken are done

  Scenario: The part is switched on and off in a burst
    Given a cell that decides about admission
    And 40 jobs a second come to it for 5 seconds
    When the part is switched on and off every 0.3 seconds for 6 seconds
    Then no promise of the cell is broken

  Scenario: A tenant without weight, that goes while its jobs wait
    Given a cell of a tenant with a weight of 0 and one of 8, that decides about admission
    And 12 jobs a second of each come to it for 5 seconds
    When the tenant with a weight of 0 goes 3 seconds later
    Then no promise of the cell is broken
