Feature: A call that is sent more than once has one answer that holds for all its copies

  Scenario Outline: An entry loses sight of its holder with a submission on its way - <cluster>
    Given <cluster>
    And a holder that refuses the first copy of a submission, and accepts the next one
    And links that take 0.1 seconds
    When the way between an entry and the holder is cut, and a job is submitted at that entry
    And 0.4 seconds pass in that cell
    And the way between that entry and the holder is restored
    And 3 seconds pass in that cell
    Then the caller was refused
    And the cluster has broken <what>

    Examples:
      | cluster                                                                  | what          |
      | a cluster with 2 worker(s)                                               | nothing       |
      | a cluster with 2 worker(s), without "tracking the copies of submissions" | "refused_ran" |

  Scenario Outline: The former holder refuses a submission that its successor accepts - <cluster>
    Given <cluster>
    And an entry that cannot reach the store
    When the holder is cut off from the store and from every other node
    And another node claims the shard at a slow store
    And the way between that entry and the holder is cut, and a job is submitted at that entry
    And that entry reaches the store again, and has sent the submission to the new holder
    And the way between that entry and the holder is restored
    And 3 seconds pass in that cell
    Then the caller was <answer>
    And the cluster has broken <what>

    Examples:
      | cluster                                                                  | answer   | what          |
      | a cluster with 2 worker(s)                                               | accepted | nothing       |
      | a cluster with 2 worker(s), without "tracking the copies of submissions" | refused  | "refused_ran" |

  Scenario: The refusal of the only copy is passed on at once
    Given a submission that an entry sends to process "a" with token 5
    When copy 1 is refused
    Then the caller is told "refused", after 1 copies

  Scenario: A holder that is found again on the same stream gets no second copy
    Given a submission that an entry sends to process "a" with token 5
    When the entry loses sight of the holder
    And it finds process "a" with token 5 on the same stream
    And copy 1 is refused
    Then the caller is told "refused", after 1 copies

  Scenario Outline: The holder refuses a second copy, and the first one's stream is lost: <build>
    Given a submission that an entry sends to process "a" with token 5, of <build>
    When its stream is lost
    And it finds process "a" with token 5 on another stream
    And copy 2 is refused
    Then the caller is told "<answer>", after 2 copies

    Examples: an earlier build may still accept the first copy when it reads it
      | build          | answer  |
      | this build     | refused |
      | an older build | unknown |

  Scenario Outline: The new holder refuses its copy before the former one has replied: <build>
    Given a submission that an entry sends to process "a" with token 5, of <build>
    When the entry loses sight of the holder
    And it finds process "b" with token 6 on another stream
    And copy 2 is refused
    Then the caller is told "<first>", after 2 copies
    When copy 1 is accepted
    Then the caller is told "<first>", after 2 copies

    Examples: what a former holder of this build accepts too late does not reach the store
      | build          | first   |
      | this build     | refused |
      | an older build | unknown |

  Scenario: A doubt at one holder is settled by its successor
    Given a submission that an entry sends to process "a" with token 5
    When the entry loses sight of the holder
    And it finds process "a" with token 5 on another stream
    And copy 1 is refused
    Then the caller is told "nothing", after 2 copies
    When the entry loses sight of the holder
    And it finds process "b" with token 6 on another stream
    And copy 3 is refused
    Then the caller is told "refused", after 3 copies

  Scenario: The refusal of a former holder decides nothing while its successor has a copy
    Given a submission that an entry sends to process "a" with token 5
    When the entry loses sight of the holder
    And it finds process "b" with token 6 on another stream
    And copy 1 is refused
    Then the caller is told "nothing", after 2 copies
    When its stream is lost
    And it finds process "b" with token 6 on another stream
    And copy 3 is refused
    Then the caller is told "refused", after 3 copies

  Scenario: A former holder that is none any more causes no third copy
    Given a submission that an entry sends to process "a" with token 5
    When the entry loses sight of the holder
    And it finds process "b" with token 6 on another stream
    And copy 1 is answered by no holder
    And 0.2 seconds pass at the entry
    Then the caller is told "nothing", after 2 copies

  Scenario: A call whose time is over is sent nowhere
    Given a submission that an entry sends to process "a" with token 5
    When the entry loses sight of the holder
    And the entry stands still until the call's time is over
    And it finds process "b" with token 6 on another stream
    And 0.2 seconds pass at the entry
    Then the caller is told "unknown", after 1 copies

  Scenario: A call that no holder took is refused when its time is over
    Given a submission that an entry sends to process "a" with token 5
    When copy 1 is answered by no holder
    And the entry loses sight of the holder
    And 3.1 seconds pass at the entry
    Then the caller is told "refused", after 1 copies

  Scenario Outline: A holder gets a copy of a submission late: <case>
    Given a cluster with 2 worker(s)
    When the holder gets copy <number> of a submission from an entry, meant for <token>
    Then that copy is answered by "<answer>"

    Examples:
      | case                          | number | token                 | answer     |
      | in order                      | 8      | its token             | ok         |
      | overtaken by a later one      | 6      | its token             | not_holder |
      | meant for another term        | 8      | another token         | not_holder |
      | overtaken, of an older build  | 6      | a holder not told     | ok         |

  Scenario: The end of a stream that another one has replaced is told, so that its calls go elsewhere
    Given a stream to a peer that was heard just now
    When the peer opens another stream, and the first one closes
    Then the first stream is told to have ended, and the peer is not lost

  Scenario Outline: Advice that a node asked for in <term> term of a shard counts <times> times
    Given a cell of a single node
    When that node asks for advice, and the answer comes in <term> term
    Then the answer counts <times> times

    Examples: holders number their calls anew in each term
      | term       | times |
      | the same   | 1     |
      | the second | 0     |
