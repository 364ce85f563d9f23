Feature: Tenants: whose a key is, what a tenant may run, and who goes first when all is full

  Scenario Outline: A key is judged by what is known, and by how old that is
    Given keys of which "known" is one
    Then a call with the key "<key>", <age> s after the last proof, <looked>, is "<verdict>"

    Examples: keys that are known are gone by for 9 s
      | key   | age | looked         | verdict    |
      | known | 0   | not looked at  | admitted   |
      | known | 9   | not looked at  | admitted   |
      | known | 9.1 | not looked at  | look_first |
      | known | 9.1 | after a look   | admitted   |

    Examples: one that is not known is looked for before it is turned away
      | key   | age | looked         | verdict    |
      | other | 0   | not looked at  | look_first |
      | other | 99  | not looked at  | look_first |
      | other | 0   | after a look   | unknown    |
      |       | 0   | not looked at  | missing    |
      |       | 0   | after a look   | missing    |

  Scenario: A key stands in no log, and two keys have different names there
    Then the key "a-long-secret" is named in logs without any part of it
    And the keys "a-long-secret" and "a-long-secreT" have different names there

  Scenario Outline: What a caller shows - <header>
    Given a cell whose callers need keys
    When a caller shows "<header>" and hands a job in
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

  Scenario: A caller with a key is served, and its job is its tenant's
    Given a cell whose callers need keys
    When a caller of "large" hands a job in
    Then the front's answer has status 200
    And the job is known as one of "large"

  Scenario: A route that wants no key takes callers without one
    Given a cell whose callers need keys, but on "urgent"
    When a caller shows "nothing" and hands a job in to "urgent"
    Then the front's answer has status 200

  Scenario: A cell without tenants asks for no keys
    Given a running cluster of nodes with a front for callers
    When a caller posts to "/normal/00000000000000a1" a small job
    And 0.5 seconds pass in the cluster
    Then the front's answer has status 200

  Scenario: A tenant neither sees nor cancels another's job
    Given a cell whose callers need keys
    When a caller of "large" hands a job in
    And a caller of "small" asks for the job
    Then the front's answer has status 410
    When a caller of "small" cancels the job
    Then the front's answer has status 410
    When a caller of "small" hands the job in
    Then the front's answer has status 503
    When a caller of "large" asks for the job
    Then the front's answer has status 200

  Scenario: A tenant's cancel that comes before its job leaves another's of that name alone
    Given a cell whose callers need keys
    When a caller of "small" cancels the job
    And a caller of "large" hands a job in
    Then the front's answer has status 200
    And 1 run was started

  Scenario: A finished job stays its tenant's, also for a successor
    Given a cell whose callers need keys
    When a caller of "large" hands a job in
    And its job ends, and another node takes over
    And a caller of "small" asks for the job
    Then the front's answer has status 410
    When a caller of "large" asks for the job
    Then the front's answer has status 200

  Scenario: A key that only the store knows yet is looked for, and its caller served
    Given a cell whose callers need keys
    And a version with a key of "newcomer" that this node has not heard of
    When a caller of "newcomer" hands a job in
    Then the front's answer has status 200
    And the newest version was looked at 1 time

  Scenario: A flood of wrong keys costs the store a few reads a second
    Given a cell whose callers need keys
    When 400 callers show wrong keys within 2 seconds
    Then all of them are turned away with status 401 within 0.6 seconds
    And the newest version was looked at 11 times at most

  Scenario: A wrong key cannot be told from a new one while the store is away
    Given a cell whose callers need keys
    And the store is silent
    When a caller shows "Token key-of-nobody" and hands a job in
    And 1.5 seconds pass in the cluster
    Then the front's answer has status 503 and code 313
    And the front's answer says when to come back

  Scenario: A caller whose key is being looked for counts as one that is not answered yet
    Given a cell whose callers need keys
    And the store is silent
    When a caller shows "Token key-of-nobody" and waits for 0.1 seconds
    Then 1 call is open at the node
    When 1.5 seconds pass in the cluster
    Then 0 calls are open at the node

  Scenario: A key that was withdrawn is turned away
    Given a cell whose callers need keys
    When the key of "large" is withdrawn, and 0.1 seconds pass
    And a caller of "large" hands a job in
    Then the front's answer has status 401 and code 214

  Scenario: A node without word of the configuration ceases to go by its keys
    Given a cell whose callers need keys
    When the node hears nothing of the configuration for 9.5 seconds
    And a caller of "large" asks for the job
    And 1.5 seconds pass in the cluster
    Then the front's answer has status 503 and code 313

  Scenario: Of a key that two tenants name, the first one keeps it
    Given a configuration in which the tenants "first" and "second" name one key
    Then the key is the one of "first"

  Scenario: Jobs written before there were tenants are still read
    Given the records of a job and of a finished job as they were without tenants
    Then they are read, and no tenant's

  # What a tenant may run

  Scenario: Schedules of faults and of changing quotas break no quota
    When jobs of three tenants are played over seeds 1 to 40 with drawn faults
    Then nothing that must hold is broken
    And at least 700 jobs were completed

  Scenario: The same in three shards
    When jobs of three tenants are played over seeds 1 to 10 with drawn faults in 3 shards
    Then nothing that must hold is broken

  Scenario Outline: What a quota rests on - <mechanism>
    When jobs of three tenants are played over seeds <seeds> with drawn faults, without "<mechanism>"
    Then "quota" is broken

    Examples:
      | mechanism                    | seeds  |
      | the count of what runs       | 1 to 2 |

  Scenario Outline: Jobs that are placed in one pass share their tenant's quota - <cluster>
    Given <cluster>
    When 3 jobs of 2 tasks, each as large as a worker, are handed in at once for a tenant with two workers
    Then the cluster has broken <what>

    Examples:
      | cluster                                                                | what    |
      | a cluster of tenants with 6 workers                                    | nothing |
      | a cluster of tenants with 6 workers, without "the count within one pass" | "quota" |

  Scenario Outline: A successor cannot see what runs on workers that it does not reach - <cluster>
    Given <cluster>
    And two jobs of a tenant with a quota of two workers are at work
    When the holder is killed, and its successor cannot reach the workers that run them
    And two more jobs of that tenant are handed in, and 4 seconds pass
    Then the cluster has broken <what>
    And a job of another tenant <begins>

    Examples:
      | cluster                                                  | what    | begins |
      | a cluster of tenants with 6 workers                      | nothing | begins |
      | a cluster of tenants with 6 workers, without "the doubt" | "quota" | begins |

  Scenario: A step that is wider than its tenant's quota runs in waves
    Given a cluster of tenants with 6 workers
    When a job of 6 tasks, each as large as a worker, is handed in for a tenant with two workers
    Then the job is done in the end, never more than 2 tasks at once

  Scenario: A gang that only just fits its tenant's quota waits for that tenant's other runs
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When a gang of 2 such tasks is handed in for that tenant
    Then the gang begins only after both have ended

  # Shares

  Scenario Outline: What a tenant is owed - weight <weight>, <shards> shards
    Given a tenant of weight <weight>
    When it hands in <count> jobs within <seconds> s in a cell of <shards> shards
    Then <owed> of them are owed to it

    Examples:
      | weight | shards | count | seconds | owed |
      | 10     | 1      | 100   | 10      | 100  |
      | 10     | 1      | 200   | 10      | 110  |
      | 10     | 1      | 10    | 0       | 10   |
      | 10     | 1      | 100   | 0       | 10   |
      | 0.5    | 1      | 10    | 10      | 6    |
      | 8      | 4      | 40    | 10      | 28   |

  Scenario: What is owed goes before what is beyond a share, also across queues
    Given waiting steps
      | name     | priority | beyond | late by |
      | flood    | 0        | yes    | -5      |
      | patient  | 2        | no     | -5      |
      | urgent   | 0        | no     | -5      |
      | expired  | 0        | no     | 60      |
    Then they come in the order "urgent, patient, flood, expired"

  # What operators see

  Scenario: A node tells what it knows of each tenant
    Given a cluster of tenants with 6 workers
    And two jobs of a tenant with a quota of two workers are at work
    When a job of 6 tasks, each as large as a worker, waits for that tenant's quota
    Then the holder tells of "small" 2 running and 1 waiting jobs, all of its quota used, and 1 step held back
    And the command "tenants" names "small", its quota as used up, and 3 jobs owed

  Scenario: Tenants are counted by name, but not too many of them
    When the jobs of 150 tenants have ended
    Then the figures name 101 tenants, the rest together
