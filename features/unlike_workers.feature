Feature: Where work goes when workers are unlike, without a network

  A worker that is known to take longer suits what can wait. A step's job is on time within its
  objective; half of what it can afford to wait may be lost to a slow worker.

  Scenario: A pressed step goes to a fast worker, a patient one to a slow one, whichever is fuller
    Given workers "fast" and "slow" of 8 processors each
    And "slow" is known to take 2 times as long
    And a step "pressed" of 1 task whose job may take 2 times its work
    And a step "patient" of 1 task whose job may take 8 times its work
    When a pass of placement is made
    Then "pressed" starts 1 task
    And they are on "fast"
    And "patient" starts 1 task
    And they are on "slow"

  Scenario: A step that has waited long is pressed
    Given workers "fast" and "slow" of 8 processors each
    And "slow" is known to take 2 times as long
    And a step "patient" of 1 task whose job may take 8 times its work
    When 12 seconds pass before a pass of placement
    Then "patient" starts 1 task
    And they are on "fast"

  Scenario: A slow worker is better than none
    Given workers "slow" of 8 processors each
    And "slow" is known to take 2 times as long
    And a step "pressed" of 1 task whose job may take 2 times its work
    When a pass of placement is made
    Then "pressed" starts 1 task

  Scenario Outline: A gang stands on workers of like speed - <kind>
    Given workers "a", "b", "c" and "d" of 4 processors each
    And "b" is known to take 2 times as long
    And "d" is known to take 2 times as long
    And a gang "gang" of 4 tasks whose job may take <times> times its work
    When a pass of placement is made
    Then "gang" starts 4 tasks
    And they are on <names>

    Examples:
      | kind    | times | names                |
      | pressed | 2     | "a", "a", "c" and "c" |
      | patient | 8     | "b", "b", "d" and "d" |

  Scenario: With the part off, or workers alike, placements are those of today
    When 200 random cells are placed with the part on, off and with all workers alike
    Then workers' speeds changed nothing where the part is off or they are alike

  Scenario: Pressed steps beside patient ones in a cell of which a third is slow, before and after
    When pressed and patient steps are handed in for 40 seconds, with the part and without
    Then with the part fewer pressed steps are late, and no more patient ones
