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
