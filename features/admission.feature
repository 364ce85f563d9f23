Feature: A holder admits a job, or refuses it at once with a retry time

  A cell of 4 workers can serve 16 jobs per second. Refused callers retry at the time they are
  given, until the job expires: three objectives after its first submission. A job with an estimate
  of 2 seconds expires after 12 seconds.

  Scenario: In a burst, jobs that cannot finish in time are not admitted
    When 40 jobs per second are submitted for 5 seconds, and 16 can be served
    Then no fewer jobs meet their objective than without admission control
    And no fewer jobs finish before they expire than without admission control
    And fewer jobs admitted at once expire than 5 % of those without admission control
    And less than 2 % of the callers are refused more than once

  Scenario: Metrics of a burst count the timely retries
    Given a cell with admission control
    And 40 jobs per second are submitted to it for 5 seconds
    When the cell runs for 12 seconds
    Then its metrics count each retry once, and most retries as on time

  Scenario: An overloaded cell that becomes idle admits jobs again
    When 40 jobs per second are submitted for 5 seconds, and 16 can be served
    Then a job that is submitted to the idle cell is admitted and meets its objective
    And the summary of the cell names no closed queue

  Scenario: Urgent jobs with more patient jobs than can be served
    When 4 urgent and 24 patient jobs per second arrive for 10 seconds
    Then every urgent job meets its objective
    And no fewer jobs meet their objective than without admission control
    And no fewer jobs finish before they expire than without admission control
    And fewer jobs admitted at once expire than 5 % of those without admission control
    And less than 2 % of the callers are refused more than once

  Scenario: In a flood by one tenant, jobs of other tenants within their share meet their objective
    When two tenants submit their fair share, and a third submits half of all jobs, for 20 seconds
    Then every job of the two tenants meets its objective
    And fewer jobs admitted at once expire than 5 % of those without admission control
    And less than 2 % of the callers are refused more than once

  Scenario: In a flood by one tenant, the queue is closed only for that tenant
    Given a cell with admission control and three tenants, one of which floods it
    When the cell runs for 12 seconds
    Then its summary closes the queue only for the flooding tenant
    And each refusal is logged with its inputs, and the closure of the queue is logged
    When the cell runs for 30 seconds
    Then the reopening of the queue is logged

  Scenario: In a burst beyond the capacity, the queue is closed for all tenants
    Given a cell with admission control
    And 60 jobs per second are submitted to it for 8 seconds
    When the cell runs for 6 seconds
    Then its summary closes the queue for all tenants, for at most 30 seconds

  Scenario: A closed queue reopens once workers are idle, even if no new job is submitted
    Given a cell with admission control
    And 60 jobs per second are submitted to it for 4 seconds
    And every closure lasts 30 seconds, and no call reaches the holder after a refusal
    When the cell runs for 14 seconds
    Then no queue of the cell is closed any more

  Scenario: The holder is killed in a burst
    Given a cell with admission control
    And 40 jobs per second are submitted to it for 6 seconds
    When its holder is killed 4 seconds later
    Then the next holder refuses no job before it knows the waiting jobs
    And the audit finds no violation, and every accepted job is done

  Scenario: A holder that does not know all workers yet refuses no job and sends no summary
    Given a cell with admission control
    And its holder has not received the full list of workers yet
    And 60 jobs per second are submitted to it for 6 seconds
    When the cell runs for 6 seconds
    Then no job was refused, and there is no summary of its queues

  Scenario: The store is unreachable in a burst: the refused jobs' retries are spread over time
    Given a cell with admission control
    And 16 jobs per second are submitted to it for 8 seconds
    And 8 urgent jobs per second are submitted to it for 8 seconds
    When the store is unreachable from second 2 to second 5
    And the cell runs for 4 seconds
    Then the jobs refused meanwhile get at least 3 different retry times in whole seconds
    And urgent jobs get shorter retry times on average than the others
    And the audit finds no violation, and every accepted job is done

  Scenario: Jobs flooded while the store is unreachable don't raise the tenant's fair share
    Given a cell with admission control and three tenants, one of which floods it
    When the store is unreachable from second 2 to second 4
    Then of the flooding tenant's refused jobs, no more are entitled than its weight allows

  Scenario: A job withdrawn before its append was sent keeps the time of its first submission
    Given a cell with admission control
    When a job that was refused once is submitted, and the store fails before its append is sent
    Then the time of its first submission is still remembered

  Scenario: A holder that does not know its load gives useful retry times while the store is unreachable
    Given a cell with admission control
    And its holder has not received the full list of workers yet
    And 300 jobs per second are submitted to it for 3 seconds
    When the store is unreachable from second 0.5 to second 2.5
    Then each of them gets a retry time at which it can still finish before it expires

  Scenario: Callers refused during a store outage don't all retry at once
    When the store is unreachable for 3 seconds while 12 jobs per second are submitted
    Then at most 0.8 times as many callers retry in one second as without admission control
    And no fewer jobs finish before they expire than without admission control

  # Urgent callers were sent back behind less urgent ones, and more of them expired.
  Scenario: Urgent callers refused during a store outage are not delayed by less urgent ones
    When the store is unreachable for 3 seconds while 8 urgent jobs per second are submitted
    Then the urgent callers get the same retry times as beside 16 normal jobs per second
    And as many urgent jobs finish before they expire

  Scenario: An overload with random faults
    When an overload with random faults is simulated with seeds 1 to 6
    Then jobs were refused, and the audit finds no violation in any simulation

  Scenario: With admission control off, every job refused during a store outage is retried after 1 second
    Given a cell without admission control
    And 30 jobs per second are submitted to it for 8 seconds
    When the store is unreachable from second 2 to second 5
    And the cell runs for 4 seconds
    Then every refused job got a retry time of 1 second
    And the audit finds no violation, and every accepted job is done

  Scenario: Zero, small and excessive estimates
    Given a cell with admission control
    And 30 jobs per second are submitted to it for 4 seconds
    When the cell runs for 3 seconds
    And jobs with estimates of 0, 1, 1000000000000 ms are submitted to it
    Then each of them is answered, and every accepted one is done

  Scenario: A waiting job with an excessive estimate does not keep later jobs out
    Given a cell with busy workers and 4 seconds of waiting work
    And a waiting job of one processor with an estimate of 1000000000 seconds
    Then a job with an estimate of 2 seconds, over its tenant's share, is "admitted"

  Scenario: Admission control is switched on and off in a burst
    Given a cell with admission control
    And 40 jobs per second are submitted to it for 5 seconds
    When admission control is switched on and off every 0.3 seconds for 6 seconds
    Then the audit finds no violation, and every accepted job is done

  Scenario: A tenant of weight 0 is removed while its jobs wait
    Given a cell with admission control, a tenant of weight 0 and a tenant of weight 8
    And 12 jobs per second of each tenant are submitted to it for 5 seconds
    When the tenant of weight 0 is removed 3 seconds later
    Then the audit finds no violation, and every accepted job is done

  Scenario: No job is refused that idle workers could run
    When jobs are submitted to random cells
    Then no job is refused that idle workers could run

  # Urgent jobs were refused for capacity that less urgent runs give up, and for the time that a stop may take.
  Scenario: An urgent job is never refused for less urgent work that waits, or runs and gives way
    When urgent jobs are submitted to random cells with and without less urgent work
    Then each job that is admitted without the less urgent work is also admitted with it

  # A quota that less urgent runs of the same tenant give up counted as used.
  Scenario: An urgent job is never refused for its tenant's less urgent work in the same quota
    When urgent jobs are submitted to random quotas with and without less urgent work
    Then each job that is admitted without the less urgent work is also admitted with it

  # Capacity that preemption frees counted as taken, so urgent jobs were refused.
  Scenario: Capacity that less urgent runs give up is available to a job within its tenant's share
    Given a cell whose workers run less urgent tasks with checkpoints, and 30 seconds of waiting work
    Then a job with an estimate of 2 seconds, within its tenant's share, is "admitted"
    And a job with an estimate of 2 seconds, over its tenant's share, is "too_late"

  Scenario: Capacity of less urgent runs that don't give way is not available
    Given a cell whose workers run less urgent tasks without checkpoints, and 30 seconds of waiting work
    Then a job with an estimate of 2 seconds, within its tenant's share, is "too_late"

  # What was admitted within the last fraction of a second counted, however urgent it was.
  Scenario Outline: Less urgent jobs admitted just before keep no capacity from a job - <traits>
    Given a cell with idle workers and 30 seconds of waiting work
    When less urgent jobs <traits> checkpoints that need all workers are admitted to it
    Then an urgent job that needs a whole worker is "<outcome>" in the same view

    Examples:
      | traits  | outcome  |
      | with    | admitted |
      | without | too_late |

  # The forecast let less urgent runs give way to a job for which placement preempts none.
  Scenario: Less urgent runs don't give way to a job over its tenant's share
    Given a cell whose workers run less urgent tasks with checkpoints, and 0 seconds of waiting work
    And these tasks take 30 seconds
    Then a job with an estimate of 2 seconds, within its tenant's share, is "admitted"
    And a job with an estimate of 2 seconds, over its tenant's share, is "too_late"

  # The longest time that a stop may take counted as certain, so urgent jobs were refused as too late.
  Scenario: The time that the stop of a less urgent run may take does not make a job certain to expire
    Given a cell whose workers run less urgent tasks with checkpoints, and 15 seconds of waiting work
    Then a job with 5 tasks that each need a whole worker is admitted

  # An urgent job was refused for a late job that had a margin of a millisecond.
  Scenario Outline: Only a late job that can wait for a scheduling round keeps others out - <margin> s
    Given a late job that can wait <margin> seconds longer than the work before it takes
    Then one more second of work <effect> it expire

    Examples:
      | margin | effect        |
      | 0.02   | does not make |
      | 0.2    | makes         |

  Scenario: Retries are spread over time, within the work that each second can serve
    When retry slots are reserved for random amounts of work and random minimum waits
    Then no second has more work reserved than it can serve

  # Seconds that less urgent jobs had reserved counted as full, so urgent callers were sent back later.
  Scenario: Less urgent jobs don't delay the retry of a job
    When retry slots are reserved for random jobs of several ranks, with and without later ranks
    Then each job gets the same retry time with and without jobs of later ranks
    And no second has more work of one rank reserved than it can serve

  # Jobs of earlier ranks reserve seconds that were promised to later ones, which are not moved.
  Scenario: Retries of several ranks are spread within the work that each second can serve
    When retry slots are reserved for random jobs of several ranks, with and without later ranks
    Then no second has more work reserved than it can serve

  Scenario: The cost of a decision hardly grows with the length of the queue
    When a rank is looked up in queues of 500 and of 5000 steps
    Then the longer queue needs at most 5 more comparisons

  Scenario Outline: Decision on jobs within and over the share, with <waiting> seconds of waiting work
    Given a cell with busy workers and <waiting> seconds of waiting work
    Then a job with an estimate of 2 seconds, within its tenant's share, is "<within>"
    And a job with an estimate of 2 seconds, over its tenant's share, is "<over>"

    Examples:
      | waiting | within   | over     |
      | 4       | admitted | admitted |
      | 8       | admitted | in_doubt |
      | 12      | admitted | in_doubt |
      | 30      | too_late | too_late |

  Scenario: With a worker that is not reconciled yet, no job is certain to expire
    Given a cell whose workers are busy for 30 seconds, without waiting work
    Then a job with an estimate of 2 seconds, within its tenant's share, is "too_late"
    Given one more worker with 8 processors that is not reconciled yet
    Then a job with an estimate of 2 seconds, within its tenant's share, is "admitted"
    And a job with an estimate of 2 seconds, over its tenant's share, is "in_doubt"

  Scenario: A job that fits only on a worker that is not reconciled yet
    Given a cell with busy workers and 0 seconds of waiting work
    And one more worker with 64 processors that is not reconciled yet
    Then a job that is wider than all other workers together is admitted

  Scenario: A job that needs the whole capacity waits until all of it is free, despite rounding errors
    When runs with random shares of the capacity end
    Then the whole capacity is free after the last of them

  Scenario: A job within its tenant's share that can be on time is admitted before late jobs
    Given a cell whose workers are busy for 2 seconds, and a late job that must start right after that
    Then a job with an estimate of 2 seconds, within its tenant's share, is "admitted"

  Scenario: A refused job that is retried counts only once against its tenant's share
    Given a cell with admission control, a tenant of weight 0 and a tenant of weight 8
    When a job is admitted to it, and from then on every decision is a refusal
    Then a job of the tenant of weight 0 that is sent 3 times counts once against its share

  Scenario: Work that is known to take longer than estimated expires later
    Given a cell with busy workers and 4 seconds of waiting work
    When tasks are known to take 5 times their estimates
    Then a job with an estimate of 2 seconds, within its tenant's share, is "admitted"

  Scenario: A job that can never fit its tenant's quota is refused
    Given a cell with busy workers and 4 seconds of waiting work
    Then a job that can never fit its tenant's quota is refused
    And a job that fits no present worker is admitted while the workers are idle

  Scenario: The number of remembered jobs is bounded, and reservations of missed retries are released
    Given 5000 refused jobs, more than are remembered
    Then only 4096 of them are remembered, and the first is forgotten
    And the work reserved for missed retries is released

  Scenario: Refused jobs that have expired are forgotten
    Given 20 refused jobs that are not retried
    When the jobs have expired and their retry times have passed
    Then none of them is remembered

  Scenario: A job wider than the whole cell does not close its queue for other jobs
    Given a cell with idle workers
    When a job with 1000 tasks is refused by it
    Then its queue is closed for 0 seconds, and a narrow job is admitted

  Scenario: An overdrawn quota has free capacity only once the excess is released
    Given a quota overdrawn by half, with runs of half the quota that end after 1 and 2 seconds
    Then half of the quota is free after 2 seconds, and nothing before

  Scenario: A notice names a limited number of tenants
    Given a queue that is closed for 50 tenants
    Then its notice names 20 of them, and lasts no longer than any of their closures
    And no queue is closed after the longest closure has ended

  Scenario: A known job is never refused
    Given a cell with admission control
    When a job is admitted to it, and from then on every decision is a refusal
    Then a known job is accepted again, also one whose append is in flight
    And an unknown job is refused, and decided anew when it is retried

  Scenario: With admission control off, none of its functions is called
    Given a cell without admission control
    And every function of admission control raises an error
    And 40 jobs per second are submitted to it for 5 seconds
    When the store is unreachable from second 1 to second 3
    And the cell runs for 8 seconds
    Then all its jobs are accepted while the store answers
