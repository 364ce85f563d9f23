Feature: What entries do with the holders' word that queues are closed

  # Load: callers keep coming to every entry while a shard's holder is lost in a burst.

  Scenario: A job that reaches no holder for half a second is refused while its queue is closed
    Given a cluster whose holder has closed "normal" for 4 seconds
    When the holder is killed, the next one needs 5 seconds, and 20 jobs for "normal" come elsewhere
    Then all of them are refused as "queue_closed" after half a second
    And they are told 3.4 seconds at least to come back, spread over 3 seconds or more
    And none of them ever runs

  Scenario Outline: A change of holder within half a second refuses nobody, closed queue or not
    Given a cluster whose holder has closed "normal" for 30 seconds
    When the holder is <ended>, the next one needs <seconds> seconds, and 20 jobs for "normal" come elsewhere
    Then all of them are accepted, after <seconds> to 0.5 seconds

    Examples:
      | ended              | seconds |
      | killed             | 0       |
      | killed             | 0.3     |
      | killed             | 0.4     |
      | stopped as planned | 0       |
      | stopped as planned | 0.3     |
      | stopped as planned | 0.4     |

  Scenario: A job that was sent to the lost holder is never said not to run
    Given a cluster whose holder has closed "normal" for 30 seconds
    When 20 jobs for "normal" come at another entry, the holder is killed before it answers them, and the next one needs 5 seconds
    Then all of them are told at the end of their time that nothing is known

  Scenario: A caller who waits for less is told by its time, and why
    Given a cluster whose holder has closed "normal" for 4 seconds
    When the holder is killed, the next one needs 5 seconds, and 5 jobs for "normal" come elsewhere for 0.3 seconds
    Then all of them are refused as "queue_closed" by 0.3 seconds
    And none of them ever runs

  Scenario: A cut-off entry refuses no later for a closed queue than for an open one
    Given a cluster whose holder has closed "normal" for 30 seconds
    When an entry is cut off from everything for 3 seconds, and 20 jobs for "normal" come there
    Then all of them are refused as "queue_closed" after a quarter of a second
    And none of them ever runs

  Scenario: A queue that is not closed is served as before by the next holder
    Given a cluster whose holder has closed "normal" for 4 seconds
    When the holder is killed, the next one needs 0.7 seconds, and 20 jobs for "urgent" come elsewhere
    Then all of them are accepted

  Scenario: The next holder starts with no summary, and takes what comes
    Given a cluster whose holder has closed "normal" for 30 seconds
    When the holder is killed, another takes over, and 20 jobs for "normal" come at another entry
    Then all of them are accepted

  Scenario: The word of a holder ends with the next one, also once that is lost
    Given a cluster whose holder has closed "normal" for 30 seconds
    When the holder is killed, the next one too, the one after needs 0.7 seconds, and 20 jobs for "normal" come at another entry
    Then all of them are accepted

  Scenario: A node that takes over forgets what the holder before it told
    Given a cluster whose holder has closed "normal" for 30 seconds
    When the holder is killed, and another takes over
    Then no node knows of a closed queue

  Scenario: Only the peer whose turn it is hears of closed queues, and of shards that there are
    Given a cluster whose holder has closed nothing
    When the holder tells one peer alone that "normal" is closed, in shards 0 and 7
    Then that peer alone knows of a closed queue, in shard 0

  Scenario: An entry that reaches the holder asks it, whatever it was told
    Given a cluster whose holder has closed "normal" for 4 seconds
    When 20 jobs for "normal" come at another entry
    Then all of them are accepted

  Scenario: A queue that is open again is told so
    Given a cluster whose holder has closed "normal" for 30 seconds
    When its holder opens every queue
    Then the other entries know of no closed queue after 0.5 seconds

  Scenario: An entry that lost the summary does as before
    Given a cluster whose holder has closed "normal" for 4 seconds
    When an entry forgets what it was told
    And the holder is killed, the next one needs 0.7 seconds, and 5 jobs for "normal" come elsewhere
    Then all of them are accepted

  Scenario: A summary that is too old refuses nothing, and tells only when to come back
    Given a cluster whose holder has closed "normal" for 30 seconds
    When an entry is cut off from everything for 5.5 seconds, and 20 jobs for "normal" come there
    Then all of them are refused as "no_holder" after a quarter of a second
    And they are told 20 seconds at least to come back, spread over 3 seconds or more
    And none of them ever runs

  Scenario: Each shard tells its own, and the job's shard decides
    Given a cluster of three shards of which the holder of one has closed "normal" for 4 seconds
    When that holder is killed, the next one needs 5 seconds, and 30 jobs for "normal" come elsewhere
    Then the jobs of its closed shard are refused after half a second and the others are not

  Scenario: A cluster that was told nothing refuses no sooner than before
    Given a cluster whose holder has closed nothing
    When an entry is cut off from everything for 5.5 seconds, and 20 jobs for "normal" come there
    Then all of them are refused as "no_holder" after a quarter of a second
    And they are told exactly 1 second to come back

  Scenario: Faults of all kinds while every holder says that all queues are closed
    When seeds 1 to 4 are played with one shard and 5 to 6 with three, every queue closed by word
    Then no job that only was refused ever ran, and none was doubled or lost
    And some jobs were refused as "queue_closed"

  Scenario Outline: What a board makes of summaries
    Given a board that trusts for 5 seconds
    When it hears <words>
    Then at 10 seconds a job of "normal" is <fate>

    Examples:
      | words                                                             | fate              |
      | nothing                                                           | let through       |
      | token 7 at 9, normal closed 4                                     | refused for 3     |
      | token 7 at 9 of age 2, normal closed 4                            | refused for 1     |
      | token 7 at 9, urgent closed 4                                     | let through       |
      | token 7 at 9, normal closed 1                                     | let through       |
      | token 7 at 5, normal closed 9                                     | let through       |
      | token 7 at 9 of age 4, normal closed 9                            | let through       |
      | token 7 at 9, normal closed 4; claim 8                            | let through       |
      | claim 8; token 7 at 9, normal closed 4                            | let through       |
      | claim 7; token 7 at 9, normal closed 4                            | refused for 3     |
      | token 8 at 8; token 7 at 9, normal closed 4                       | let through       |
      | token 7 at 8; token 7 at 9 of age 3, normal closed 8              | let through       |
      | token 7 at 8, normal closed 4; token 7 at 9                       | let through       |
      | token 7 at 9, normal closed 4 for acme                            | let through       |
      | token 7 at 9, normal closed 4 for acme; asks as acme              | refused for 3     |
      | token 7 at 9, normal closed 2; asks as acme                       | refused for 1     |
      | token 7 at 9 of another shard, normal closed 4                    | let through       |
      | token 7 at 9, normal closed inf                                   | refused for 30    |
      | token 7 at 9, normal closed nan                                   | let through       |
      | token 7 at 9, normal closed -3                                    | let through       |
      | token 7 at 9 of age nan, normal closed 4                          | let through       |
      | token 7 at 9 of age -5, normal closed 4                           | let through       |

  Scenario: Whatever order words come in, only the newest of the newest holder counts
    When summaries and claims of any order, age and token are heard
    Then a board never refuses but by the newest word of the newest holder, nor for less than it says

  Scenario: Nodes of the version before read what this one says, and the other way round
    When a heartbeat with a summary is read by a node that knows none, and one without by this one
    Then both have read the rest of it

  Scenario Outline: What a holder tells of its queues stays within its bytes
    Given a holder with <peers> peers that has closed <queues> queues for <tenants> tenants each
    When it beats for 60 seconds
    Then it has told 5000 bytes a second at most, and 5000 more at once
    And each summary has <bytes> bytes at most
    And each peer has heard of it within <first> seconds, and then every <pause> seconds

    Examples:
      | peers | queues | tenants | bytes | first | pause |
      | 36    | 3      | 0       | 96    | 0.2   | 0.8   |
      | 299   | 3      | 0       | 96    | 6     | 7     |
      | 36    | 40     | 20      | 277   | 1.5   | 2.4   |
      | 3     | 40     | 20      | 1024  | 0.2   | 0.8   |

  Scenario Outline: A holder of many shards tells all of them, at the same rate
    Given a holder of <shards> shards with <peers> peers that has closed 40 queues for <tenants> tenants each
    When it beats for 60 seconds
    Then it has told 5000 bytes a second at most, and <more> more at once
    And each peer has heard of it within <first> seconds, and then every <pause> seconds

    Examples:
      | shards | peers | tenants | more  | first | pause |
      | 12     | 1     | 20      | 10000 | 0.2   | 2.4   |
      | 80     | 3     | 0       | 10000 | 4     | 5     |

  Scenario: A summary of any queues and tenants is cut to its bytes
    When summaries of any queues and tenants are cut to any length
    Then each has that many bytes at most, and every queue that is left out was closed for no longer or took more

  Scenario: Nothing is told while every queue is open
    Given a holder with 36 peers that has closed 0 queues for 0 tenants each
    When it beats for 60 seconds
    Then it has told nothing
