Feature: Operators see what a node does under load

  # Load: a cell whose queue "patient" is closed for a flooding tenant, and "normal" for everybody.

  Scenario: A holder tells which of its queues take jobs, and for whom not
    Given a running cluster whose holder has the product's own interface
    And the holder has closed "normal" for 4 seconds, and "patient" for 2 seconds for "acme"
    And a call for advice would wait 0.7 seconds there
    When an operator gets "/v1/admission"
    Then the front's answer has status 200 and the field "held_shards" is "[0]"
    And these are the queues held
      | queue   | closed_seconds | closed_for | advice_wait_seconds |
      | normal  | 4              |            | 0.7                 |
      | patient | 2              | acme       | 0.7                 |
      | urgent  | 0              |            | 0.7                 |
    And the command "admission" prints lines with
      | words                                                                            |
      | options: admission=off advice_shares=on learned_estimates=on unlike_workers=on summary_trust_seconds=5 |
      | shards held by this node: 0 (of 1)                                               |
      | 0 normal 0 4.00 (all) 0.70                                                       |
      | 0 patient 0 2.00 acme 0.70                                                       |
      | 0 urgent 0 0.00 - 0.70                                                           |

  Scenario: Another node tells what the holder told it, and how long ago
    Given a running cluster whose holder has the product's own interface
    And the holder has closed "normal" for 4 seconds, and "patient" for 2 seconds for "acme"
    When an operator gets "/v1/admission" of another node after 0.3 seconds
    Then the front's answer has status 200 and the field "held_shards" is "[]"
    And it names "normal" and "patient" as closed, told at most 0.3 seconds ago
    And the command "admission" prints lines with
      | words                                    |
      | shards held by this node: none (of 1)    |
      | closed by other holders' word:           |
      | 0 normal 3.                              |
      | 0 patient 1.                             |

  Scenario: A holder tells what it has learned of durations
    Given a running cluster whose holder has the product's own interface
    And it has learned that "normal" takes 1.6 times its estimates and "w2" 1.5 times the usual
    When an operator gets "/v1/estimates"
    Then the front's answer has status 200 and the field "held_shards" is "[0]"
    And the command "estimates" prints lines with
      | words                                              |
      | 0 normal (all) 1.60 3.20 40.00                     |
      | 0 urgent (all) 1.00 1.00 0.00                      |
      | workers unlike the usual, the slowest first:       |
      | 0 w2.                                              |
    And the figures say "onyxspoke_learned_factor" of "normal" is 1.6

  Scenario: A holder that has learned nothing names no worker, and every factor is 1
    Given a running cluster whose holder has the product's own interface
    When an operator gets "/v1/estimates"
    Then every factor is 1, and no worker is named

  Scenario: Refusals are counted at the entry, by queue and reason
    Given a running cluster of nodes with a front for callers
    When a job is refused there for "too_late" and 3.2 seconds
    And a job is refused there for "store_in_trouble" and 1 seconds
    Then its figures say
      | figure                                                             | value |
      | onyxspoke_refusals_total{queue="normal",reason="too_late"}         | 1     |
      | onyxspoke_refusals_total{queue="normal",reason="store_in_trouble"} | 1     |
      | onyxspoke_retry_after_seconds_bucket{le="3.0",queue="normal"}      | 1     |
      | onyxspoke_retry_after_seconds_bucket{le="5.0",queue="normal"}      | 2     |

  Scenario: Returns and waits for advice are counted at the holder
    Given a running cluster whose holder has the product's own interface
    When it emits that callers of "normal" came back on time twice and were refused again once
    And it emits that a call for advice of "normal" and "acme" waited 0.3 seconds
    Then its figures say
      | figure                                                                        | value |
      | onyxspoke_returns_total{outcome="on_time",queue="normal"}                     | 2     |
      | onyxspoke_returns_total{outcome="refused_again",queue="normal"}               | 1     |
      | onyxspoke_advice_wait_seconds_bucket{le="0.25",queue="normal",tenant="acme"}  | 0     |
      | onyxspoke_advice_wait_seconds_bucket{le="0.5",queue="normal",tenant="acme"}   | 1     |

  Scenario: The wait of a job's call for advice is counted at the holder
    Given a running cluster whose holder has the product's own interface
    When a job of "normal" is handed in at the holder, and runs
    Then its figures count the wait of at least 1 call for advice of "normal"

  Scenario: What callers name makes no figure grow without a bound
    When jobs of 300 queues, tenants and reasons are refused and wait for advice
    Then no figure has more than 101 queues, 101 tenants or 17 reasons

  Scenario: Queues that nobody made, and that operators ask for, take no queue's name away
    Given a running cluster whose holder has the product's own interface
    When an operator asks how much waits in 300 queues that nobody made
    Then no figure has more than 101 queues
    And a refusal for "normal" is still counted by name
