Feature: Logs tell where the time of jobs went

  Scenario: A job that waited for advice, for room and for a new holder
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=scans steps=1 tasks=1 stretch=2.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.020Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.820Z level=info process=a event=advice shard=0 step=00000000000000e1.0.0 good=1 asked=8
      time=2026-12-02T12:00:03.820Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e9.0.0.0 run=1 state=running how=done number=6
      time=2026-12-02T12:00:05.320Z level=info process=b event=state_restored shard=0 jobs=1 records=3
      time=2026-12-02T12:00:05.820Z level=info process=b event=recovery_complete shard=0 workers=3
      time=2026-12-02T12:00:05.820Z level=info process=b event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=4096
      time=2026-12-02T12:00:07.820Z level=info process=b event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=4096 state=running how=done number=7
      time=2026-12-02T12:00:07.840Z level=info process=b event=job_ended shard=0 job=00000000000000e1 state=completed seconds=7.8
      """
    When they are accounted for
    Then job "00000000000000e1" was "late"
    And its seconds are
      | record | advice | room | takeover | lost_runs | work | shown |
      | 0.02   | 0.80   | 3.00 | 2.00     | 0.00      | 2.00 | 0.02  |

  Scenario: A run that failed, and a step that waited for another one
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms steps=2 tasks=2 stretch=3.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.100Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.100Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:00.600Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=failed number=1
      time=2026-12-02T12:00:00.700Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=2
      time=2026-12-02T12:00:01.200Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=2 state=running how=done number=2
      time=2026-12-02T12:00:01.300Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.1.0 run=3
      time=2026-12-02T12:00:02.300Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.1.0 run=3 state=running how=done number=3
      time=2026-12-02T12:00:02.300Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=2.3
      """
    When they are accounted for
    Then job "00000000000000e1" was "met"
    And its seconds are
      | record | advice | room | takeover | lost_runs | work | shown |
      | 0.10   | 0.00   | 0.20 | 0.00     | 0.50      | 1.50 | 0.00  |

  Scenario: Jobs that were refused, that never ended, and a line that breaks off
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_refused shard=0 job=00000000000000e1 reason=store_in_trouble
      time=2026-12-02T12:00:01.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms steps=2 tasks=2 stretch=3.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:02.000Z level=info process=a event=run_start shard=0 task=00000000000000e2.0
      """
    When they are accounted for
    Then job "00000000000000e1" was "refused"
    And job "00000000000000e2" was "open"
    And 1 line broke off

  Scenario: The account of a log as a table
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:04.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1
      time=2026-12-02T12:00:05.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:05.000Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=5.0
      """
    When an operator asks for their account
    Then the answer names "forms", "00000000000000e1" and "record=1"

  Scenario: A job that waited for its tenant's quota, and one that was beyond its tenant's weight
    Given the logs of several nodes
      """
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e1 queue=forms tenant=one beyond_share=0 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e1
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_taken shard=0 job=00000000000000e2 queue=forms tenant=two beyond_share=1 steps=1 tasks=1 stretch=1.0 target_ms=1000 policy=5
      time=2026-12-02T12:00:00.000Z level=info process=a event=job_accepted shard=0 job=00000000000000e2
      time=2026-12-02T12:00:04.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e1.0.0.0 run=1 quota_ms=3000
      time=2026-12-02T12:00:05.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e1.0.0.0 run=1 state=running how=done number=1
      time=2026-12-02T12:00:05.000Z level=info process=a event=job_ended shard=0 job=00000000000000e1 state=completed seconds=5.0
      time=2026-12-02T12:00:06.000Z level=info process=a event=run_start shard=0 worker=w task=00000000000000e2.0.0.0 run=1 quota_ms=0
      time=2026-12-02T12:00:07.000Z level=info process=a event=run_ended shard=0 worker=w task=00000000000000e2.0.0.0 run=1 state=running how=done number=2
      time=2026-12-02T12:00:07.000Z level=info process=a event=job_ended shard=0 job=00000000000000e2 state=completed seconds=7.0
      """
    When they are accounted for
    Then job "00000000000000e1" was "late"
    And its seconds are
      | quota | room | work |
      | 3.00  | 1.00 | 1.00 |
    Then job "00000000000000e2" was "late"
    And its seconds are
      | share | work |
      | 6.00  | 1.00 |
    When an operator asks for their account
    Then the answer names "tenant", "two" and "quota=1"

  Scenario: Logs without a job
    Given the logs of several nodes
      """
      nothing of ours
      """
    When an operator asks for their account
    Then the command fails and says "no job in these logs"
