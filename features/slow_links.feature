Feature: Slow links carry large answers in the end

  Scenario Outline: An answer that goes on coming is not given up: <pause> s between its parts
    Given a call with 0.8 seconds to go, on a connection of its own
    When its answer of 20 parts comes with <pause> seconds between them
    Then the call's outcome is "<outcome>"

    Examples:
      | pause | outcome  |
      | 0.02  | answered |
      | 0.1   | answered |
      | 0.7   | given up |

  Scenario: An answer that never ends is given up all the same
    Given a call with 0.8 seconds to go, on a connection of its own
    When its answer of 200 parts comes with 0.1 seconds between them
    Then the call's outcome is "given up"

  Scenario: A call without any answer is given up in its time
    Given a call with 0.8 seconds to go, on a connection of its own
    When 0.9 seconds pass without an answer
    Then the call's outcome is "given up"

  Scenario Outline: A peer whose large message is under way is not silent: <bytes> bytes each 0.3 s
    Given a stream to a peer that was heard just now
    When for 3 seconds <bytes> bytes of a message come each 0.3 seconds
    Then the stream is <state>

    Examples:
      | bytes | state |
      | 1000  | open  |
      | 0     | ended |

  Scenario: A copy of a large configuration is small
    Given a configuration of 2000 routes
    When a peer that the store does not serve is found to be behind
    Then it is sent one copy, of a fifth of the configuration at most
    And the peer reads the same configuration from it

  Scenario: A peer that reads the store itself gets a copy only after a second
    Given a configuration of 2000 routes
    When a peer that the store serves is found to be behind
    Then it is sent no copy
    When a second later it still is
    Then it is sent one copy, of a fifth of the configuration at most

  Scenario: A copy that cannot be read changes nothing
    Given a configuration of 2000 routes
    When a copy comes that is none
    Then the version in force is still 7
