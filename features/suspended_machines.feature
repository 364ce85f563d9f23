Feature: Machines that are suspended for seconds

  The monotonic clock of a machine does not advance while the machine is suspended.  A holder that
  relies on this clock treats expired leases and an expired proof of ownership as valid after it
  wakes.  It must not order starts because an append from before the suspension is acknowledged.

  Scenario: A suspension is detected from the difference between two clocks
    Given a boot clock at 100 and a monotonic clock at 40
    When the machine runs for 5 seconds
    Then no suspension is reported
    When the machine is suspended for 7.5 seconds
    Then a suspension of 7.5 seconds is reported once

  Scenario Outline: A holder that wakes orders no starts before a new proof of ownership: <seconds> s
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    And the test records the start orders of the cell's holder
    When the store takes 0.3 seconds to answer
    And 60 tasks of 4 cores are handed in
    And the holder's machine is suspended for <seconds> seconds, while an append that records starts is in flight
    And 20 seconds pass in that cell
    Then every start order after the suspension was sent after a new proof of ownership
    And the cluster has broken nothing

    Examples:
      | seconds |
      | 0.8     |
      | 1.2     |
      | 2.1     |
      | 3.6     |
      | 8       |

  Scenario: A cell completes its jobs while its machines are suspended one after the other
    Given a cell of 8 workers that are back 3 seconds after a crash
    When 24 jobs of one task each are handed in
    And each machine in turn is suspended for 2 to 6 seconds
    And 30 seconds pass in that cell
    Then 24 of the 24 jobs are shown as completed
