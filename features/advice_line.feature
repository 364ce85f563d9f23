Feature: The line for advice under the load of a busy cell, without a network

  The advice service works for each entry on one call at a time, and a call takes longer the more
  workers it names. What callers get is checked, over a load that is played in virtual time.

  Scenario Outline: Steps of a later queue run beside gangs that ask about every worker - <choice>
    Given a cell of 299 workers and 30 entries
    When 7 gangs and 8 patient steps a second are handed in for 20 seconds, <choice>
    Then <share> of the patient steps begin within 6 seconds
    And no entry worked on two calls at once

    Examples:
      | choice                                     | share       |
      | asking about those with room               | nearly all  |
      | asking about the first hundred by name     | not half    |

  Scenario: Short calls wait for no long one, whatever share of the entries the long ones fill
    Given a cell of 120 workers and 30 entries
    When 4 gangs and 20 urgent steps a second are handed in for 8 seconds, asking about those with room
    Then nearly all of the urgent steps begin within 0.3 seconds

  Scenario: Entries that few short calls need carry long ones
    Given a cell of 120 workers and 30 entries
    When 7 gangs and 20 urgent steps a second are handed in for 8 seconds, asking about those with room
    Then more than half of the entries have carried calls of gangs

  Scenario: A flood that hands in half of all jobs, while 11 of 31 entries are cut off
    Given a repair cell of 350 workers and 31 entries, played with and without shares of the line
    When its usual jobs come for 12 seconds, from 2 on as many beyond a tenant's share, and 11 entries are cut off from 3 to 8
    Then owed patient steps wait for advice at most 0.7 times as long as without shares on average
    And the longest wait of an owed urgent step falls from over 0.4 seconds to under 0.15
    And the longest wait of an owed patient step falls from over 1.5 seconds to under 0.8
    And every step of the flood begins in the end

  Scenario: On a calm cell calls are the same with shares of the line as without
    Given a repair cell of 350 workers and 31 entries, played with and without shares of the line
    When its usual jobs come for 6 seconds
    Then both plays made the same calls through the same entries at the same moments

  Scenario: Steps that wait for room ask once in a ticket's validity, and not at each gain
    Given a repair cell of 75 workers and 31 entries, played with and without shares of the line
    When eight tenths of its usual jobs come for 10 seconds, more than it has room for
    Then patient steps make at most 0.6 times as many calls as without shares
    And patient jobs are done sooner than without shares on average
    And urgent jobs are done as soon as without shares

  Scenario: Two floods at once delay owed steps no more than the bound
    Given a repair cell of 350 workers and 31 entries, played with and without shares of the line
    When its usual jobs come for 10 seconds, and two floods, each as many beyond a tenant's share
    Then no owed urgent step waits for advice longer than 0.1 seconds
    And no owed patient step waits for advice longer than 0.3 seconds
    And owed gang steps wait for advice at most 0.7 times as long as without shares on average

  Scenario: Entries that turn slow carry less, and owed steps wait less
    Given a repair cell of 350 workers and 31 entries, played with and without shares of the line
    When its usual jobs come for 10 seconds, and 11 entries take five times as long from 2 on
    Then owed patient steps wait for advice at most 0.7 times as long as without shares on average
    And owed urgent steps wait for advice at most 1 times as long as without shares on average

  Scenario: The wait that is foretold is about the wait that follows
    Given a repair cell of 350 workers and 12 entries, played with and without shares of the line
    When 20 urgent, 30 patient and 1 gang jobs a second come for 8 seconds, and waits are foretold
    Then nearly all first calls begin within half and twice the wait that was foretold, or 0.15 seconds of it
    And patient steps waited for more than 1 second on average

  Scenario: A step that never fits holds back none behind it for good
    Given a repair cell of 20 workers and 31 entries, played with and without shares of the line
    When work that lasts takes 19 of them, and 8 patient steps come behind one that fits nowhere
    Then in both plays the last worker runs patient tasks within 8 seconds
