Feature: A holder takes a job, or refuses it at once with when to come back

  A cell of 4 workers does 16 jobs a second. Callers come back when they are told to, until the
  outcome would be of no use: three times the objective after their first hand-in.

  Scenario: A burst: what cannot be done in time is not promised
    When 40 jobs a second come for 5 seconds, 16 of which are served
    Then no fewer jobs are on time than without
    And no fewer jobs are of use than without
    And of jobs taken at once less than 5 in 100 of those without come too late
    And less than 2 in 100 of the callers are refused twice in a row

  Scenario: Figures of a burst count the callers who came back on time
    Given a cell that decides about admission
    And 40 jobs a second come to it for 5 seconds
    When 12 seconds pass for its callers
    Then its figures count each return of a caller once, most of them on time

  Scenario: A full cell that empties takes jobs again
    When 40 jobs a second come for 5 seconds, 16 of which are served
    Then a job that comes when the cell is empty again is taken and on time
    And no queue of the cell is told to be closed

  Scenario: Urgent jobs beside more patient ones than are served
    When 4 urgent and 24 patient jobs a second come for 10 seconds
    Then every urgent job is on time
    And no fewer jobs are on time than without
    And no fewer jobs are of use than without
    And of jobs taken at once less than 5 in 100 of those without come too late
    And less than 2 in 100 of the callers are refused twice in a row

  Scenario: A flood of one tenant: what others are owed is on time, and less is promised to the flood
    When two tenants send what they are owed, and a third sends half of all jobs, for 20 seconds
    Then every job of the two tenants is on time
    And of jobs taken at once less than 5 in 100 of those without come too late
    And less than 2 in 100 of the callers are refused twice in a row

  Scenario: In a flood of one tenant only its jobs beyond its share are told to be refused
    Given a cell of tenants that decides about admission, one of which floods
    When 12 seconds pass for its callers
    Then its summary closes the queue for the flooding tenant alone
    And refusals are logged with all their inputs, and with when the queue closed
    When 30 seconds pass for its callers
    Then it is logged that the queue is open again

  Scenario: In a burst beyond what is served the queue is told to be closed for everybody
    Given a cell that decides about admission
    And 60 jobs a second come to it for 8 seconds
    When 6 seconds pass for its callers
    Then its summary closes the queue for everybody, for no longer than 30 seconds

  Scenario: A queue that was closed opens once workers stand free, also where no new job asks
    Given a cell that decides about admission
    And 60 jobs a second come to it for 4 seconds
    And a queue that is closed is told to be so for 30 seconds, and nobody reaches its holder
    When 14 seconds pass for its callers
    Then no queue of the cell is closed any more

  Scenario: A holder that is killed in a burst
    Given a cell that decides about admission
    And 40 jobs a second come to it for 6 seconds
    When its holder is killed 4 seconds later
    Then its successor refuses nothing before it knows what waits
    And no promise of the cell is broken

  Scenario: A holder that has not heard of all workers yet refuses nothing, and tells nothing
    Given a cell that decides about admission
    And the whole list of its workers has not come yet
    And 60 jobs a second come to it for 6 seconds
    When 6 seconds pass for its callers
    Then nobody was refused, and nothing is told of its queues

  Scenario: A store that is away in a burst: those refused come back over the seconds after it
    Given a cell that decides about admission
    And 16 jobs a second come to it for 8 seconds
    And 8 urgent jobs a second come to it for 8 seconds
    When the store is away from second 2 to second 5
    And 4 seconds pass for its callers
    Then those refused meanwhile are told at least 3 different whole seconds
    And the urgent are told to come back sooner than the others
    And no promise of the cell is broken

  Scenario: A flood while the store is away is no more owed to its tenant when it comes back
    Given a cell of tenants that decides about admission, one of which floods
    When the store is away from second 2 to second 4
    Then the flood's jobs that were refused meanwhile are owed no more than the weight of its tenant

  Scenario: A job whose append was never sent keeps its first hand-in when the store takes it back
    Given a cell that decides about admission
    When a job that was refused once is taken, and the store is in trouble before its append is sent
    Then its first hand-in is remembered as before

  Scenario: A holder that knows no load tells everyone a second of use while the store is away
    Given a cell that decides about admission
    And the whole list of its workers has not come yet
    And 300 jobs a second come to it for 3 seconds
    When the store is away from second 0.5 to second 2.5
    Then each of them is told to come back while it can still be of use

  Scenario: Callers who return after an outage of the store do not come all at once
    When the store is away for 3 seconds while 12 jobs a second come
    Then at most 0.8 times as many come back in one second as without
    And no fewer jobs are of use than without

  Scenario: More jobs than are served, with drawn faults
    When more jobs than are served are played over seeds 1 to 6 with drawn faults
    Then jobs were refused, and no promise is broken in any of them

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

  Scenario: A job whose estimate is beyond measure keeps out nobody who comes after it
    Given a cell whose workers are all taken for 4 seconds by what waits
    And a job of one processor whose estimate is 1000000000 seconds waits before it
    Then a job of 12 seconds of use, beyond the share of its tenant, is "taken"

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

  Scenario: Nothing is refused that workers which stand free could run
    When jobs are handed in to drawn cells
    Then none is refused that workers which stand free could run

  Scenario: An urgent job is never refused for less urgent work that waits, or runs and gives way
    When urgent jobs are handed in to drawn cells with less urgent work and without
    Then each is taken in the one where it is taken in the other

  Scenario: Returns are spread over time: no second is promised for more than is served in it
    When refused jobs are told when to come back, with drawn work and waits
    Then no second is kept for more work than is served in it

  Scenario: A decision costs little more the longer the line is
    When a place is looked up in lines of 500 and of 5000 steps
    Then the longer line costs at most 5 comparisons more

  Scenario Outline: What surely is too late is refused, what may be done is taken where it is owed: <ahead>
    Given a cell whose workers are all taken for <ahead> seconds by what waits
    Then a job of 12 seconds of use, owed to its tenant, is "<owed>"
    And a job of 12 seconds of use, beyond the share of its tenant, is "<beyond>"

    Examples:
      | ahead | owed     | beyond   |
      | 4     | taken    | taken    |
      | 8     | taken    | in_doubt |
      | 12    | taken    | in_doubt |
      | 30    | too_late | too_late |

  Scenario: Workers that a new holder has not heard yet may stand free: nothing is surely too late
    Given a cell whose workers are all taken for 30 seconds by what runs
    Then a job of 12 seconds of use, owed to its tenant, is "too_late"
    Given one more worker of 8 processors that was not heard yet
    Then a job of 12 seconds of use, owed to its tenant, is "taken"
    And a job of 12 seconds of use, beyond the share of its tenant, is "in_doubt"

  Scenario: A job that only a worker not heard yet has room for
    Given a cell whose workers are all taken for 0 seconds by what waits
    And one more worker of 64 processors that was not heard yet
    Then a job that is wider than all other workers together is taken

  Scenario: A job that takes all there is waits until that is free, however it was shared out
    When runs of drawn shares end
    Then all is free after the last of them

  Scenario: What is owed and may be on time is taken, whatever late jobs were taken before it
    Given a cell whose workers are taken for 2 seconds, and a late job that must begin as they are free
    Then a job of 12 seconds of use, owed to its tenant, is "taken"

  Scenario: A refused job that comes again takes no mark from its tenant's later jobs
    Given a cell of a tenant with a weight of 0 and one of 8, that decides about admission
    When its gate refuses everything
    Then a job of the first that comes 3 times asks once whether it is owed

  Scenario: Work that is known to take longer than estimated has callers who wait longer
    Given a cell whose workers are all taken for 4 seconds by what waits
    When it is known that tasks take 5 times their estimates
    Then a job of 12 seconds of use, owed to its tenant, is "taken"

  Scenario: What never can run by its tenant's quota is refused
    Given a cell whose workers are all taken for 4 seconds by what waits
    Then a job of a tenant whose quota never has room for it is refused
    And one that no worker has room for today is decided as any other

  Scenario: Memory of refused jobs is bounded, and what is kept for those who stay away is given back
    Given 5000 refused jobs of which the first comes back
    Then no more are remembered than 4096, and the first counts as new
    And what was kept for those who did not come is free again

  Scenario: Refused jobs that are of no more use are forgotten, and one that comes again is new
    Given 20 refused jobs of which none comes back
    When their last use and their seconds are over
    Then none of them is remembered

  Scenario: A job wider than all there is closes its queue to nobody else
    Given a cell whose workers stand free
    When a job of 1000 tasks is refused there
    Then its queue is closed for 0 seconds, as a narrow job of it is taken

  Scenario: More is taken than there is: room comes free only once that is made up for
    Given a quota of which half too much is taken, and half ends after 1 and after 2 seconds
    Then half of it is free after 2 seconds, and none before

  Scenario: A notice names few tenants
    Given a queue that is closed for 50 tenants
    Then its notice names 20 of them, and closes for as long as each of them is
    And nothing is closed once the longest is over

  Scenario: A job that is known is never refused
    Given a cell that decides about admission
    When its gate refuses everything
    Then a job that was taken before has its 2xx again, also one that an append under way has
    And a job that is not known is refused, and decided anew when it comes again

  Scenario: Switched off, nothing of the part is asked
    Given a cell that does not decide about admission
    And nothing of the part can be asked
    And 40 jobs a second come to it for 5 seconds
    When the store is away from second 1 to second 3
    And 8 seconds pass for its callers
    Then its jobs are all taken while the store answers
