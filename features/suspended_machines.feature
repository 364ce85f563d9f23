Feature: Machines that are suspended for seconds

  A machine may be suspended; its steady clock does not count that time.  A holder that went by that
  clock took its leases, its holding and its workers' clocks for as fresh as before.  And whatever came
  in first as it woke hid the pause, because all counted as activity: the answer to an append that was
  sent before had the starts ordered that it carried.

  Scenario: Clocks count the time that the machine was suspended
    Given a boot clock at 100 and a steady clock at 40
    When the machine works for 5 seconds
    Then no suspension is told
    When the machine is suspended for 7.5 seconds
    Then a suspension of 7.5 seconds is told, once

  Scenario Outline: A holder that wakes orders nothing before it has proved that it holds: <seconds> s
    Given a cell of 2 workers of 16 cores whose tasks take 1 second
    And the starts that its holder orders are noted
    When the store takes 0.3 seconds to answer
    And 60 tasks of 4 cores are handed in
    And the holder's machine is suspended for <seconds> seconds, with starts on their way to the store
    And 20 seconds pass in that cell
    Then every start after it was ordered on a proof from after it
    And the cluster has broken nothing

    Examples:
      | seconds |
      | 0.8     |
      | 1.2     |
      | 2.1     |
      | 3.6     |
      | 8       |

  Scenario: Machines of a whole cell are suspended one after the other
    Given a cell of 8 workers that are back 3 seconds after a crash
    When 24 jobs of one task each are handed in
    And every machine is suspended for 2 to 6 seconds, one after the other
    And 30 seconds pass in that cell
    Then 24 of the 24 jobs are shown as completed
