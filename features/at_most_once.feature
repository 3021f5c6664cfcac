Feature: A non-idempotent request runs at most once

  Background:
    Given a fleet over two data centres

  Scenario: The same fee notice goes to two data centres at once
    When the notice goes out from Accra under the key K
    And the notice goes out from Tema under the key K
    And all have ended
    Then the notice ran once
    And both have the same answer

  Scenario: The same fee notice is repeated after an hour
    When the notice goes out from Accra under the key K
    And all have ended
    And an hour passes without any activity
    And the notice goes out from Tema under the key K
    And all have ended
    Then the notice ran once
    And both have the same answer

  Scenario: The same key is reused for another notice
    When the notice goes out from Accra under the key K
    And all have ended
    And another notice goes out from Tema under the key K
    And all have ended
    Then the notice ran once
    And Tema gets the verdict NOT_RUN
    And no request with the verdict NOT_RUN has run

  Scenario Outline: The platform fails while the notice is in flight
    When the platform <trouble>
    And the notice goes out from Accra under the key K
    And the notice goes out from Tema under the key K
    And all have ended
    And the platform has recovered
    And 5 seconds pass
    And the notice goes out again from Accra under the key K
    And all have ended
    Then the notice ran once
    And the last notice was answered
    And no request with the verdict NOT_RUN has run

    Examples:
      | trouble                              |
      | loses the answers of its writes      |
      | loses writes before they take effect |
      | is down                              |
      | is very slow                         |

  Scenario: Reads from the platform are a minute stale
    When the platform serves reads that are a minute stale
    And the notice goes out from Accra under the key K
    And the notice goes out from Tema under the key K
    And all have ended
    And the platform has recovered
    And the notice goes out again from Accra under the key K
    And all have ended
    Then the notice ran once
    And no request with the verdict NOT_RUN has run

  Scenario Outline: A fault occurs after the notice ran
    When <trouble>
    And the notice goes out from Accra under the key K
    And 3 seconds pass
    And the notice goes out from Tema under the key K
    And all have ended
    And 5 seconds pass
    Then the notice ran once
    And no request with the verdict NOT_RUN has run
    And no caller got the verdict NOT_RUN

    Examples:
      | trouble                                 |
      | every desk breaks its connection        |
      | every desk dies after its next call     |
      | the instance in Accra is about to pause |
      | the instance in Accra is about to die   |

  Scenario: A notice without a key is sent only once
    When every desk breaks its connection
    And the notice goes out from Accra without a key
    And all have ended
    Then the notice ran once
    And Accra gets the verdict MAY_HAVE_RUN
