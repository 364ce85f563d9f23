Feature: An exception at a shard's holder costs no other caller an accepted job

  # Guards against jobs that were accepted and never recorded, because another job's record could not
  # be encoded in the same append.
  Scenario: A job whose specification cannot be encoded is refused alone
    Given a cluster whose jobs are handed in together
    And the specification of the third job cannot be encoded
    When 6 jobs are handed in
    Then the third job is refused, and the others are accepted
    And the shard has kept its holder
    When the shard's holder is killed, and 9 seconds pass
    Then the accepted jobs are completed

  Scenario: A job whose progress cannot be encoded fails alone
    Given a cluster whose jobs are handed in together
    And the progress of the third job cannot be encoded once it runs
    When 6 jobs are handed in
    And 9 seconds pass in that shard
    Then the third job is shown as failed, and the others as completed
    And the shard has kept its holder

  Scenario: A job whose end cannot be encoded is not shown as ended before its end is recorded
    Given a cluster whose jobs are handed in together
    And the end of the third job cannot be encoded at first
    When 6 jobs are handed in
    And 9 seconds pass in that shard
    Then the holder has given the shard up with "internal_error"
    And the accepted jobs are completed

  # Guards against effects that run although the append with their changes was never built.
  Scenario Outline: Nobody is answered for a change that no append has, where <part> raises
    Given a cluster whose jobs are handed in together
    And the holder's next append fails at <part>
    When 6 jobs are handed in
    Then the holder has given the shard up with "internal_error"
    When 9 seconds pass in that shard
    Then every job that was answered as accepted is completed

    Examples:
      | part                     |
      | the records of workers   |
      | the records of estimates |
      | the end of collecting    |

  # Guards against a holder that raised while it took over, and then held the shard and served nobody.
  Scenario: A node that raises while it takes over leaves the shard to another
    Given a cluster whose jobs are handed in together
    When the holder is killed, and the next takeover raises
    And 4 seconds pass in that shard
    Then another node has taken the shard over
    When 6 jobs are handed in
    And 9 seconds pass in that shard
    Then the accepted jobs are completed

  # Guards against a record that makes each holder raise, one after the other.
  Scenario: A record that cannot be restored is left alone
    Given a cluster whose jobs are handed in together
    When 6 jobs are handed in
    And the holder is killed, and the third job's record tells of a task that the job does not have
    And 9 seconds pass in that shard
    Then the shard has changed its holder once
    And the other accepted jobs are completed

  Scenario: A call that raises is answered, and is not sent to the next holder
    Given a cluster whose jobs are handed in together
    When a call is handed in that raises at every holder
    And 5 seconds pass in that shard
    Then that call was answered as unknown
    And the shard has changed its holder once

  # Guards against exceptions that end without a line of log.
  Scenario: What the receiver of an HTTP answer raises is not taken for unreadable input
    Given 1 kept connections to one address, each of which has carried a call
    When the receiver of the next answer raises an exception
    Then the exception reaches the event loop
