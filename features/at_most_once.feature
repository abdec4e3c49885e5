Feature: A request with an idempotency key runs at most once

  Scenario: The same key is sent to both boxes at once
    Given a fleet of 2 boxes and 2 engines
    When two identical requests with key "k1" are sent to both boxes at once
    Then one of the two is whole and the other is refused with status 409
    And 1 sessions were started in total

  Scenario: The box dies while the request runs; the key is sent to another box
    Given a fleet of 2 boxes and 2 engines
    When question "first" with key "k2" of 3000 tokens goes to box-1
    And "first" has its first token
    And question "second" with key "k2" of 3000 tokens goes to box-2
    Then "second" is refused as still_running
    When box-1 is killed
    And box-1 is removed from the list
    And question "third" with key "k2" of 3000 tokens goes to box-2
    Then "third" is refused as outcome_unknown
    And 1 sessions were started in total
    And every engine's memory is free again

  Scenario: The service loses the answer to the claim after it took effect
    Given a fleet of 2 boxes and 2 engines
    When the next 1 answers of the key-value service are lost
    And question "first" with key "k3" of 8 tokens goes to box-1
    Then "first" is whole
    When question "second" with key "k3" of 8 tokens goes to box-2
    Then "second" is refused as already_completed
    And 1 sessions were started in total

  Scenario: During an outage of the key-value service, only requests with a key are refused
    Given a fleet of 2 boxes and 2 engines
    When the key-value service is down
    And question "keyed" with key "k4" of 8 tokens goes to box-1
    Then "keyed" ends as not-run with status 503
    When a clause question "free" is sent to box-1
    Then "free" is whole
    And 1 sessions were started in total
    When the key-value service is up again
    And box-2 is asked "again" with key "k4" for 8 tokens until it accepts it
    Then "again" is whole

  Scenario: A key is reused for a different request
    Given a fleet of 1 boxes and 1 engines
    When question "first" with key "k5" of 8 tokens goes to box-1
    Then "first" is whole
    When question "second" with key "k5" of 9 tokens goes to box-1
    Then "second" is refused as key_reused

  Scenario: The answer to a service call that may not be repeated is lost
    Given a fleet of 2 boxes and 1 engines
    When the service loses its answers
    Then an order with key "k6" through box-1 ends as unknown
    When the service answers again
    Then an order with key "k6" through box-2 is refused as outcome_unknown
    And the service ran 1 call

  Scenario: Without a key a request that may have run is not sent again
    Given a fleet of 1 boxes and 2 engines
    When both engines accept requests and never respond
    And question "silent" with 1 seconds goes to box-1
    Then "silent" ends as unknown with status 504
    And 1 sessions were started in total
    And every engine's memory is free again

  Scenario: A key takes precedence over the permission to repeat
    Given a fleet of 1 boxes and 2 engines
    When engine-1 has its switch break_after_tokens set to 3
    And engine-2 has its switch break_after_tokens set to 3
    And question "both" with key "k7" that may be repeated goes to box-1
    Then "both" ends as failed with status 200
    And 1 sessions were started in total
    And every engine's memory is free again
