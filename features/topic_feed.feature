Feature: Following a topic of the platform's store

  Scenario: A feed of which only the newest record is of use jumps to it when it falls behind
    Given a feed that skips to the newest record, at offset 4
    When an answer brings 3 records of a topic that ends at 20
    Then the feed reads the newest records next

  Scenario: A feed that keeps up reads on
    Given a feed that skips to the newest record, at offset 4
    When an answer brings 3 records of a topic that ends at 7
    Then the feed reads on from offset 7

  Scenario: A feed that got no answer reads the newest records next, because they may be less
    Given a feed that skips to the newest record, at offset 4
    When a read of it is not answered
    Then the feed reads the newest records next

  Scenario: A feed of which every record is of use reads them all
    Given a feed that reads every record, at offset 4
    When an answer brings 3 records of a topic that ends at 20
    Then the feed reads on from offset 7
