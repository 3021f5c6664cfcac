Feature: A leaving endpoint receives no new work after a few seconds

  Scenario Outline: An engine is about to leave
    Given a fleet over two data centres
    When 6 prompts of a brigade are being answered
    And one engine <sign>
    And <time> pass
    And 20 more prompts arrive over 4 seconds
    Then the engine got none of them
    And all have whole answers, each only its own

    Examples:
      | sign                                               | time                              |
      | is marked as leaving in the platform's list        | 2 seconds after the list shows it |
      | is drained by an operator at one instance          | 0.5 seconds                       |
      | refuses new work itself                            | 1 seconds                         |
      | refuses new work itself while the platform is down | 1 seconds                         |
      | is drained while the data centres are cut off      | 0.5 seconds                       |

  Scenario: A desk is about to leave
    Given a fleet over two data centres
    When one desk refuses new calls
    And 12 stock bookings arrive over 3 seconds
    And all have ended
    Then the desk ran none of them
    And each was answered

  Scenario: An engine whose drain was cancelled gets work again
    Given a fleet of 1 engine and one entry instance
    When one engine is drained by an operator at one instance
    And 1 seconds pass
    And one engine gets its drain cancelled
    And Steyr asks for a pick list
    Then Steyr has the whole answer and only its own
