Feature: Each target has one owner box, which may die, freeze, return or change
  The owner keeps the target's queue. Requests go through box "other", which does not own engine-1.

  Scenario: The owner dies while one request runs and another waits
    Given a fleet of 2 boxes and 1 engines
    And "owner" owns engine-1 and "other" does not
    When a half-memory dossier "d1" for 2000 tokens is sent to other
    And "d1" has its first token
    And a half-memory dossier "d2" is sent to other
    And "d2" waits at owner
    And owner is killed
    Then "d1" is whole
    And "d2" is whole
    And 2 sessions were started in total
    And every engine's memory is free again

  Scenario: The owner freezes while a request waits, and resumes after the request has ended
    Given a fleet of 2 boxes and 1 engines
    And "owner" owns engine-1 and "other" does not
    When a half-memory dossier "d1" for 2000 tokens is sent to other
    And "d1" has its first token
    And a half-memory dossier "d2" is sent to other
    And "d2" waits at owner
    And owner receives SIGSTOP
    Then "d1" is whole
    And "d2" is whole
    When owner receives SIGCONT
    And a clause question "c" is sent to owner
    Then "c" is whole
    And 3 sessions were started in total
    And every engine's memory is free again
    And no reservation is left on owner

  Scenario: The owner is stopped gracefully while a request waits in its queue
    Given a fleet of 2 boxes and 1 engines
    And "owner" owns engine-1 and "other" does not
    When a half-memory dossier "d1" for 2000 tokens is sent to other
    And "d1" has its first token
    And a half-memory dossier "d2" is sent to other
    And "d2" waits at owner
    And owner receives SIGTERM
    Then "d1" is whole
    And "d2" is whole
    And owner exits with code 0
    And 2 sessions were started in total
    And every engine's memory is free again

  Scenario: A new box becomes the owner while a request runs
    Given a fleet of 1 boxes and 4 engines
    When a clause question "c1" for 1500 tokens is sent to box-1
    And "c1" has its first token
    And a box "box-2" joins
    And a dossier "d" is sent to box-2
    Then "c1" is whole
    And "d" is whole
    And every engine's memory is free again

  Scenario: A leaving target receives no new requests and finishes running ones
    Given a fleet of 2 boxes and 2 engines
    When a clause question "c1" for 1500 tokens is sent to box-1
    And "c1" has its first token
    And the engine of "c1" is leaving
    Then no new session reaches it from 12 clause questions
    And "c1" is whole

  Scenario Outline: Requests succeed despite a target that <does what>
    Given a fleet of 2 boxes and 3 engines
    When engine-1 has its switch <switch> set to <value>
    Then 12 clause questions that may be repeated all complete
    And every engine's memory is free again

    Examples:
      | does what                  | switch             | value |
      | refuses                    | refuse             | true  |
      | breaks streams             | break_after_tokens | 3     |
      | answers for another        | crossed            | true  |
      | lies about its load        | load_factor        | 0     |

  Scenario: An engine dies; a repeatable request resumes elsewhere at the exact offset
    Given a fleet of 2 boxes and 2 engines
    When a clause question "r" for 1500 tokens that may be repeated is sent to box-1
    And a clause question "s" for 1500 tokens is sent to box-2
    And "r" has its first token
    And "s" has its first token
    And both engines die and two others start
    Then "r" is whole
    And "s" ends as failed with status 200

  Scenario: The caller hangs up while its target is frozen; the request is not sent again
    Given a fleet of 1 boxes and 2 engines
    And box-1 knows the sessions of 2 engines
    When engine-1 receives SIGSTOP
    And engine-2 receives SIGSTOP
    And a clause question "c" for 8 tokens that may be repeated is sent to box-1
    And box-1 holds a reservation
    And the caller of "c" hangs up
    And box-1 has ended its requests
    And engine-1 receives SIGCONT
    And engine-2 receives SIGCONT
    Then at most 1 session was started
    And every engine's memory is free again
    And no reservation is left on box-1
