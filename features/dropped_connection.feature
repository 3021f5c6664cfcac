Feature: A connection drops during a review, and one review stands in the end

  Scenario: A review that may be resumed continues through another data centre
    Given a review on a streaming route that may be resumed
    When the connection drops after two of five events
    And the tenant reconnects through another data centre
    Then the engine no longer works on the first request
    And the tenant has each of the five events once

  Scenario: A review that may not be resumed is cut and never looks complete
    Given a review on a streaming route that may not be resumed
    When the engine breaks off after two of five events
    Then the tenant has two events and an answer that does not look complete
    And the engine received one request

  Scenario: A lookup that may be repeated is answered through another data centre
    Given a lookup on an idempotent route
    When the connection drops before the answer
    And the tenant reconnects through another data centre
    Then the engine no longer works on the first request
    And the tenant has the whole answer

  Scenario: A booking whose connection drops is never retried
    Given a booking on a non-idempotent route
    When the connection drops before the answer
    Then the engine no longer works on the first request
    And the engine received one request
