Feature: The capacity page and its measurements cannot drift apart

  Scenario: The page is what the sweeps give
    When the capacity page is written again from docs/capacity.json
    Then it equals docs/CAPACITY.md

  Scenario: The page changes when a measurement changes
    When the capacity page is written with every figure of the largest sizes doubled
    Then it differs from docs/CAPACITY.md

  Scenario: A sweep is read from the bench's words
    When a sweep is read whose table says
      """
      middle / busiest or longest, by own machines
                                                                  30             100             300  power  at 19942
      node: processor %                                 2.9 / 13.6      2.3 / 13.8       1.6 / 9.9  -0.13  9.9
      config acked, ms                                 63.0 / 63.0     91.0 / 91.0       235 / 235   0.57  2543
      """
    Then the figure "processor %" is "2.9 / 13.6, 2.3 / 13.8, 1.6 / 9.9"
    And the figure "config acked, ms" is "63 / 63, 91 / 91, 235 / 235"

  Scenario Outline: A figure is carried on at the power at which it grew last: <values>
    Then <values> at 30, 100 and 300 nodes are <carried> at 900 nodes

    Examples:
      | values    | carried |
      | 1, 2, 2   | 2       |
      | 1, 1, 3   | 9       |
      | 4, 3, 1   | 1       |
      | 1, 1, 30  | 270     |
