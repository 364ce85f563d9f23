Feature: An urgent job that is admitted is also served, whatever less urgent work runs

  A cell of 4 workers can run 16 tasks at a time. All of them run less urgent tasks of 8 seconds that
  write checkpoints, and more of them wait. Urgent tasks take 1 second, and urgent jobs expire after
  7.5 seconds, three times their objective.

  # All waiting urgent tasks relied on the same run to end, and none had a less urgent run stopped.
  Scenario: As many urgent tasks as the cell can serve meet their objective
    Given a cell with admission control, full of less urgent work with checkpoints
    When 16 urgent jobs of 1 task per second are submitted to it for 3 seconds
    Then every urgent job is admitted at once, and meets its objective
    And the less urgent jobs are done after 60 seconds, and the audit finds no violation

  Scenario: In a burst, no urgent job expires that was admitted
    Given a cell with admission control, full of less urgent work with checkpoints
    When 40 urgent jobs of 1 task per second are submitted to it for 3 seconds
    Then every urgent job is admitted at once, and finishes before it expires
    And the less urgent jobs are done after 60 seconds, and the audit finds no violation

  # A step had a run stopped for one of its tasks at a time.
  Scenario: The tasks of an urgent job start together
    Given a cell with admission control, full of less urgent work with checkpoints
    When 2 urgent jobs of 6 tasks per second are submitted to it for 4 seconds
    Then every urgent job is admitted at once, and meets its objective
    And the less urgent jobs are done after 60 seconds, and the audit finds no violation

  # Urgent jobs waited until less urgent runs of their own tenant had released its quota.
  Scenario: A tenant's quota that its own less urgent work holds is given to its urgent jobs
    Given a cell with admission control, and a tenant whose less urgent work holds its whole quota
    When 8 urgent jobs of 1 task per second are submitted to it for 3 seconds
    Then every urgent job is admitted at once, and meets its objective
    And the less urgent jobs are done after 60 seconds, and the audit finds no violation

  # Runs that would be late after a restart were spared until urgent jobs that waited had expired.
  Scenario: Less urgent jobs that are about to meet their objective give way too
    Given a cell with admission control, full of less urgent work that barely meets its objective
    When 8 urgent jobs of 1 task per second are submitted to it for 3 seconds
    Then every urgent job is admitted at once, and meets its objective
    And the less urgent jobs are done after 60 seconds, and the audit finds no violation
