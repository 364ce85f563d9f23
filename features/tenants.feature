Feature: Tenants: owners of keys, quotas, and the order of jobs in a full cell

  Scenario Outline: A key is checked against the configuration and the configuration's age
    Given keys of which "known" is one
    Then a call with the key "<key>", <age> s after the last confirmation, <looked>, is "<verdict>"

    Examples: a known key is accepted for 9 s without a new confirmation
      | key   | age | looked         | verdict    |
      | known | 0   | without a read | admitted   |
      | known | 9   | without a read | admitted   |
      | known | 9.1 | without a read | look_first |
      | known | 9.1 | after a read   | admitted   |

    Examples: the newest configuration is read before an unknown key is rejected
      | key   | age | looked         | verdict    |
      | other | 0   | without a read | look_first |
      | other | 99  | without a read | look_first |
      | other | 0   | after a read   | unknown    |
      |       | 0   | without a read | missing    |
      |       | 0   | after a read   | missing    |

  Scenario: Logs contain no key, and two keys have different hashes
    Then the key "a-long-secret" is logged as a hash without any part of it
    And the keys "a-long-secret" and "a-long-secreT" have different hashes

  Scenario Outline: A call without a valid key is rejected - <header>
    Given a cell whose callers need keys
    When a caller shows "<header>" and submits a job
    Then the front's answer has status 401 and code <code>
    And 0 runs were started

    Examples:
      | header                       | code |
      | nothing                      | 213  |
      | Token                        | 213  |
      | Bearer key-of-large          | 213  |
      | key-of-large                 | 213  |
      | Token key-of-nobody          | 214  |
      | Token key-of-large,          | 214  |
      | Token KEY-OF-LARGE           | 214  |

  Scenario: A caller with a key is served, and its job belongs to its tenant
    Given a cell whose callers need keys
    When a caller of "large" submits a job
    Then the front's answer has status 200
    And the job belongs to "large"

  Scenario: A route without keys accepts callers without a key
    Given a cell whose callers need keys, but on "urgent"
    When a caller shows "nothing" and submits a job to "urgent"
    Then the front's answer has status 200

  Scenario: A cell without tenants requires no keys
    Given a running cluster of nodes with a front for callers
    When a caller posts to "/normal/00000000000000a1" a small job
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200

  Scenario: A tenant can neither read nor cancel another tenant's job
    Given a cell whose callers need keys
    When a caller of "large" submits a job
    And a caller of "small" asks for the job
    Then the front's answer has status 410
    When a caller of "small" cancels the job
    Then the front's answer has status 410
    When a caller of "small" submits the job
    Then the front's answer has status 503
    When a caller of "large" asks for the job
    Then the front's answer has status 200

  Scenario: A tenant's cancel before its job arrives doesn't cancel another tenant's job of the same name
    Given a cell whose callers need keys
    When a caller of "small" cancels the job
    And a caller of "large" submits a job
    Then the front's answer has status 200
    And 1 run was started

  Scenario: A finished job still belongs to its tenant after a change of holder
    Given a cell whose callers need keys
    When a caller of "large" submits a job
    And its job ends, and another node takes over
    And a caller of "small" asks for the job
    Then the front's answer has status 410
    When a caller of "large" asks for the job
    Then the front's answer has status 200

  Scenario: A caller with a key that only the store's newest configuration has is served
    Given a cell whose callers need keys
    And a version with a key of "newcomer" that this node has not received
    When a caller of "newcomer" submits a job
    Then the front's answer has status 200
    And the newest version was read 1 time

  Scenario: A flood of wrong keys causes only a few reads of the store per second
    Given a cell whose callers need keys
    When 400 callers show wrong keys within 2 seconds
    Then all of them are rejected with status 401 within 0.6 seconds
    And the newest version was read 11 times at most

  Scenario: A wrong key cannot be distinguished from a new one while the store is unreachable
    Given a cell whose callers need keys
    And the store is silent
    When a caller shows "Token key-of-nobody" and submits a job
    And 1.5 seconds pass in the cluster
    Then the front's answer has status 503 and code 313
    And the front's answer says when to come back

  Scenario: A call whose key is being checked counts as an open call
    Given a cell whose callers need keys
    And the store is silent
    When a caller shows "Token key-of-nobody" and waits for 0.1 seconds
    Then 1 call is open at the node
    When 1.5 seconds pass in the cluster
    Then 0 calls are open at the node

  Scenario: A revoked key is rejected
    Given a cell whose callers need keys
    When the key of "large" is revoked, and 0.1 seconds pass
    And a caller of "large" submits a job
    Then the front's answer has status 401 and code 214

  Scenario: A node that receives no configuration stops trusting its keys
    Given a cell whose callers need keys
    When the node receives no configuration for 9.5 seconds
    And a caller of "large" asks for the job
    And 1.5 seconds pass in the cluster
    Then the front's answer has status 503 and code 313

  Scenario: A key that two tenants have belongs to the first one
    Given a configuration in which the tenants "first" and "second" have the same key
    Then the key is the one of "first"

  Scenario: Jobs written before there were tenants are still read
    Given the records of a job and of a finished job as they were without tenants
    Then they are decoded without a tenant

  # Quotas

  Scenario: No quota is exceeded under random faults and changing quotas
    When jobs of three tenants are played over seeds 1 to 40 with drawn faults
    Then nothing that must hold is broken
    And at least 700 jobs were completed

  Scenario: No quota is exceeded under random faults in three shards
    When jobs of three tenants are played over seeds 1 to 10 with drawn faults in 3 shards
    Then nothing that must hold is broken

  Scenario Outline: The check for exceeded quotas fails without a mechanism - <mechanism>
    When jobs of three tenants are played over seeds <seeds> with drawn faults, without "<mechanism>"
    Then "quota" is broken

    Examples:
      | mechanism                    | seeds  |
      | counting of runs             | 1 to 2 |

  Scenario Outline: Jobs that are placed in one pass share their tenant's quota - <cluster>
    Given <cluster>
    When 3 jobs of 2 tasks, each as large as a worker, are submitted at once for a tenant with two workers
    Then the cluster has broken <what>

    Examples:
      | cluster                                                                | what    |
      | a cluster of tenants with 6 workers                                    | nothing |
      | a cluster of tenants with 6 workers, without "counting within one pass" | "quota" |

  Scenario Outline: A successor counts runs that may execute on unreachable workers - <cluster>
    Given <cluster>
    And two jobs of a tenant with a quota of two workers are at work
    When the holder is killed, and its successor cannot reach the workers that run them
    And two more jobs of that tenant are submitted, and 4 seconds pass
    Then the cluster has broken <what>
    And a job of another tenant <begins>

    Examples:
      | cluster                                                  | what    | begins |
      | a cluster of tenants with 6 workers                      | nothing | begins |
      | a cluster of tenants with 6 workers, without "uncertain runs" | "quota" | begins |

  Scenario: A step that is larger than its tenant's quota runs a part of its tasks at a time
    Given a cluster of tenants with 6 workers
    When a job of 6 tasks, each as large as a worker, is submitted for a tenant with two workers
    Then the job is done in the end, never more than 2 tasks at once

  Scenario: A gang that needs its tenant's whole quota waits for that tenant's other runs
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When a gang of 2 such tasks is submitted for that tenant
    Then the gang begins only after both have ended

  # Shares

  Scenario Outline: A tenant is entitled to jobs by its weight - weight <weight>, <shards> shards
    Given a tenant of weight <weight>
    When it submits <count> jobs within <seconds> s in a cell of <shards> shards
    Then <owed> of them are entitled

    Examples:
      | weight | shards | count | seconds | owed |
      | 10     | 1      | 100   | 10      | 100  |
      | 10     | 1      | 200   | 10      | 110  |
      | 10     | 1      | 10    | 0       | 10   |
      | 10     | 1      | 100   | 0       | 10   |
      | 0.5    | 1      | 10    | 10      | 6    |
      | 8      | 4      | 40    | 10      | 28   |

  Scenario: Entitled jobs go before jobs over a share, also across queues
    Given waiting steps
      | name     | priority | beyond | late by |
      | flood    | 0        | yes    | -5      |
      | patient  | 2        | no     | -5      |
      | urgent   | 0        | no     | -5      |
      | expired  | 0        | no     | 60      |
    Then they come in the order "urgent, patient, flood, expired"

  # Reports to operators

  Scenario: A node reports the jobs and quota of each tenant
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When a job of 6 tasks, each as large as a worker, waits for that tenant's quota
    Then the holder reports for "small" 2 running and 1 waiting jobs, all of its quota used, and 1 step held back
    And the command "tenants" names "small", its quota as used up, and 3 entitled jobs

  Scenario: Metrics have a limited number of tenant names
    When the jobs of 150 tenants have ended
    Then the metrics name 101 tenants, the others as one
