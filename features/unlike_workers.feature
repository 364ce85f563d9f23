Feature: Placement on workers of different speed, without a network

  Slow workers are given to steps whose jobs have slack. A job is on time if it ends within its
  objective; a slow worker may use up at most half of the job's slack.

  Scenario: A step with little slack goes to a fast worker, one with much slack to a slow worker
    Given workers "fast" and "slow" of 8 processors each
    And "slow" is known to take 2 times as long
    And a step "pressed" of 1 task whose objective is 2 times its work
    And a step "patient" of 1 task whose objective is 8 times its work
    When a placement pass runs
    Then "pressed" starts 1 task
    And they are on "fast"
    And "patient" starts 1 task
    And they are on "slow"

  Scenario: A step that has waited long goes to a fast worker
    Given workers "fast" and "slow" of 8 processors each
    And "slow" is known to take 2 times as long
    And a step "patient" of 1 task whose objective is 8 times its work
    When 12 seconds pass before a placement pass
    Then "patient" starts 1 task
    And they are on "fast"

  Scenario: A slow worker is used if there is no other
    Given workers "slow" of 8 processors each
    And "slow" is known to take 2 times as long
    And a step "pressed" of 1 task whose objective is 2 times its work
    When a placement pass runs
    Then "pressed" starts 1 task

  Scenario Outline: A gang is placed on workers of equal speed - <kind>
    Given workers "a", "b", "c" and "d" of 4 processors each
    And "b" is known to take 2 times as long
    And "d" is known to take 2 times as long
    And a gang "gang" of 4 tasks whose objective is <times> times its work
    When a placement pass runs
    Then "gang" starts 4 tasks
    And they are on <names>

    Examples:
      | kind    | times | names                |
      | pressed | 2     | "a", "a", "c" and "c" |
      | patient | 8     | "b", "b", "d" and "d" |

  Scenario: Without speed awareness, or with equally fast workers, speed changes no placement
    When 200 random cells are placed with speed awareness on, off and with equally fast workers
    Then placements were the same if speed awareness is off or all workers are equally fast

  Scenario: Speed awareness makes fewer steps late in a cell where a third of the workers is slow
    When pressed and patient steps are submitted for 40 seconds, with and without speed awareness
    Then with speed awareness fewer pressed steps are late, and no more patient ones
