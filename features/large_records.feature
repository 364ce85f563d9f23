Feature: Records of a shard fit into what the store accepts

  # Guards against a job whose progress outgrows a record: the store refused each append with it, and
  # the holders gave the shard up one after the other.
  Scenario: The progress of a job whose times overlap fits into records, and is restored from them
    Given a job of 60 open times of 300 tasks, whose tasks keep their progress
    When its progress is recorded
    Then each of its records has at most 65536 bytes
    And a new holder restores the same progress

  Scenario: Only what has changed is recorded again
    Given a job of 60 open times of 300 tasks, whose tasks keep their progress
    When its progress is recorded
    And one of its tasks ends, and its progress is recorded again
    Then the second append has 2 records of it

  Scenario: Progress that is too much for one append goes on in the next
    Given a job of 60 open times of 300 tasks, whose tasks keep their progress
    When its progress is recorded in appends of about 50000 bytes
    Then no append has more than 60000 bytes
    And the job counts as recorded only with the last append
    And a new holder restores the same progress

  # Guards against a record without steps that takes the place of one with steps, before its parts.
  Scenario: A job that outgrows its record is divided in one append
    Given a job of 60 open times of 300 tasks, whose tasks keep their progress
    And its record has no parts yet
    When its progress is recorded in appends of about 50000 bytes
    Then it is recorded in 1 append
    And a new holder restores the same progress

  Scenario: Many times that are done take little room
    Given a job of which 99000 times are done, and 3 others are not
    When its progress is recorded
    Then each of its records has at most 4096 bytes
    And a new holder restores the same progress

  Scenario: The records of a job that ends are all removed
    Given a job of 60 open times of 300 tasks, whose tasks keep their progress
    When its progress is recorded
    And the job is cancelled, and its progress is recorded again
    Then the store keeps 1 record of it

  Scenario: A job with a specification that no record holds is refused alone
    Given a cluster whose jobs are handed in together
    And the store accepts records of 4096 bytes at most
    And the third job has a text of 4000 bytes and names of 600 bytes
    When 6 jobs are handed in
    Then the third job is refused, and the others are accepted
    And the shard has kept its holder

  Scenario: A large job survives its holder
    Given a cluster whose jobs are handed in together
    When a job of 1500 tasks is handed in there
    And the shard's holder is killed, and 20 seconds pass
    Then the job of 1500 tasks is completed, and no task ran twice
