Feature: The line for advice, call by call: what is kept whatever happens to entries and steps

  Scenario: Without shares of the line decisions are those of a plain line
    When 250 random histories of a desk without shares are played beside a plain line
    Then both sent the same calls through the same entries

  Scenario: With shares nothing is lost, doubled or out of order
    When 250 random histories of a desk with shares are played
    Then no entry had more than two calls out, and none was sent for a step that had no use for it
    And calls alike in rank and length went in the order in which they were wanted
    And every step that was owed and still wanted advice had it in the end

  Scenario: An entry that is gone has its calls made elsewhere at their old place
    Given a desk with shares and 4 entries
    And patient steps that wait behind two calls at each entry
    When entry 3 is gone
    Then the next calls are those that were out with it, at once and without a second charge

  Scenario: A call that is late is made elsewhere, and the late answer is used
    Given a desk with shares and 4 entries
    And an urgent step whose call is out with the first entry
    When the answer is 0.4 seconds late, and comes before the call was made again
    Then the step has its tickets, and no further call is made
    And the log tells that the first entry was doubted and regained

  Scenario: An entry that does not answer is tried less and less often
    Given a desk with shares and 2 entries
    When the second entry answers nothing for 20 seconds of urgent steps, 5 a second
    Then the second entry was asked at most 8 times
    And every urgent step had an answer within 0.7 seconds

  Scenario: Where no entry answers, calls go out again and again without a storm
    Given a desk with shares and 1 entries
    When the first entry is busy for 5 seconds, and then answers
    Then the step was asked about between 3 and 50 times, and has its answer

  Scenario: Calls that are wanted no longer are not made
    Given a desk with shares and 1 entries
    And patient steps that wait behind two calls at each entry
    When one of the waiting steps is placed, one is over its quota and one expires
    Then none of the three is asked about, and all others are

  Scenario: A successor begins with an empty line and asks anew
    Given a desk with shares and 4 entries
    And patient steps that wait behind two calls at each entry
    When a successor's desk is made and all steps want advice again
    Then every step has its answer within 2 seconds

  Scenario: After a stall of the holder no entry is doubted for answers that are not read yet
    Given a desk with shares and 4 entries
    And an urgent step whose call is out with the first entry
    When the holder stands still for 2 seconds, makes a pass, and then reads the answer
    Then the step has its tickets, and no further call is made
    And no entry was doubted

  Scenario: On a full cell a flood does not ask, and an owed step asks before it
    Given a full repair cell of 10 workers with shares
    When 10 patient jobs beyond a tenant's share and then 1 owed one are handed in
    Then none of the flood is asked about at first, and the log tells why
    And the owed one is asked about before all of the flood
    And all have begun in the end

  Scenario Outline: On a full cell of <workers> workers a flood delays no task of an owed step
    Given full repair cells of <workers> workers with shares, alike but for a flood
    When an owed step is handed in to both, and <workers> jobs beyond a share to one
    Then each task of the owed step begins no later beside the flood
    And the flood begins meanwhile where the owed step may not run

    Examples:
      | workers |
      | 10      |
      | 12      |
      | 20      |

  Scenario: A waiting call's place follows what is learned of its work
    Given a desk with shares and 1 entries
    And patient steps that wait behind two calls at each entry
    When their work turns out to take 6 times its estimate, and a pass is made
    Then every waiting call stands where its step does

  Scenario: An answer to a call from before its step was forgotten ends no other call
    Given a desk with shares and 4 entries
    And an urgent step whose call is out with the first entry
    When the step is forgotten, wanted again, and the former call answered
    Then the step still has the call that it wanted last, and no further one is made
    When the step is forgotten, wanted again, and the former call refused
    Then the step still has the call that it wanted last, and no further one is made

  Scenario: An outage of the advice service that lasts ends like a short one
    Given a desk with shares and 1 entries
    When the first entry is busy for 240 seconds of urgent steps, one a second, and then answers
    Then the last step was asked about again, and has its answer within 0.5 seconds
