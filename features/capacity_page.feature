Feature: The capacity page and its measurements cannot drift apart

  Scenario: The page is what the measurements give
    When the capacity page is written again from docs/capacity.json
    Then it equals docs/CAPACITY.md

  Scenario: The page changes when a measurement changes
    When the capacity page is written with every slope doubled
    Then it differs from docs/CAPACITY.md
