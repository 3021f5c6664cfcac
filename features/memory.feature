Feature: No engine loses memory for good

  Scenario Outline: A caller disconnects or an engine fails
    Given <fleet>
    When Tamale asks for a <kind>
    And Tamale has the beginning of the answer
    And <event>
    And all have ended
    And 4 seconds pass
    Then no engine holds memory for a caller

    Examples:
      | fleet                                            | kind          | event                      |
      | a fleet over two data centres                    | claim summary | Tamale disconnects         |
      | a fleet that hands answers over to other engines | claim summary | Tamale disconnects         |
      | a fleet that hands answers over to other engines | case file     | Tamale disconnects         |
      | a fleet that hands answers over to other engines | case file     | the engine dies            |
      | a fleet that hands answers over to other engines | case file     | the engine cuts the stream |

  Scenario Outline: The instance that serves is lost
    Given a fleet with two instances in each data centre
    When Tamale asks for a <kind>
    And the prompt is partly prefilled
    And the instance <event>
    And <time> seconds pass
    Then no engine holds memory for a caller

    Examples:
      | kind          | event                       | time |
      | claim summary | dies                        | 10   |
      | case file     | dies                        | 10   |
      | case file     | is cut off from the engines | 80   |

  Scenario: Memory of an instance that only paused is not released
    Given a fleet that hands answers over to other engines
    When Tamale asks for a case file
    And the prompt is partly prefilled
    And the instance is paused for 2 seconds
    Then Tamale has the whole answer and only its own
